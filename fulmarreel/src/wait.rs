//! Waits for the end of a service's move.

use crate::stored::{self, Malformed};
use fulmarreel_document::{Document, parse};
use fulmarreel_rollout::State;
use fulmarreel_store::{self as platform, Entry, Event, Revision, Store, keys::Key, watch::Watch};
use smol::{Timer, future::or};
use std::time::{Duration, Instant};

/// How long a watch may be silent; the store reports its progress more often.
const WATCH_IDLE: Duration = Duration::from_secs(30);

/// Pause before the store is asked again after a failure.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What is waited for.
#[derive(Debug, Clone)]
pub struct Options {
    /// The service.
    pub service: String,
    /// When to give up.
    pub deadline: Instant,
}

/// Why the end of a move was not seen.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no document of the service.
    #[error("{service}: no document in the store")]
    Absent {
        /// The service.
        service: String,
    },
    /// The service's document declares no move.
    #[error("{service}: the document at revision {revision} declares no move")]
    NoMove {
        /// The service.
        service: String,
        /// The revision of its document.
        revision: Revision,
    },
    /// The document was changed or deleted while its move went on.
    #[error("{service}: the document at revision {before} was replaced by revision {now}")]
    Replaced {
        /// The service.
        service: String,
        /// The revision whose move was waited for.
        before: Revision,
        /// The revision in the store; [`Revision::ABSENT`] if it was deleted.
        now: Revision,
    },
    /// The deadline passed.
    #[error("{service}: the move is not over: {reached}")]
    Late {
        /// The service.
        service: String,
        /// How far it came, or why that could not be read.
        reached: String,
    },
    /// The value in the store is no state of a move.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The store failed and did not come back before the deadline.
    #[error(transparent)]
    Store(#[from] platform::Error),
}

/// How far a wait has come.
#[derive(Debug)]
struct Progress {
    /// The revision of the document whose move is waited for, once it is read.
    revision: Option<Revision>,
    /// The last thing that was learnt.
    reached: String,
}

/// Waits until the move of the present document is over.
///
/// Failures of the store are outlasted until the deadline.
///
/// # Errors
///
/// There is no move to wait for, it was replaced, or the deadline passed.
pub async fn wait(store: &impl Store, options: &Options) -> Result<State, Error> {
    let mut progress = Progress {
        revision: None,
        reached: "nothing was read from the store".to_owned(),
    };
    loop {
        let round = async { Some(follow(store, &options.service, &mut progress).await) };
        let late = async {
            Timer::at(options.deadline).await;
            None
        };
        match or(round, late).await {
            Some(Err(Error::Store(error))) => progress.reached = error.to_string(),
            Some(result) => return result,
            None => {
                return Err(Error::Late {
                    service: options.service.clone(),
                    reached: progress.reached,
                });
            }
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

async fn follow(
    store: &impl Store,
    service: &str,
    progress: &mut Progress,
) -> Result<State, Error> {
    let document = Key::Document { service }.to_string();
    let state = Key::Move { service }.to_string();
    let documents = store.list(&document).await?;
    let entry = documents.entries.iter().find(|entry| entry.key == document);
    let revision = declared(service, entry, progress)?;
    let states = store.list(&state).await?;
    for entry in states.entries.iter().filter(|entry| entry.key == state) {
        if let Some(state) = ended(entry, service, revision, progress)? {
            return Ok(state);
        }
    }
    let mut changes = store
        .watch(&document, documents.revision.next(), WATCH_IDLE)
        .await?;
    let mut steps = store
        .watch(&state, states.revision.next(), WATCH_IDLE)
        .await?;
    loop {
        for event in or(steps.next(), changes.next()).await?.events {
            match event {
                Event::Put(entry) if entry.key == state => {
                    if let Some(state) = ended(&entry, service, revision, progress)? {
                        return Ok(state);
                    }
                }
                Event::Put(entry) if entry.key == document => {
                    return Err(replaced(service, revision, entry.revision));
                }
                Event::Delete { key, .. } if key == document => {
                    return Err(replaced(service, revision, Revision::ABSENT));
                }
                Event::Put(_) | Event::Delete { .. } => {}
            }
        }
    }
}

/// The revision of the document that declares the move.
fn declared(
    service: &str,
    entry: Option<&Entry>,
    progress: &mut Progress,
) -> Result<Revision, Error> {
    let now = entry.map_or(Revision::ABSENT, |entry| entry.revision);
    if let Some(before) = progress.revision.replace(now)
        && before != now
    {
        return Err(replaced(service, before, now));
    }
    let Some(entry) = entry else {
        return Err(Error::Absent {
            service: service.to_owned(),
        });
    };
    let text = String::from_utf8_lossy(&entry.value);
    match parse(&text).as_ref().ok().and_then(Document::shift) {
        Some(_) => Ok(now),
        None => Err(Error::NoMove {
            service: service.to_owned(),
            revision: now,
        }),
    }
}

/// The state, if the move of the document at `revision` is over in it.
fn ended(
    entry: &Entry,
    service: &str,
    revision: Revision,
    progress: &mut Progress,
) -> Result<Option<State>, Error> {
    let state = stored::decode(entry)?.state;
    if state.revision > revision.0 {
        return Err(replaced(service, revision, Revision(state.revision)));
    }
    if state.revision < revision.0 {
        return Ok(None);
    }
    let percent = state.share.fraction() * 100.0;
    progress.reached = format!("{percent} % of calls, {}", state.reason);
    Ok(state.is_final().then_some(state))
}

fn replaced(service: &str, before: Revision, now: Revision) -> Error {
    Error::Replaced {
        service: service.to_owned(),
        before,
        now,
    }
}
