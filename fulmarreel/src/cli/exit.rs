//! Exit codes, part of the command line's interface.

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// A file or document was refused, and nothing was written; or the output failed.
    Refused = 1,
    /// Unknown or missing arguments.
    Usage = 2,
    /// Someone else changed the document first.
    Conflict = 3,
    /// The store failed, and nothing was written by the step that failed.
    Store = 4,
    /// A write may or may not have taken effect.
    Unknown = 5,
    /// `diff` found differences.
    Different = 6,
    /// `wait` saw the move taken back.
    TakenBack = 7,
    /// `wait` gave up before the move was over.
    Late = 8,
    /// The store has no such document, the document declares no move, or no log line bears the id.
    Absent = 9,
}
