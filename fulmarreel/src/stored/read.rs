//! Reads documents, moves and outcomes from the store.

use super::{Documents, Malformed, Move, Stored};
use fulmarreel_document::parse;
use fulmarreel_rollout::Publication;
use fulmarreel_store::{
    Entry, Error, Store,
    keys::{self, Key},
};

/// Reads every document.
pub async fn documents(store: &impl Store) -> Result<Documents, Error> {
    let listing = store.list(keys::DOCUMENTS).await?;
    let entries = listing.entries.into_iter().filter_map(|entry| {
        let service = entry.key.strip_prefix(keys::DOCUMENTS)?.to_owned();
        Some((service, stored(&entry)))
    });
    Ok(Documents(entries.collect()))
}

/// Reads the state of every move.
pub async fn moves(store: &impl Store) -> Result<Vec<Move>, Error> {
    let listing = store.list(keys::MOVES).await?;
    Ok(listing.entries.iter().filter_map(state).collect())
}

/// Reads the outcomes of moves, of one service or of all, oldest first for each service.
pub async fn history(store: &impl Store, service: Option<&str>) -> Result<Vec<Move>, Error> {
    let prefix = service.map_or(keys::HISTORY.to_owned(), |service| {
        format!("{}{service}/", keys::HISTORY)
    });
    let listing = store.list(&prefix).await?;
    Ok(listing.entries.iter().filter_map(state).collect())
}

fn stored(entry: &Entry) -> Stored {
    let text = String::from_utf8_lossy(&entry.value).into_owned();
    Stored {
        revision: entry.revision,
        document: parse(&text),
        text,
    }
}

fn state(entry: &Entry) -> Option<Move> {
    let (service, number) = match Key::try_from(entry.key.as_str()).ok()? {
        Key::Move { service } => (service, None),
        Key::History { service, number } => (service, Some(number)),
        _ => return None,
    };
    Some(Move {
        service: service.to_owned(),
        number,
        state: decode(entry).map(|publication| publication.state),
    })
}

pub(crate) fn decode(entry: &Entry) -> Result<Publication, Malformed> {
    Publication::decode(&entry.value).map_err(|source| Malformed {
        key: entry.key.clone(),
        source,
    })
}
