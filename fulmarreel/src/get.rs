//! Reads documents from the store.

use crate::stored::{self, Documents};
use fulmarreel_store::Store;

/// Why documents could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no document of the service.
    #[error("{service}: no document in the store")]
    NotFound {
        /// The service.
        service: String,
    },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] fulmarreel_store::Error),
}

/// Reads the documents of the named services, or all documents if none is named.
///
/// # Errors
///
/// A named service has no document, or the store failed.
pub async fn get(store: &impl Store, services: &[String]) -> Result<Documents, Error> {
    let mut all = stored::documents(store).await?;
    if let Some(missing) = services.iter().find(|name| !all.0.contains_key(*name)) {
        return Err(Error::NotFound {
            service: missing.clone(),
        });
    }
    if !services.is_empty() {
        all.0.retain(|name, _| services.contains(name));
    }
    Ok(all)
}
