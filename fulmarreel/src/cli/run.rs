//! Runs a command and maps its outcome to an exit code.

use super::{
    Exit,
    arguments::{Arguments, Command, HELP},
    print::Printer,
};
use crate::{apply, check, delete, diff, explain, file, get, history, status, stored, wait};
use fulmarreel_document::{Service, rollout::Timestamp};
use fulmarreel_rollout::state::Phase;
use fulmarreel_store::{
    Error, Revision,
    etcd::{Client, Options},
};
use std::{
    io,
    path::PathBuf,
    time::{Duration, Instant},
};

/// Timeout of one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a command and prints its result.
///
/// # Errors
///
/// The result cannot be written to the output.
pub(super) async fn run<O: io::Write, E: io::Write>(
    arguments: &Arguments,
    now: Timestamp,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let store = Client::new(Options {
        peers: arguments.store.clone(),
        operation_timeout: STORE_TIMEOUT,
    });
    let has_store = !arguments.store.is_empty();
    match &arguments.command {
        Command::Help => printer.text(HELP).map(|()| Exit::Done),
        Command::Version => printer
            .text(concat!("fulmarreel ", env!("CARGO_PKG_VERSION"), "\n"))
            .map(|()| Exit::Done),
        Command::Check(paths) => run_check(paths, has_store.then_some(&store), now, printer).await,
        Command::Diff(paths) => run_diff(paths, &store, now, printer).await,
        Command::Apply { paths, revision } => {
            run_apply(paths, *revision, &store, now, printer).await
        }
        Command::Delete { service, revision } => {
            run_delete(service, *revision, &store, printer).await
        }
        Command::Get(services) => run_get(services, &store, printer).await,
        Command::Status(services) => match status::status(&store, services).await {
            Ok(outcomes) => printer.statuses(&outcomes).map(|()| Exit::Done),
            Err(error) => print_get_error(&error, printer),
        },
        Command::Wait { service, timeout } => {
            let options = wait::Options {
                service: service.clone(),
                deadline: Instant::now() + *timeout,
            };
            run_wait(&options, &store, printer).await
        }
        Command::Explain { id, logs } => run_explain(id, logs, printer),
        Command::History(services) => match history::history(&store, services).await {
            Ok(moves) => printer.moves(&moves).map(|()| Exit::Done),
            Err(error) => print_store_error(&error, printer),
        },
    }
}

/// Documents that passed every check, and the documents in the store.
struct CheckedDocuments {
    files: Vec<crate::File>,
    stored: stored::Documents,
}

