//! Receives the announcements of this node's target.

use crate::state::State;
use fulmarreel_document::{NameError, Service, Version};
use fulmarreel_membership::Target;
use serde::Deserialize;
use trillium::{Conn, Status};

/// A target's announcement: its service, version and capacity.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: String,
    version: String,
    slots: u16,
    #[serde(default)]
    leaving: bool,
}

/// Why an announcement was refused.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("announcement: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("announcement: {0}")]
    Name(#[from] NameError),
    #[error("announcement: no slots, expected at least 1")]
    NoSlots,
}

/// Handles `POST /announce`.
pub(super) async fn handle(state: &State, mut conn: Conn) -> Conn {
    let body = conn.request_body().read_bytes().await.unwrap_or_default();
    match parse(&body) {
        Ok(target) => {
            state.announce(Some(target));
            conn.ok("")
        }
        Err(error) => {
            log::warn!("{error}");
            conn.with_status(Status::BadRequest)
                .with_body(error.to_string())
                .halt()
        }
    }
}

fn parse(body: &[u8]) -> Result<Target, Error> {
    serde_json::from_slice::<Announcement>(body)?.try_into()
}

impl TryFrom<Announcement> for Target {
    type Error = Error;

    fn try_from(announcement: Announcement) -> Result<Self, Error> {
        Service::try_from(announcement.service.as_str())?;
        Version::try_from(announcement.version.as_str())?;
        if announcement.slots == 0 {
            return Err(Error::NoSlots);
        }
        Ok(Self {
            service: announcement.service,
            version: announcement.version,
            slots: announcement.slots,
            leaving: announcement.leaving,
        })
    }
}
