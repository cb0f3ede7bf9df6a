//! What a target says of itself to its own node, in the order in which it said it.

use std::{net::SocketAddr, time::Duration};

/// Former starts of the target that are remembered.
const MAX_GONE: usize = 16;

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Names this start of the target, mostly.
    pub id: String,
    /// When the target started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Rises with each message of one start.
    pub sequence: u64,
    /// The target's endpoint.
    pub endpoint: SocketAddr,
    /// Its service.
    pub service: String,
    /// The version that it runs.
    pub version: String,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// The target of one node, by its announcements.
#[derive(Debug, Default)]
pub struct Register {
    current: Option<Announcement>,
    /// Starts that have said that they end, by id and time of birth.
    gone: Vec<(String, u64)>,
}

impl Register {
    /// The target, where there is one.
    pub fn current(&self) -> Option<&Announcement> {
        self.current.as_ref()
    }

    /// Takes an announcement in; false where a later one is known, or its sender has ended.
    pub fn announce(&mut self, announcement: Announcement) -> bool {
        let ended = self
            .gone
            .iter()
            .any(|(id, born)| *id == announcement.id && announcement.born <= *born);
        if ended
            || self
                .current
                .as_ref()
                .is_some_and(|known| !follows(&announcement, known))
        {
            return false;
        }
        self.current = Some(announcement);
        true
    }

    /// Notes that a target ends at a time, in milliseconds since the Unix epoch; whether it was the
    /// current one. Of a start that is not known, announcements may still be on their way.
    pub fn end(&mut self, id: &str, at: u64) -> bool {
        let known = self.current.as_ref().filter(|known| known.id == id);
        let born = known.map(|known| known.born);
        if self.gone.len() == MAX_GONE {
            self.gone.remove(0);
        }
        self.gone.push((id.to_owned(), born.unwrap_or(at)));
        if born.is_some() {
            self.current = None;
        }
        born.is_some()
    }

    /// Forgets a target that has been silent for too long.
    pub fn withdraw(&mut self) {
        self.current = None;
    }
}

/// Whether an announcement was made after a known one.
fn follows(announcement: &Announcement, known: &Announcement) -> bool {
    if announcement.id == known.id && announcement.born == known.born {
        return announcement.sequence > known.sequence;
    }
    announcement.born >= known.born
}