/// Reads and checks documents; with a store, also against its documents.
///
/// Prints the errors and returns the exit code if a document or the store fails.
async fn read_and_check<O: io::Write, E: io::Write>(
    paths: &[PathBuf],
    store: Option<&Client>,
    now: Timestamp,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Result<CheckedDocuments, Exit>> {
    let files = match file::read(paths) {
        Ok(files) => files,
        Err(errors) => return printer.refused_files(&errors).map(|()| Err(Exit::Refused)),
    };
    let stored = match store {
        None => None,
        Some(store) => match stored::documents(store).await {
            Ok(stored) => Some(stored),
            Err(error) => return print_store_error(&error, printer).map(Err),
        },
    };
    let options = check::Options {
        now,
        stored: stored.as_ref(),
    };
    let errors = check::check(&files, options);
    if !errors.is_empty() {
        return printer.refused_files(&errors).map(|()| Err(Exit::Refused));
    }
    let stored = stored.unwrap_or_default();
    Ok(Ok(CheckedDocuments { files, stored }))
}

fn run_explain<O: io::Write, E: io::Write>(
    id: &str,
    logs: &[PathBuf],
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let mut texts = Vec::new();
    for path in logs {
        match std::fs::read(path) {
            Ok(bytes) => texts.push((path.display().to_string(), bytes)),
            Err(error) => {
                printer.error(&format_args!("{}: {error}", path.display()))?;
                return Ok(Exit::Refused);
            }
        }
    }
    let texts: Vec<(&str, String)> = texts
        .iter()
        .map(|(file, bytes)| (file.as_str(), String::from_utf8_lossy(bytes).into_owned()))
        .collect();
    let lines = texts.iter().flat_map(|(file, text)| {
        let lines = text.lines();
        lines.map(|text| explain::LogLine { file, text })
    });
    match explain::explain(id, lines) {
        Ok(outcome) => printer.explanation(&outcome).map(|()| Exit::Done),
        Err(error) => printer.error(&error).map(|()| Exit::NotFound),
    }
}

async fn run_check<O: io::Write, E: io::Write>(
    paths: &[PathBuf],
    store: Option<&Client>,
    now: Timestamp,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    match read_and_check(paths, store, now, printer).await? {
        Ok(checked) => printer
            .valid_documents(checked.files.len())
            .map(|()| Exit::Done),
        Err(exit) => Ok(exit),
    }
}

async fn run_diff<O: io::Write, E: io::Write>(
    paths: &[PathBuf],
    store: &Client,
    now: Timestamp,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let checked = match read_and_check(paths, Some(store), now, printer).await? {
        Ok(checked) => checked,
        Err(exit) => return Ok(exit),
    };
    let outcomes = diff::diff(&checked.files, &checked.stored);
    printer.differences(&outcomes)?;
    let all_unchanged = outcomes
        .iter()
        .all(|outcome| outcome.change == diff::Change::Unchanged);
    Ok(if all_unchanged {
        Exit::Done
    } else {
        Exit::Different
    })
}

async fn run_apply<O: io::Write, E: io::Write>(
    paths: &[PathBuf],
    revision: Option<Revision>,
    store: &Client,
    now: Timestamp,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let checked = match read_and_check(paths, Some(store), now, printer).await? {
        Ok(checked) => checked,
        Err(exit) => return Ok(exit),
    };
    if revision.is_some() && checked.files.len() != 1 {
        let given = checked.files.len();
        printer.error(&format!(
            "fulmarreel: apply: --revision with {given} documents, expected a single document"
        ))?;
        return Ok(Exit::Usage);
    }
    let options = apply::Options { revision };
    let results = apply::apply(store, &checked.files, &checked.stored, options).await;
    printer.apply_results(&results)?;
    let error = results
        .iter()
        .find_map(|applied| applied.result.as_ref().err());
    Ok(error.map_or(Exit::Done, |error| match error {
        apply::Error::Conflict { .. } => Exit::Conflict,
        apply::Error::Store { .. } => Exit::StoreFailed,
        apply::Error::Unknown { .. } => Exit::UnknownOutcome,
    }))
}

async fn run_delete<O: io::Write, E: io::Write>(
    service: &Service,
    revision: Revision,
    store: &Client,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let stored = match stored::documents(store).await {
        Ok(stored) => stored,
        Err(error) => return print_store_error(&error, printer),
    };
    let Err(error) = delete::delete(store, service, revision, &stored).await else {
        return printer
            .text(&format!("{service}: deleted\n"))
            .map(|()| Exit::Done);
    };
    printer.error(&error)?;
    Ok(match error {
        delete::Error::NotFound { .. } => Exit::NotFound,
        delete::Error::InUse { .. } => Exit::Refused,
        delete::Error::Conflict { .. } => Exit::Conflict,
        delete::Error::Store { .. } => Exit::StoreFailed,
        delete::Error::Unknown { .. } => Exit::UnknownOutcome,
    })
}

async fn run_get<O: io::Write, E: io::Write>(
    services: &[String],
    store: &Client,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    let documents = match get::get(store, services).await {
        Ok(documents) => documents,
        Err(error) => return print_get_error(&error, printer),
    };
    match documents.0.first_key_value() {
        // A single document is printed as its text, which can be edited and applied again.
        Some((service, stored)) if services.len() == 1 && !printer.json => {
            printer.error(&format!("{service}: revision {}", stored.revision))?;
            printer.text(&stored.text)?;
        }
        _ => printer.documents(&documents)?,
    }
    Ok(Exit::Done)
}

async fn run_wait<O: io::Write, E: io::Write>(
    options: &wait::Options,
    store: &Client,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    match wait::wait(store, options).await {
        Ok(state) => {
            let exit = match state.phase {
                Phase::TakenBack => Exit::TakenBack,
                _ => Exit::Done,
            };
            let final_move = stored::Move {
                service: options.service.clone(),
                number: None,
                state: Ok(state),
            };
            printer.moves(&[final_move]).map(|()| exit)
        }
        Err(error) => {
            printer.error(&error)?;
            Ok(match error {
                wait::Error::NotFound { .. } | wait::Error::NoMove { .. } => Exit::NotFound,
                wait::Error::Replaced { .. } => Exit::Conflict,
                wait::Error::TimedOut { .. } => Exit::TimedOut,
                wait::Error::Malformed(_) | wait::Error::Store(_) => Exit::StoreFailed,
            })
        }
    }
}

fn print_get_error<O: io::Write, E: io::Write>(
    error: &get::Error,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    printer.error(error)?;
    Ok(match error {
        get::Error::NotFound { .. } => Exit::NotFound,
        get::Error::Store(_) => Exit::StoreFailed,
    })
}

fn print_store_error<O: io::Write, E: io::Write>(
    error: &Error,
    printer: &mut Printer<'_, O, E>,
) -> io::Result<Exit> {
    printer.error(error)?;
    Ok(Exit::StoreFailed)
}
