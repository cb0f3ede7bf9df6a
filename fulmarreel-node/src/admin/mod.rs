//! What the target and operators talk to: announcements, health and a view of what is believed.

use crate::state::State;
use fulmarreel_membership::Target;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use trillium::{Conn, Method, Status};

/// What a target says of itself.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: String,
    version: String,
    slots: u16,
    #[serde(default)]
    leaving: bool,
}

/// What this node believes of one service.
#[derive(Debug, Serialize)]
struct Belief {
    revision: u64,
    version: String,
    targets: BTreeMap<String, Vec<SocketAddr>>,
}

/// Serves one request of the target or of an operator.
pub async fn handle(state: &Arc<State>, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/health") => conn.ok("alive"),
        (Method::Get, "/view") => {
            let view = serde_json::to_vec_pretty(&beliefs(state)).unwrap_or_default();
            conn.ok(view)
        }
        (Method::Post, "/announce") => {
            let body = conn.request_body().read_bytes().await.unwrap_or_default();
            match serde_json::from_slice::<Announcement>(&body) {
                Ok(announcement) => {
                    state.announce(Some(announcement.into()));
                    conn.ok("")
                }
                Err(error) => conn
                    .with_status(Status::BadRequest)
                    .with_body(error.to_string())
                    .halt(),
            }
        }
        _ => conn.with_status(Status::NotFound).halt(),
    }
}

impl From<Announcement> for Target {
    fn from(announcement: Announcement) -> Self {
        Self {
            service: announcement.service,
            version: announcement.version,
            slots: announcement.slots,
            leaving: announcement.leaving,
        }
    }
}

fn beliefs(state: &State) -> BTreeMap<String, Belief> {
    let view = state.view();
    let beliefs = view.services().map(|(name, service)| {
        let targets = service.candidates.iter().map(|(version, candidates)| {
            let addresses = candidates.iter().map(|candidate| candidate.address);
            (version.clone(), addresses.collect())
        });
        let belief = Belief {
            revision: service.revision,
            version: service.document.version().to_string(),
            targets: targets.collect(),
        };
        (name.to_owned(), belief)
    });
    beliefs.collect()
}
