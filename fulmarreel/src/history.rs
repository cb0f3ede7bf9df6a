//! Reads the outcomes of past moves.

use crate::stored::{self, Move};
use fulmarreel_store::Store;

/// Reads the outcomes of the named services' moves, or of all services' moves if none is named.
///
/// # Errors
///
/// The store failed.
pub async fn history(
    store: &impl Store,
    services: &[String],
) -> Result<Vec<Move>, fulmarreel_store::Error> {
    if services.is_empty() {
        return stored::history(store, None).await;
    }
    let mut outcomes = Vec::new();
    for service in services {
        outcomes.extend(stored::history(store, Some(service)).await?);
    }
    Ok(outcomes)
}
