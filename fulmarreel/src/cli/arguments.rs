//! Parses the arguments of the command line.

use fulmarreel_document::Service;
use fulmarreel_store::Revision;
use pico_args::Arguments as Parser;
use std::{ffi::OsString, path::PathBuf, time::Duration};

/// The environment variable with the store's addresses, used if `--store` is not given.
pub const STORE_VARIABLE: &str = "FULMARREEL_STORE";

/// How long `wait` waits if `--timeout` is not given.
const DEFAULT_WAIT: Duration = Duration::from_secs(3_600);

/// The text of `--help`.
pub(super) const HELP: &str = "\
usage: fulmarreel COMMAND [--store ADDRESS[,ADDRESS...]] [--json] ...

  check PATH...                       check documents; with a store, also against those in it
  diff PATH...                        show what 'apply' would change
  apply [--revision N] PATH...        write documents, each by compare-and-swap
  delete --revision N SERVICE         delete a document
  get [SERVICE...]                    show documents (a single one: its text)
  status [SERVICE...]                 show documents and the states of their moves
  wait [--timeout SECONDS] SERVICE    wait until the service's move is over
  history [SERVICE...]                show the outcomes of past moves
  explain ID FILE...                  show how a request ended, from the nodes' logs

A PATH is a document, or a folder of documents (.jsonc, .json).
The store's addresses are taken from --store, or from the variable FULMARREEL_STORE.
Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 store failed, 5 unknown outcome,
6 differences, 7 taken back, 8 not over in time, 9 no such document, move or request.
";

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the help text.
    Help,
    /// Show the version.
    Version,
    /// Check documents.
    Check(Vec<PathBuf>),
    /// Compare documents with those in the store.
    Diff(Vec<PathBuf>),
    /// Write documents.
    Apply {
        /// Files and folders.
        paths: Vec<PathBuf>,
        /// The revision that the operator read, if given.
        revision: Option<Revision>,
    },
    /// Delete a document.
    Delete {
        /// The service.
        service: Service,
        /// The revision that the operator read.
        revision: Revision,
    },
    /// Show documents.
    Get(Vec<String>),
    /// Show documents and the states of their moves.
    Status(Vec<String>),
    /// Wait for the end of a move.
    Wait {
        /// The service.
        service: String,
        /// How long to wait.
        timeout: Duration,
    },
    /// Show the outcomes of past moves.
    History(Vec<String>),
    /// Show how a request ended.
    Explain {
        /// The request's id.
        id: String,
        /// Log files.
        logs: Vec<PathBuf>,
    },
}

/// All arguments of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// Addresses of the store; empty if none were given.
    pub store: Vec<String>,
    /// Whether results are printed as JSON.
    pub json: bool,
}

