//! Reads and parses the documents at the given paths.

use super::{EXTENSIONS, Error, File};
use fulmarreel_document::{parse, source};
use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
};

/// Reads the files, and the documents in the folders; each must be valid.
///
/// # Errors
///
/// One for each path or file that was refused, in the order of reading, then duplicate services.
pub fn read(paths: &[PathBuf]) -> Result<Vec<File>, Vec<Error>> {
    let (mut files, mut errors) = (Vec::new(), Vec::new());
    for path in paths {
        match expand(path) {
            Ok(files_found) => {
                for path in files_found {
                    match read_file(path) {
                        Ok(file) => files.push(file),
                        Err(error) => errors.push(error),
                    }
                }
            }
            Err(error) => errors.push(error),
        }
    }
    errors.extend(duplicate_services(&files));
    if errors.is_empty() {
        Ok(files)
    } else {
        Err(errors)
    }
}

/// Returns the path itself, or the documents below it if it is a folder.
fn expand(path: &Path) -> Result<Vec<PathBuf>, Error> {
    let mut found = Vec::new();
    walk(path, true, &mut found).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    if found.is_empty() {
        return Err(Error::NoDocument {
            path: path.to_owned(),
        });
    }
    found.sort();
    Ok(found)
}

/// Collects documents; `is_argument` accepts a file whatever its extension is.
fn walk(path: &Path, is_argument: bool, found: &mut Vec<PathBuf>) -> io::Result<()> {
    if !fs::metadata(path)?.is_dir() {
        let extension = path.extension().and_then(|extension| extension.to_str());
        if is_argument || extension.is_some_and(|extension| EXTENSIONS.contains(&extension)) {
            found.push(path.to_owned());
        }
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        let entry = entry?;
        // Names with a leading dot belong to version control and editors.
        if !entry.file_name().as_encoded_bytes().starts_with(b".") {
            walk(&entry.path(), false, found)?;
        }
    }
    Ok(())
}

fn read_file(path: PathBuf) -> Result<File, Error> {
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
        Err(source) => Err(Error::InvalidDocument { path, source }),
    }
}

fn duplicate_services(files: &[File]) -> Vec<Error> {
    let mut path_by_service: BTreeMap<&str, &Path> = BTreeMap::new();
    let mut errors = Vec::new();
    for file in files {
        let service = file.document.service().as_str();
        if let Some(other) = path_by_service.insert(service, &file.path) {
            errors.push(Error::DuplicateService {
                path: file.path.clone(),
                position: source::position(&file.text, "service"),
                service: service.to_owned(),
                other: other.to_owned(),
            });
        }
    }
    errors
}
