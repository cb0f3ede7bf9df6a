//! Reads documents from files and folders.

mod read;

pub use read::read;

use fulmarreel_document::{Document, parse, source};
use std::{io, path::PathBuf};

/// File name extensions of documents in a folder.
pub const EXTENSIONS: [&str; 2] = ["jsonc", "json"];

/// A file whose document is valid by itself, without regard to the clock or other documents.
#[derive(Debug, Clone)]
pub struct File {
    /// The file's path.
    pub path: PathBuf,
    /// The file's text.
    pub text: String,
    /// The parsed document.
    pub document: Document,
}

/// Why a file was refused.
///
/// Each message begins with the path, followed by line and column where they are known.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file or folder cannot be read.
    #[error("{}: cannot be read: {source}, expected a readable file or folder", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The folder contains no document.
    #[error("{}: no document, expected files that end in .jsonc or .json", path.display())]
    NoDocument {
        /// The folder.
        path: PathBuf,
    },
    /// The file is not a valid document.
    #[error("{}:{source}", path.display())]
    InvalidDocument {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: parse::Error,
    },
    /// The document breaks a rule that depends on the clock or on other documents.
    #[error("{}:{source}", path.display())]
    RuleViolation {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: source::Error,
    },
    /// Two files have documents of the same service.
    #[error("{}:{position}: field 'service': '{service}' is also in {}, expected one document for each service", path.display(), other.display())]
    DuplicateService {
        /// The file.
        path: PathBuf,
        /// Where the service is named.
        position: source::Position,
        /// The service.
        service: String,
        /// The file that was read first.
        other: PathBuf,
    },
}

impl Error {
    /// The file or folder.
    pub fn path(&self) -> &PathBuf {
        match self {
            Self::Read { path, .. }
            | Self::NoDocument { path }
            | Self::InvalidDocument { path, .. }
            | Self::RuleViolation { path, .. }
            | Self::DuplicateService { path, .. } => path,
        }
    }

    /// The position in the file, if the file could be read.
    pub fn position(&self) -> Option<source::Position> {
        match self {
            Self::Read { .. } | Self::NoDocument { .. } => None,
            Self::InvalidDocument { source, .. } => Some(source.position()),
            Self::RuleViolation { source, .. } => Some(source.position()),
            Self::DuplicateService { position, .. } => Some(*position),
        }
    }

    /// The field that the error concerns, if any.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::Read { .. } | Self::NoDocument { .. } => None,
            Self::InvalidDocument { source, .. } => source.field(),
            Self::RuleViolation { source, .. } => source.field(),
            Self::DuplicateService { .. } => Some("service"),
        }
    }
}
