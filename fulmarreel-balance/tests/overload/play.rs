//! Plays a load on a [`Queue`] without a network, and counts what each stream of requests gets.

use fulmarreel_balance::{
    admission::QueueDeadlines,
    overload::{Class, Decision, Key, Queue, Released, Request},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The slots of the target.
pub const SLOTS: usize = 4;

/// The mean time that a request holds a slot.
pub const HOLD: Duration = Duration::from_millis(40);

/// The requests that the target can run in a second.
pub const CAPACITY: f64 = 100.0;

const LENGTH: Duration = Duration::from_secs(30);

/// The latency objective of all requests.
pub const OBJECTIVE: Duration = Duration::from_millis(200);

const TIMEOUT: Duration = Duration::from_millis(800);

/// Requests of one account, or of targets.
#[derive(Debug, Clone)]
pub struct Stream {
    pub class: Class,
    pub account: u64,
    pub weight: f64,
    pub per_s: f64,
}

impl Stream {
    pub fn internal(per_s: f64) -> Self {
        Self {
            class: Class::internal(0),
            account: 0,
            weight: 1.0,
            per_s,
        }
    }

    pub fn new_work(account: u64, priority: u8, weight: f64, per_s: f64) -> Self {
        Self {
            class: Class::new_work(priority, 0),
            account,
            weight,
            per_s,
        }
    }
}

/// What a stream got.
#[derive(Debug, Default, Clone)]
pub struct Result {
    pub asked: u32,
    pub served: u32,
    /// How long those that were not served waited until they were refused.
    pub refused_after: Vec<Duration>,
}

impl Result {
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }

    pub fn refused_share(&self) -> f64 {
        1.0 - self.served_share()
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Finish(Duration),
    Expire(Key),
}

/// A request: its stream, and when it arrived.
type Handle = (usize, Instant);

struct Play {
    queue: Queue<Handle>,
    events: BTreeMap<(Instant, u64), Event>,
    count: u64,
    random: fastrand::Rng,
    results: Vec<Result>,
}

/// Plays streams of requests that arrive at random, and returns what each got.
pub fn play(streams: &[Stream], seed: u64) -> Vec<Result> {
    let start = Instant::now();
    let mut play = Play {
        queue: Queue::new(SLOTS),
        events: BTreeMap::new(),
        count: 0,
        random: fastrand::Rng::with_seed(seed),
        results: vec![Result::default(); streams.len()],
    };
    for (index, _) in streams.iter().enumerate() {
        play.schedule(start, Event::Arrive(index));
    }
    while let Some(((now, _), event)) = play.events.pop_first() {
        match event {
            Event::Arrive(index) if now < start + LENGTH => {
                let pause_s = -play.random.f64().max(1e-9).ln() / streams[index].per_s;
                let next = now + Duration::from_secs_f64(pause_s);
                play.schedule(next, Event::Arrive(index));
                play.arrive(now, index, &streams[index]);
            }
            Event::Arrive(_) => {}
            Event::Finish(held) => {
                let released = play.queue.release_slot(now, held);
                for released in released {
                    match released {
                        Released::Admitted(handle) => play.start(now, handle),
                        Released::Expired(handle) => play.refuse(now, handle),
                    }
                }
            }
            Event::Expire(key) => {
                if let Some(handle) = play.queue.withdraw(key) {
                    play.refuse(now, handle);
                }
            }
        }
    }
    play.results
}

impl Play {
    fn arrive(&mut self, now: Instant, index: usize, stream: &Stream) {
        self.results[index].asked += 1;
        let request = Request {
            class: stream.class,
            account: stream.account,
            weight: stream.weight,
            deadlines: QueueDeadlines {
                wanted: now + OBJECTIVE - HOLD * 2,
                latest: now + TIMEOUT - HOLD,
            },
        };
        let arrival = self.queue.admit(now, request, (index, now));
        match arrival.decision {
            Decision::Admitted(handle) => self.start(now, handle),
            Decision::Queued(key) => self.schedule(request.deadlines.latest, Event::Expire(key)),
            Decision::Refused(handle, _) => self.refuse(now, handle),
        }
        for handle in arrival.displaced {
            self.refuse(now, handle);
        }
    }

    fn start(&mut self, now: Instant, (index, _): Handle) {
        self.results[index].served += 1;
        let held = HOLD.mul_f64(0.5 + self.random.f64());
        self.schedule(now + held, Event::Finish(held));
    }

    fn refuse(&mut self, now: Instant, (index, arrived): Handle) {
        let waited = now.saturating_duration_since(arrived);
        self.results[index].refused_after.push(waited);
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }
}

/// The share of the requests of several streams that were served.
pub fn served_share(results: &[Result]) -> f64 {
    let asked: u32 = results.iter().map(|result| result.asked).sum();
    let served: u32 = results.iter().map(|result| result.served).sum();
    f64::from(served) / f64::from(asked)
}
