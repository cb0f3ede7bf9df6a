//! Arguments of the command line.

use fulmarreel_document::Service;
use fulmarreel_store::Revision;
use pico_args::Arguments as Parser;
use std::{ffi::OsString, path::PathBuf, time::Duration};

/// Names the store's addresses where `--store` is not given.
pub const STORE_VARIABLE: &str = "FULMARREEL_STORE";

/// How long `wait` waits where `--timeout` is not given.
const DEFAULT_WAIT: Duration = Duration::from_secs(3_600);

/// The commands and their arguments.
pub(super) const HELP: &str = "\
usage: fulmarreel COMMAND [--store ADDRESS[,ADDRESS...]] [--json] ...

  check PATH...                       check documents; against the store's too if one is named
  diff PATH...                        show what 'apply' would change
  apply [--revision N] PATH...        write documents, each by compare-and-swap
  delete --revision N SERVICE         delete a document
  get [SERVICE...]                    show documents (a single one: its text)
  status [SERVICE...]                 show active documents and their moves
  wait [--timeout SECONDS] SERVICE    wait until the service's move is over
  history [SERVICE...]                show the outcomes of moves
  explain ID FILE...                  say what became of a request, from logs of nodes

A PATH is a document, or a folder with documents (.jsonc, .json).
The store's addresses come from --store or the variable FULMARREEL_STORE.
Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 store failed, 5 unknown outcome,
6 differences, 7 taken back, 8 not over in time, 9 no such document, move or request.
";

/// One command with its own arguments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the commands.
    Help,
    /// Show the version.
    Version,
    /// Check documents.
    Check(Vec<PathBuf>),
    /// Compare documents with the store's.
    Diff(Vec<PathBuf>),
    /// Write documents.
    Apply {
        /// Files and folders.
        paths: Vec<PathBuf>,
        /// The revision that the operator read.
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
    /// Show documents and moves.
    Status(Vec<String>),
    /// Wait for the end of a move.
    Wait {
        /// The service.
        service: String,
        /// How long.
        timeout: Duration,
    },
    /// Show the outcomes of moves.
    History(Vec<String>),
    /// Say what became of a request.
    Explain {
        /// The request's id.
        id: String,
        /// Files with log lines.
        logs: Vec<PathBuf>,
    },
}

/// All arguments of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arguments {
    /// The command.
    pub command: Command,
    /// Addresses of the store.
    pub store: Vec<String>,
    /// Whether results are written as JSON.
    pub json: bool,
}

/// Why arguments were refused.
#[derive(Debug, thiserror::Error)]
pub enum Usage {
    /// No command was given.
    #[error(
        "no command, expected one of check, diff, apply, delete, get, status, wait, history, explain"
    )]
    NoCommand,
    /// The command is unknown.
    #[error(
        "unknown command '{0}', expected one of check, diff, apply, delete, get, status, wait, history, explain"
    )]
    Command(String),
    /// A flag is unknown to the command.
    #[error("unknown flag '{0}', see fulmarreel --help")]
    Flag(String),
    /// A flag's value is missing or malformed.
    #[error("{0}")]
    Value(#[from] pico_args::Error),
    /// An argument is missing or one too many.
    #[error("{command}: {given} given, expected {expected}")]
    Count {
        /// The command.
        command: &'static str,
        /// How many arguments were given.
        given: String,
        /// What is accepted.
        expected: &'static str,
    },
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] fulmarreel_document::NameError),
    /// No store was named.
    #[error("no store, expected --store ADDRESS or the variable {STORE_VARIABLE}")]
    NoStore,
}

impl Arguments {
    /// Reads arguments; `store` is the value of [`STORE_VARIABLE`].
    ///
    /// # Errors
    ///
    /// The arguments are none of those in the help.
    pub fn parse(arguments: Vec<OsString>, store: Option<&str>) -> Result<Self, Usage> {
        let mut parser = Parser::from_vec(arguments);
        if parser.contains(["-h", "--help"]) {
            return Ok(Self::alone(Command::Help));
        }
        if parser.contains(["-V", "--version"]) {
            return Ok(Self::alone(Command::Version));
        }
        let json = parser.contains("--json");
        let flag: Option<String> = parser.opt_value_from_str("--store")?;
        let store = addresses(flag.as_deref().or(store).unwrap_or_default());
        let command = command(parser)?;
        if store.is_empty() && !matches!(command, Command::Check(_) | Command::Explain { .. }) {
            return Err(Usage::NoStore);
        }
        Ok(Self {
            command,
            store,
            json,
        })
    }

