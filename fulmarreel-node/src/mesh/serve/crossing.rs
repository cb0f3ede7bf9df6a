//! Bodies that cross this machine's narrow link between other nodes and the own target: responses to
//! requests of other nodes, and the request bodies that they send.

use super::{Rejection, Server, request_id, route_of};
use crate::{
    mesh::links::{Direction, Expected, Offer, Upload},
    serve::link::IncomingConnection,
    telemetry::metrics,
};
use fulmarreel_balance::link::Body;
use fulmarreel_route::Entry;
use fulmarreel_wire::call::{MAX_CHUNK_BYTES, Open, Refusal};
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Request bodies of one connection that are still arriving, by call.
#[derive(Debug, Default)]
pub(super) struct Uploads(HashMap<u64, Arriving>);

/// A body that is still arriving.
#[derive(Debug)]
struct Arriving {
    _expected: Expected,
    _upload: Option<Upload>,
    /// When it is no longer waited for.
    until: Instant,
}

impl Uploads {
    /// Removes a body that has arrived or never will.
    pub fn remove(&mut self, sequence: u64) {
        self.0.remove(&sequence);
    }
}

/// The route of a request, and its response as it is expected on the link.
#[derive(Debug)]
pub(super) struct Crossing {
    entry: Arc<Entry>,
    /// The response if it is a large one.
    _expected: Option<Expected>,
}

impl Server {
    /// Expects the response of another node's request on the link, if that is narrow.
    ///
    /// # Errors
    ///
    /// The response could not cross in time; the request is not run.
    pub(super) fn expect_response(&self, open: &Open) -> Result<Option<Crossing>, Rejection> {
        if !self.links.are_narrow() {
            return Ok(None);
        }
        let view = self.context.view();
        let table = view.table.as_deref();
        let Some(entry) = table.and_then(|table| route_of(table, open)).cloned() else {
            return Ok(None);
        };
        if !entry.route.is_bulk {
            return Ok(Some(Crossing {
                entry,
                _expected: None,
            }));
        }
        let now = Instant::now();
        let after_ms = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let work = self.slot_queue.mean_hold_time();
        let body = Body {
            bytes: self.links.response_bytes(&entry.route),
            ready_at: now + work,
            // `wanted_ms` leaves time for the work and as much again as a margin.
            objective: after_ms(open.wanted_ms) + work * 2,
            deadline: after_ms(open.remaining_ms),
        };
        match self.links.expect(Direction::Outgoing, &body) {
            Ok(expected) => Ok(Some(Crossing {
                entry,
                _expected: Some(expected),
            })),
            Err(retry_after) => {
                self.log_link_refusal(open, Direction::Outgoing, &body, retry_after);
                let reason = Refusal::Overloaded;
                Err(Rejection::refused(open, reason, retry_after))
            }
        }
    }

    /// Expects the body of an announced request on the link and grants credit for it in its turn, or refuses
    /// the request if the body could not cross in time. If the link is not narrow, credit is granted at once.
    pub(super) fn expect_upload(
        &self,
        uploads: &mut Uploads,
        connection: &mut IncomingConnection,
        sequence: u64,
    ) {
        let Some(open) = connection.announced(sequence) else {
            return;
        };
        let view = self.context.view();
        let entry = view
            .table
            .as_deref()
            .and_then(|table| route_of(table, open));
        if !entry.is_some_and(|entry| entry.route.is_bulk) {
            return;
        }
        let offer = (open.length > MAX_CHUNK_BYTES as u64).then(|| Offer {
            sequence,
            bytes: open.length,
            deadline: Instant::now() + Duration::from_millis(u64::from(open.remaining_ms)),
            outgoing: connection.outgoing.clone(),
        });
        if !self.links.are_narrow() {
            if let Some(offer) = offer {
                offer.accept();
            }
            return;
        }
        let now = Instant::now();
        uploads.0.retain(|_, arriving| arriving.until > now);
        let after_ms = |ms: u32| now + Duration::from_millis(u64::from(ms));
        let work = self.slot_queue.mean_hold_time();
        let deadline = after_ms(open.remaining_ms);
        let body = Body {
            bytes: open.length as f64,
            ready_at: now,
            // The upload may use the margin of `wanted_ms`, which is as long as the work.
            objective: after_ms(open.wanted_ms) + work,
            deadline: after_ms(open.latest_ms),
        };
        match self.links.expect(Direction::Incoming, &body) {
            Ok(expected) => {
                let arriving = Arriving {
                    _expected: expected,
                    _upload: offer.map(|offer| self.links.start_upload(offer)),
                    until: deadline,
                };
                uploads.0.insert(sequence, arriving);
            }
            Err(retry_after) => {
                self.log_link_refusal(open, Direction::Incoming, &body, retry_after);
                metrics::call_refused(&open.service, Refusal::Overloaded);
                connection.refuse_announced(sequence, Refusal::Overloaded, retry_after);
            }
        }
    }

    fn log_link_refusal(
        &self,
        open: &Open,
        direction: Direction,
        body: &Body,
        retry_after: Duration,
    ) {
        log::info!(
            id = request_id(open),
            direction = direction.name(),
            bytes = body.bytes as u64,
            wanted_ms = open.wanted_ms,
            backlog_ms = self.links.backlog(direction).as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64;
            "refused, the link cannot carry the body in time"
        );
    }

    /// Records that a response is handed to the link; a large one waits for its turn.
    pub(super) async fn send_crossing(&self, crossing: Option<Crossing>, bytes: usize) {
        if let Some(crossing) = crossing {
            if bytes > MAX_CHUNK_BYTES {
                self.links.wait_for_turn().await;
            }
            self.links.record_response(&crossing.entry.route, bytes);
            drop(crossing);
            self.links.send(bytes);
        }
    }

    /// The load with the link's backlog: as many requests as the target would run in that time.
    pub(super) fn load_with_link(&self, in_flight: u16, slots: u16) -> u16 {
        if !self.links.are_narrow() {
            return in_flight;
        }
        let backlog = [Direction::Incoming, Direction::Outgoing]
            .map(|direction| self.links.backlog(direction))
            .into_iter()
            .max();
        let backlog = backlog.unwrap_or_default().as_secs_f64();
        let hold = self.slot_queue.mean_hold_time().as_secs_f64().max(0.001);
        // A conversion to integers saturates.
        in_flight.max((f64::from(slots) * backlog / hold) as u16)
    }
}
