//! Reads documents from the store.

use crate::stored::{self, Documents};
use fulmarreel_store::{self as platform, Store};

/// Why there is nothing to show.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store has no document of the service.
    #[error("{service}: no document in the store")]
    Absent {
        /// The service.
        service: String,
    },
    /// The store failed.
    #[error(transparent)]
    Store(#[from] platform::Error),
}

/// Reads the documents of some services, or of all where none is named.
///
/// # Errors
///
/// A named service has no document, or the store failed.
pub async fn get(store: &impl Store, services: &[String]) -> Result<Documents, Error> {
    let mut all = stored::documents(store).await?;
    if let Some(absent) = services.iter().find(|name| !all.0.contains_key(*name)) {
        return Err(Error::Absent {
            service: absent.clone(),
        });
    }
    if !services.is_empty() {
        all.0.retain(|name, _| services.contains(name));
    }
    Ok(all)
}
