//! Text in JSON with comments, and the places of the fields in it.
//!
//! Documents and settings are both read with [`read()`], whose errors name the line and column of
//! the field that was refused, rather than those of the object around it.

mod locate;
mod read;

pub use locate::place;
pub use read::read;

use std::fmt;

/// A place in a text, both counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Place {
    /// Where a text begins.
    pub const START: Self = Self { line: 1, column: 1 };

    /// The place of a byte offset.
    fn of(text: &str, offset: usize) -> Self {
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A field whose value breaks a rule, before its place is known.
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

    /// The refusal with the place of its field in `text`.
    pub fn located(self, text: &str) -> Error {
        Error::Field {
            place: place(text, &self.field),
            refusal: self,
        }
    }
}

/// Why a text was refused; each message begins with the line and column.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not JSON with comments.
    #[error("{place}: {reason}, expected JSON with comments")]
    Syntax {
        /// Where reading stopped.
        place: Place,
        /// The parser's words.
        reason: String,
    },
    /// The text holds no value at all.
    #[error("{}: the text is empty, expected an object", Place::START)]
    Empty,
    /// A field stands twice in its object.
    #[error("{place}: field '{field}': given a second time, expected once (line {first})")]
    Duplicate {
        /// Where it stands the second time.
        place: Place,
        /// Path of the field.
        field: String,
        /// The line where it stands first.
        first: usize,
    },
    /// A field is missing, unknown or of the wrong type.
    #[error("{place}: field '{field}': {reason}")]
    Shape {
        /// Where the field is; for a missing field, the object that lacks it.
        place: Place,
        /// Path of the field, or of the object that lacks it.
        field: String,
        /// What was found and what is accepted.
        reason: String,
    },
    /// A field's value breaks a rule.
    #[error("{place}: {refusal}")]
    Field {
        /// Where the field is.
        place: Place,
        /// What was found and what is accepted.
        refusal: Refusal,
    },
}

impl Error {
    /// Where the refused field is.
    pub fn place(&self) -> Place {
        match self {
            Self::Empty => Place::START,
            Self::Syntax { place, .. }
            | Self::Duplicate { place, .. }
            | Self::Shape { place, .. }
            | Self::Field { place, .. } => *place,
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
