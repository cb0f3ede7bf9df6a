//! Deserialization from JSON with comments, with positions in error messages.
//!
//! Documents and settings are both read with [`read()`]. Its errors state the line and column of
//! the refused field; the parser's own errors only give the object around it.

mod locate;
mod read;

pub use locate::position;
pub use read::read;

use std::fmt;

/// A position in a text; lines and columns are counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Position {
    /// The start of a text.
    pub const START: Self = Self { line: 1, column: 1 };

    /// Converts a byte offset, which must be a character boundary.
    fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
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

/// A field with an invalid value, before its position is determined.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field '{field}': {given}, expected {expected}")]
pub struct InvalidField {
    /// Path of the field, such as `routes[0].path`.
    pub field: String,
    /// The value found.
    pub given: String,
    /// The values accepted.
    pub expected: String,
}

impl InvalidField {
    /// Describes the invalid value `given` for a field.
    pub fn new(field: &str, given: &impl ToString, expected: &str) -> Self {
        Self {
            field: field.to_owned(),
            given: given.to_string(),
            expected: expected.to_owned(),
        }
    }

    /// Adds the position of the field in `text`.
    pub fn with_position_in(self, text: &str) -> Error {
        Error::Field {
            position: position(text, &self.field),
            invalid: self,
        }
    }
}

/// Reason for which a text was refused; each message starts with the line and column.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("{position}: {reason}, expected JSON with comments")]
    Syntax {
        /// Where parsing stopped.
        position: Position,
        /// The parser's message.
        reason: String,
    },
    /// The text contains no value.
    #[error("{}: the text is empty, expected an object", Position::START)]
    Empty,
    /// A field occurs twice in an object.
    #[error("{position}: field '{field}': given a second time, expected once (line {first})")]
    Duplicate {
        /// The second occurrence.
        position: Position,
        /// Path of the field.
        field: String,
        /// Line of the first occurrence.
        first: usize,
    },
    /// A field is missing, unknown or has the wrong type.
    #[error("{position}: field '{field}': {reason}")]
    Schema {
        /// Position of the field, or of the object that lacks it.
        position: Position,
        /// Path of the field, or of the object that lacks it.
        field: String,
        /// The deserializer's message.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{position}: {invalid}")]
    Field {
        /// Position of the field.
        position: Position,
        /// The field, the value found and the values accepted.
        invalid: InvalidField,
    },
}

impl Error {
    /// Position of the refused field, or of the malformed text.
    pub fn position(&self) -> Position {
        match self {
            Self::Empty => Position::START,
            Self::Syntax { position, .. }
            | Self::Duplicate { position, .. }
            | Self::Schema { position, .. }
            | Self::Field { position, .. } => *position,
        }
    }

    /// Path of the refused field, if the error concerns a field.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::Empty | Self::Syntax { .. } => None,
            Self::Duplicate { field, .. } | Self::Schema { field, .. } => Some(field),
            Self::Field { invalid, .. } => Some(&invalid.field),
        }
    }
}
