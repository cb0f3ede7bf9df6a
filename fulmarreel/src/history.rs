//! The outcomes of past moves.

use crate::stored::{self, Move};
use fulmarreel_store::{self as platform, Store};

/// Reads the outcomes of moves of some services, or of all where none is named.
///
/// # Errors
///
/// The store failed.
pub async fn history(
    store: &impl Store,
    services: &[String],
) -> Result<Vec<Move>, platform::Error> {
    if services.is_empty() {
        return stored::history(store, None).await;
    }
    let mut outcomes = Vec::new();
    for service in services {
        outcomes.extend(stored::history(store, Some(service)).await?);
    }
    Ok(outcomes)
}
