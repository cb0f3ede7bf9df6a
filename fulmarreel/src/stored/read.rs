//! Reads documents, moves and outcomes from the store.

use super::{Documents, MalformedState, Move, StoredDocument};
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
        Some((service, stored_document(&entry)))
    });
    Ok(Documents(entries.collect()))
}

/// Reads the state of each service's current move.
pub async fn moves(store: &impl Store) -> Result<Vec<Move>, Error> {
    let listing = store.list(keys::MOVES).await?;
    Ok(listing.entries.iter().filter_map(decode_move).collect())
}

/// Reads the outcomes of past moves of one service, or of all, oldest first for each service.
pub async fn history(store: &impl Store, service: Option<&str>) -> Result<Vec<Move>, Error> {
    let prefix = service.map_or(keys::HISTORY.to_owned(), |service| {
        format!("{}{service}/", keys::HISTORY)
    });
    let listing = store.list(&prefix).await?;
    Ok(listing.entries.iter().filter_map(decode_move).collect())
}

fn stored_document(entry: &Entry) -> StoredDocument {
    let text = String::from_utf8_lossy(&entry.value).into_owned();
    StoredDocument {
        revision: entry.mod_revision,
        document: parse(&text),
        text,
    }
}

/// Decodes the state of a current or past move; `None` for keys of other kinds.
fn decode_move(entry: &Entry) -> Option<Move> {
    let (service, number) = match Key::try_from(entry.key.as_str()).ok()? {
        Key::Move { service } => (service, None),
        Key::History { service, number } => (service, Some(number)),
        _ => return None,
    };
    Some(Move {
        service: service.to_owned(),
        number,
        state: decode_publication(entry).map(|publication| publication.state),
    })
}

pub(crate) fn decode_publication(entry: &Entry) -> Result<Publication, MalformedState> {
    Publication::decode(&entry.value).map_err(|source| MalformedState {
        key: entry.key.clone(),
        source,
    })
}
