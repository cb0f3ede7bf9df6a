//! Where each service stands: its document and its move.

use crate::{
    get,
    stored::{self, Move, Stored},
};
use fulmarreel_store::Store;

/// One service's standing.
#[derive(Debug)]
pub struct Outcome {
    /// The service.
    pub service: String,
    /// Its document.
    pub stored: Stored,
    /// The state of its last move; it may be of an earlier revision of the document.
    pub last_move: Option<Move>,
}

/// Reads the standing of some services, or of all where none is named.
///
/// # Errors
///
/// A named service has no document, or the store failed.
pub async fn status(store: &impl Store, services: &[String]) -> Result<Vec<Outcome>, get::Error> {
    let documents = get::get(store, services).await?;
    let mut moves = stored::moves(store).await?;
    let standings = documents.0.into_iter().map(|(service, stored)| {
        let index = moves.iter().position(|found| found.service == service);
        Outcome {
            last_move: index.map(|index| moves.swap_remove(index)),
            service,
            stored,
        }
    });
    Ok(standings.collect())
}
