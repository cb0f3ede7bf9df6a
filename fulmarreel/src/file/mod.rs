//! Documents in files and folders.

mod read;

pub use read::read;

use fulmarreel_document::{Document, parse, source};
use std::{io, path::PathBuf};

/// The endings of documents' names in a folder.
pub const ENDINGS: [&str; 2] = ["jsonc", "json"];

/// A file with a document that is valid by itself.
#[derive(Debug, Clone)]
pub struct File {
    /// Where it was read.
    pub path: PathBuf,
    /// The document as it is written.
    pub text: String,
    /// The document.
    pub document: Document,
}

/// Why a file was refused; each message begins with the file, and the line and column if any.
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
    /// The folder holds no document.
    #[error("{}: no document, expected files that end in .jsonc or .json", path.display())]
    Nothing {
        /// The folder.
        path: PathBuf,
    },
    /// The file holds no valid document.
    #[error("{}:{source}", path.display())]
    Document {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: parse::Error,
    },
    /// The document breaks a rule that takes the clock or other documents.
    #[error("{}:{source}", path.display())]
    Rule {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: source::Error,
    },
    /// Two files hold documents of one service.
    #[error("{}:{position}: field 'service': '{service}' is also in {}, expected one document for each service", path.display(), other.display())]
    Twice {
        /// The file.
        path: PathBuf,
        /// Where the service is named.
        position: source::Position,
        /// The service.
        service: String,
        /// The file read before.
        other: PathBuf,
    },
}

impl Error {
    /// The file or folder.
    pub fn path(&self) -> &PathBuf {
        match self {
            Self::Read { path, .. }
            | Self::Nothing { path }
            | Self::Document { path, .. }
            | Self::Rule { path, .. }
            | Self::Twice { path, .. } => path,
        }
    }

    /// Where in the file, if the text was read.
    pub fn position(&self) -> Option<source::Position> {
        match self {
            Self::Read { .. } | Self::Nothing { .. } => None,
            Self::Document { source, .. } => Some(source.position()),
            Self::Rule { source, .. } => Some(source.position()),
            Self::Twice { position, .. } => Some(*position),
        }
    }

    /// The refused field, if it is about one.
    pub fn field(&self) -> Option<&str> {
        match self {
            Self::Read { .. } | Self::Nothing { .. } => None,
            Self::Document { source, .. } => source.field(),
            Self::Rule { source, .. } => source.field(),
            Self::Twice { .. } => Some("service"),
        }
    }
}