/// Why arguments were refused.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// No command was given.
    #[error(
        "no command, expected one of check, diff, apply, delete, get, status, wait, history, explain"
    )]
    NoCommand,
    /// The command is unknown.
    #[error(
        "unknown command '{0}', expected one of check, diff, apply, delete, get, status, wait, history, explain"
    )]
    UnknownCommand(String),
    /// A flag is unknown to the command.
    #[error("unknown flag '{0}', see fulmarreel --help")]
    UnknownFlag(String),
    /// A flag's value is missing or malformed.
    #[error("{0}")]
    InvalidValue(#[from] pico_args::Error),
    /// Too few or too many arguments were given.
    #[error("{command}: {given} given, expected {expected}")]
    WrongCount {
        /// The command.
        command: &'static str,
        /// The arguments that were given.
        given: String,
        /// The arguments that the command takes.
        expected: &'static str,
    },
    /// A service's name is malformed.
    #[error(transparent)]
    InvalidName(#[from] fulmarreel_document::NameError),
    /// The command needs a store, and none was given.
    #[error("no store, expected --store ADDRESS or the variable {STORE_VARIABLE}")]
    NoStore,
}

impl Arguments {
    /// Parses arguments; `store` is the value of [`STORE_VARIABLE`].
    ///
    /// # Errors
    ///
    /// The arguments are not among those in the help text.
    pub fn parse(arguments: Vec<OsString>, store: Option<&str>) -> Result<Self, UsageError> {
        let mut parser = Parser::from_vec(arguments);
        if parser.contains(["-h", "--help"]) {
            return Ok(Self::without_options(Command::Help));
        }
        if parser.contains(["-V", "--version"]) {
            return Ok(Self::without_options(Command::Version));
        }
        let json = parser.contains("--json");
        let store_flag: Option<String> = parser.opt_value_from_str("--store")?;
        let store = split_addresses(store_flag.as_deref().or(store).unwrap_or_default());
        let command = parse_command(parser)?;
        if store.is_empty() && !matches!(command, Command::Check(_) | Command::Explain { .. }) {
            return Err(UsageError::NoStore);
        }
        Ok(Self {
            command,
            store,
            json,
        })
    }

    /// Arguments of a command that needs no store and prints plain text.
    fn without_options(command: Command) -> Self {
        Self {
            command,
            store: Vec::new(),
            json: false,
        }
    }
}

fn split_addresses(list: &str) -> Vec<String> {
    let addresses = list.split(',').map(str::trim);
    addresses
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

fn parse_command(mut parser: Parser) -> Result<Command, UsageError> {
    let name = parser.subcommand()?;
    match name.as_deref() {
        Some("check") => Ok(Command::Check(paths("check", parser)?)),
        Some("diff") => Ok(Command::Diff(paths("diff", parser)?)),
        Some("apply") => parse_apply(parser),
        Some("delete") => parse_delete(parser),
        Some("get") => Ok(Command::Get(positional(parser)?)),
        Some("status") => Ok(Command::Status(positional(parser)?)),
        Some("wait") => parse_wait(parser),
        Some("history") => Ok(Command::History(positional(parser)?)),
        Some("explain") => parse_explain(parser),
        Some(other) => Err(UsageError::UnknownCommand(other.to_owned())),
        None => match parser.finish().first() {
            Some(flag) => Err(UsageError::UnknownFlag(flag.to_string_lossy().into_owned())),
            None => Err(UsageError::NoCommand),
        },
    }
}

fn parse_apply(mut parser: Parser) -> Result<Command, UsageError> {
    let revision: Option<u64> = parser.opt_value_from_str("--revision")?;
    Ok(Command::Apply {
        revision: revision.map(Revision),
        paths: paths("apply", parser)?,
    })
}

fn parse_delete(mut parser: Parser) -> Result<Command, UsageError> {
    let revision = Revision(parser.value_from_str("--revision")?);
    let service = single_service("delete", parser)?;
    let service = Service::try_from(service.as_str())?;
    Ok(Command::Delete { service, revision })
}

fn parse_wait(mut parser: Parser) -> Result<Command, UsageError> {
    let seconds: Option<u32> = parser.opt_value_from_str("--timeout")?;
    let timeout = seconds.map_or(DEFAULT_WAIT, |seconds| Duration::from_secs(seconds.into()));
    let service = single_service("wait", parser)?;
    Ok(Command::Wait { service, timeout })
}

fn parse_explain(parser: Parser) -> Result<Command, UsageError> {
    let mut given = positional(parser)?;
    if given.len() < 2 {
        return Err(UsageError::WrongCount {
            command: "explain",
            given: format!("{} arguments", given.len()),
            expected: "an id and a file",
        });
    }
    let id = given.remove(0);
    let logs = given.into_iter().map(PathBuf::from).collect();
    Ok(Command::Explain { id, logs })
}

fn single_service(command: &'static str, parser: Parser) -> Result<String, UsageError> {
    let mut services = positional(parser)?;
    match services.pop() {
        Some(service) if services.is_empty() => Ok(service),
        last => Err(UsageError::WrongCount {
            command,
            given: format!("{} services", services.len() + usize::from(last.is_some())),
            expected: "one service",
        }),
    }
}

fn paths(command: &'static str, parser: Parser) -> Result<Vec<PathBuf>, UsageError> {
    let paths: Vec<PathBuf> = positional(parser)?.into_iter().map(PathBuf::from).collect();
    if paths.is_empty() {
        return Err(UsageError::WrongCount {
            command,
            given: "no path".to_owned(),
            expected: "a file or folder",
        });
    }
    Ok(paths)
}

/// Returns the remaining arguments, none of which may begin with `-`.
fn positional(parser: Parser) -> Result<Vec<String>, UsageError> {
    let rest = parser.finish().into_iter();
    rest.map(|argument| {
        let text = argument.to_string_lossy().into_owned();
        if text.starts_with('-') {
            Err(UsageError::UnknownFlag(text))
        } else {
            Ok(text)
        }
    })
    .collect()
}
