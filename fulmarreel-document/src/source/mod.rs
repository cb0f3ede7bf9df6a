//! Text in JSON with comments, and the positions of the fields in it.
//!
//! Documents and settings are both read with [`read()`], whose errors name the line and column of
//! the field that was refused, rather than those of the object around it.

mod locate;
mod read;

pub use locate::position;
pub use read::read;

use std::fmt;

/// A position in a text, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    /// Where a text begins.
    pub const START: Self = Self { line: 1, column: 1 };

    /// The position of a byte offset.
    fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A field whose value breaks a rule, before its position is known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field '{field}': {given}, expected {expected}")]
pub struct Refusal {
    /// Path of the field, such as `routes[0].path`.
    pub field: String,
    /// What was found.
    pub given: String,
    /// What is accepted.
    pub expected: String,
}

impl Refusal {
    /// A refusal of what was given for a field.
    pub fn new(field: &str, given: &impl ToString, expected: &str) -> Self {
        Self {
            field: field.to_owned(),
            given: given.to_string(),
            expected: expected.to_owned(),
        }
    }

    /// The refusal with the position of its field in `text`.
    pub fn located(self, text: &str) -> Error {
        Error::Field {
            position: position(text, &self.field),
            refusal: self,
        }
    }
}

/// Why a text was refused; each message begins with the line and column.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("{position}: {reason}, expected JSON with comments")]
    Syntax {
        /// Where reading stopped.
        position: Position,
        /// The parser's words.
        reason: String,
    },
    /// The text holds no value at all.
    #[error("{}: the text is empty, expected an object", Position::START)]
    Empty,
    /// A field stands twice in its object.
    #[error("{position}: field '{field}': given a second time, expected once (line {first})")]
    Duplicate {
        /// Where it stands the second time.
        position: Position,
        /// Path of the field.
        field: String,
        /// The line where it stands first.
        first: usize,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("{position}: field '{field}': {reason}")]
    Shape {
        /// Where the field is; for a missing field, the object that lacks it.
        position: Position,
        /// Path of the field, or of the object that lacks it.
        field: String,
        /// What was found and what is accepted.
        reason: String,
    },
    /// A field's value breaks a rule.
    #[error("{position}: {refusal}")]
    Field {
        /// Where the field is.
        position: Position,
        /// What was found and what is accepted.
        refusal: Refusal,
    },
}

impl Error {
    /// Where the refused field is.
    pub fn position(&self) -> Position {
        match self {
            Self::Empty => Position::START,
            Self::Syntax { position, .. }
            | Self::Duplicate { position, .. }
            | Self::Shape { position, .. }
            | Self::Field { position, .. } => *position,
        }
    }

    /// Path of the refused field, if it is about one.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::Empty | Self::Syntax { .. } => None,
            Self::Duplicate { field, .. } | Self::Shape { field, .. } => Some(field),
            Self::Field { refusal, .. } => Some(&refusal.field),
        }
    }
}
