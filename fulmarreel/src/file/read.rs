//! Reads every document of files and folders.

use super::{ENDINGS, Error, File};
use fulmarreel_document::{parse, source};
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

/// Reads the files, and those in the folders, each of which must hold a valid document.
///
/// # Errors
///
/// Every file that was refused, in the order of reading.
pub fn read(paths: &[PathBuf]) -> Result<Vec<File>, Vec<Error>> {
    let (mut files, mut errors) = (Vec::new(), Vec::new());
    for path in paths {
        match expand(path) {
            Ok(found) => {
                for path in found {
                    match one(path) {
                        Ok(file) => files.push(file),
                        Err(error) => errors.push(error),
                    }
                }
            }
            Err(error) => errors.push(error),
        }
    }
    errors.extend(twice(&files));
    if errors.is_empty() {
        Ok(files)
    } else {
        Err(errors)
    }
}

/// The path itself, or the documents below it if it is a folder.
fn expand(path: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut found = Vec::new();
    walk(path, true, &mut found).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    if found.is_empty() {
        return Err(Error::Nothing {
            path: path.to_owned(),
        });
    }
    found.sort();
    Ok(found)
}

fn walk(path: &Path, named: bool, found: &mut Vec<PathBuf>) -> io::Result<()> {
    if !fs::metadata(path)?.is_dir() {
        let ending = path.extension().and_then(|ending| ending.to_str());
        if named || ending.is_some_and(|ending| ENDINGS.contains(&ending)) {
            found.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        // Hidden folders are those of version control and editors.
        if !entry.file_name().as_encoded_bytes().starts_with(b".") {
            walk(&entry.path(), false, found)?;
        }
    }
    Ok(())
}

fn one(path: PathBuf) -> Result<File, Error> {
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(Error::Read { path, source }),
    };
    match parse(&text) {
        Ok(document) => Ok(File {
            path,
            text,
            document,
        }),
        Err(source) => Err(Error::Document { path, source }),
    }
}

fn twice(files: &[File]) -> Vec<Error> {
    let mut first: BTreeMap<&str, &Path> = BTreeMap::new();
    let mut errors = Vec::new();
    for file in files {
        let service = file.document.service().as_str();
        if let Some(other) = first.insert(service, &file.path) {
            errors.push(Error::Twice {
                path: file.path.clone(),
                position: source::position(&file.text, "service"),
                service: service.to_owned(),
                other: other.to_owned(),
            });
        }
    }
    errors
}
