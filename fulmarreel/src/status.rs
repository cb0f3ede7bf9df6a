//! Reads each service's document and the state of its move.

use crate::{
    get,
    stored::{self, Move, StoredDocument},
};
use fulmarreel_store::Store;

/// The document and the move of one service.
#[derive(Debug)]
pub struct Outcome {
    /// The service.
    pub service: String,
    /// Its document in the store.
    pub stored: StoredDocument,
    /// The state of its last move, which an earlier revision of the document may have declared.
    pub last_move: Option<Move>,
}

/// Reads the status of the named services, or of all services if none is named.
///
/// # Errors
///
/// A named service has no document, or the store failed.
pub async fn status(store: &impl Store, services: &[String]) -> Result<Vec<Outcome>, get::Error> {
    let documents = get::get(store, services).await?;
    let mut moves = stored::moves(store).await?;
    let outcomes = documents.0.into_iter().map(|(service, stored)| {
        let index = moves
            .iter()
            .position(|candidate| candidate.service == service);
        Outcome {
            last_move: index.map(|index| moves.swap_remove(index)),
            service,
            stored,
        }
    });
    Ok(outcomes.collect())
}
