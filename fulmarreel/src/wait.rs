//! Waits for the end of a service's move.

use crate::stored::{self, MalformedState};
use fulmarreel_document::{Document, parse};
use fulmarreel_rollout::State;
use fulmarreel_store::{Entry, Event, Revision, Store, keys::Key, watch::Watch};
use smol::{Timer, future::or};
use std::time::{Duration, Instant};

/// How long a watch may be silent before it counts as broken; the store reports progress more often.
const WATCH_IDLE: Duration = Duration::from_secs(30);

/// Delay before a retry after a store failure.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Whose move is waited for, and for how long.
#[derive(Debug, Clone)]
pub struct Options {
    /// The service.
    pub service: String,
    /// When the wait ends without a result.
    pub deadline: Instant,
}

/// Why no final state was seen.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no document of the service.
    #[error("{service}: no document in the store")]
    NotFound {
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
    /// The document was changed or deleted during its move.
    #[error("{service}: the document at revision {before} was replaced by revision {now}")]
    Replaced {
        /// The service.
        service: String,
        /// The revision whose move was waited for.
        before: Revision,
        /// The revision in the store; [`Revision::ABSENT`] if it was deleted.
        now: Revision,
    },
    /// The deadline passed before the move was over.
    #[error("{service}: the move is not over: {reached}")]
    TimedOut {
        /// The service.
        service: String,
        /// The last known share and reason, or the last store error.
        reached: String,
    },
    /// The value in the store cannot be decoded as the state of a move.
    #[error(transparent)]
    Malformed(#[from] MalformedState),
    /// The store failed. [`wait`] retries and does not return this.
    #[error(transparent)]
    Store(#[from] fulmarreel_store::Error),
}

/// What a wait has learned so far; kept across retries.
#[derive(Debug)]
struct Progress {
    /// The revision of the document whose move is waited for, once it was read.
    revision: Option<Revision>,
    /// The last known share and reason, or the last store error.
    reached: String,
}

/// Waits until the move that the current document declares is over.
///
/// Store failures are retried until the deadline.
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
        let attempt =
            async { Some(watch_until_final(store, &options.service, &mut progress).await) };
        let timeout = async {
            Timer::at(options.deadline).await;
            None
        };
        match or(attempt, timeout).await {
            Some(Err(Error::Store(error))) => progress.reached = error.to_string(),
            Some(result) => return result,
            None => {
                return Err(Error::TimedOut {
                    service: options.service.clone(),
                    reached: progress.reached,
                });
            }
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Reads the document and the move's state, then watches both until the move is over.
async fn watch_until_final(
    store: &impl Store,
    service: &str,
    progress: &mut Progress,
) -> Result<State, Error> {
    let document_key = Key::Document { service }.to_string();
    let state_key = Key::Move { service }.to_string();
    let documents = store.list(&document_key).await?;
    let entry = documents
        .entries
        .iter()
        .find(|entry| entry.key == document_key);
    let revision = move_revision(service, entry, progress)?;
    let states = store.list(&state_key).await?;
    for entry in states.entries.iter().filter(|entry| entry.key == state_key) {
        if let Some(state) = final_state(entry, service, revision, progress)? {
            return Ok(state);
        }
    }
    let mut document_events = store
        .watch(&document_key, documents.revision.next(), WATCH_IDLE)
        .await?;
    let mut state_events = store
        .watch(&state_key, states.revision.next(), WATCH_IDLE)
        .await?;
    loop {
        for event in or(state_events.next(), document_events.next())
            .await?
            .events
        {
            match event {
                Event::Put(entry) if entry.key == state_key => {
                    if let Some(state) = final_state(&entry, service, revision, progress)? {
                        return Ok(state);
                    }
                }
                Event::Put(entry) if entry.key == document_key => {
                    return Err(replaced(service, revision, entry.mod_revision));
                }
                Event::Delete { key, .. } if key == document_key => {
                    return Err(replaced(service, revision, Revision::ABSENT));
                }
                Event::Put(_) | Event::Delete { .. } => {}
            }
        }
    }
}

/// Returns the revision of the document, which must declare a move.
fn move_revision(
    service: &str,
    entry: Option<&Entry>,
    progress: &mut Progress,
) -> Result<Revision, Error> {
    let now = entry.map_or(Revision::ABSENT, |entry| entry.mod_revision);
    if let Some(before) = progress.revision.replace(now)
        && before != now
    {
        return Err(replaced(service, before, now));
    }
    let Some(entry) = entry else {
        return Err(Error::NotFound {
            service: service.to_owned(),
        });
    };
    let text = String::from_utf8_lossy(&entry.value);
    match parse(&text).as_ref().ok().and_then(Document::rollout) {
        Some(_) => Ok(now),
        None => Err(Error::NoMove {
            service: service.to_owned(),
            revision: now,
        }),
    }
}

/// Decodes the state; returns it if the move of the document at `revision` is over.
fn final_state(
    entry: &Entry,
    service: &str,
    revision: Revision,
    progress: &mut Progress,
) -> Result<Option<State>, Error> {
    let state = stored::decode_publication(entry)?.state;
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
