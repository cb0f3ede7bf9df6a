//! Exit codes. Scripts depend on the numbers.

/// The result of a run, with its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A file or document was refused and nothing was written, or the output could not be written.
    Refused = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// The document was changed concurrently.
    Conflict = 3,
    /// The store failed, and the failed step wrote nothing.
    StoreFailed = 4,
    /// A write may or may not have taken effect.
    UnknownOutcome = 5,
    /// `diff` found differences.
    Different = 6,
    /// `wait` saw the move rolled back.
    TakenBack = 7,
    /// The timeout of `wait` passed before the move was over.
    TimedOut = 8,
    /// The store has no such document, the document declares no move, or no log line has the id.
    NotFound = 9,
}