    fn alone(command: Command) -> Self {
        Self {
            command,
            store: Vec::new(),
            json: false,
        }
    }
}

fn addresses(list: &str) -> Vec<String> {
    let addresses = list.split(',').map(str::trim);
    addresses
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

fn command(mut parser: Parser) -> Result<Command, Usage> {
    let name = parser.subcommand()?;
    match name.as_deref() {
        Some("check") => Ok(Command::Check(paths("check", parser)?)),
        Some("diff") => Ok(Command::Diff(paths("diff", parser)?)),
        Some("apply") => apply(parser),
        Some("delete") => delete(parser),
        Some("get") => Ok(Command::Get(free(parser)?)),
        Some("status") => Ok(Command::Status(free(parser)?)),
        Some("wait") => wait(parser),
        Some("history") => Ok(Command::History(free(parser)?)),
        Some("explain") => explain(parser),
        Some(other) => Err(Usage::Command(other.to_owned())),
        None => match parser.finish().first() {
            Some(flag) => Err(Usage::Flag(flag.to_string_lossy().into_owned())),
            None => Err(Usage::NoCommand),
        },
    }
}

fn apply(mut parser: Parser) -> Result<Command, Usage> {
    let revision: Option<u64> = parser.opt_value_from_str("--revision")?;
    Ok(Command::Apply {
        revision: revision.map(Revision),
        paths: paths("apply", parser)?,
    })
}

fn delete(mut parser: Parser) -> Result<Command, Usage> {
    let revision = Revision(parser.value_from_str("--revision")?);
    let service = single("delete", parser)?;
    let service = Service::try_from(service.as_str())?;
    Ok(Command::Delete { service, revision })
}

fn wait(mut parser: Parser) -> Result<Command, Usage> {
    let seconds: Option<u32> = parser.opt_value_from_str("--timeout")?;
    let timeout = seconds.map_or(DEFAULT_WAIT, |seconds| Duration::from_secs(seconds.into()));
    let service = single("wait", parser)?;
    Ok(Command::Wait { service, timeout })
}

fn explain(parser: Parser) -> Result<Command, Usage> {
    let mut given = free(parser)?;
    if given.len() < 2 {
        return Err(Usage::Count {
            command: "explain",
            given: format!("{} arguments", given.len()),
            expected: "an id and a file",
        });
    }
    let id = given.remove(0);
    let logs = given.into_iter().map(PathBuf::from).collect();
    Ok(Command::Explain { id, logs })
}

fn single(command: &'static str, parser: Parser) -> Result<String, Usage> {
    let mut services = free(parser)?;
    match services.pop() {
        Some(service) if services.is_empty() => Ok(service),
        last => Err(Usage::Count {
            command,
            given: format!("{} services", services.len() + usize::from(last.is_some())),
            expected: "one service",
        }),
    }
}

fn paths(command: &'static str, parser: Parser) -> Result<Vec<PathBuf>, Usage> {
    let paths: Vec<PathBuf> = free(parser)?.into_iter().map(PathBuf::from).collect();
    if paths.is_empty() {
        return Err(Usage::Count {
            command,
            given: "no path".to_owned(),
            expected: "a file or folder",
        });
    }
    Ok(paths)
}

/// What is left over, none of which may look like a flag.
fn free(parser: Parser) -> Result<Vec<String>, Usage> {
    let rest = parser.finish().into_iter();
    rest.map(|argument| {
        let text = argument.to_string_lossy().into_owned();
        if text.starts_with('-') {
            Err(Usage::Flag(text))
        } else {
            Ok(text)
        }
    })
    .collect()
}
