//! Prints what quotas cost: datagrams and bytes a second in a fleet under its usual load, and the memory
//! for 10,000 accounts. `cargo run --release -p fulmarreel-quota --example costs`

use fastrand::Rng;
use fulmarreel_quota::{
    Coordinator, Limit, Member, Time,
    limit::{Bounds, Quota},
    member::Outgoing,
    message::{Answer, Demand, Held, Report},
};
use fulmarreel_wire::{
    PROTOCOL,
    notice::{
        Datagram, MAX_QUOTA_DEMANDS, Notice, QuotaAnswer, QuotaLoan, QuotaLoanRequest, QuotaReport,
    },
};
use std::{collections::HashMap, error::Error, fs, time::Duration};

const NODES: usize = 70;
const ACCOUNTS: u64 = 77;
const MANY_ACCOUNTS: u64 = 10_000;
/// Nodes with demand of each of the many accounts.
const NODES_PER_ACCOUNT: usize = 10;
const STEP: Duration = Duration::from_millis(2);
const MAX_WAIT: Duration = Duration::from_millis(100);
const WARM_UP: Duration = Duration::from_secs(20);
const PLAY: Duration = Duration::from_secs(20);
const USUAL_DEMAND: f64 = 0.62;
const CLUMP: u64 = 2;
const HEADER_BYTES: usize = 28;

fn rate_per_s(account: u64) -> f64 {
    (750.0 / (account as f64).powf(1.2)).max(4.0)
}

fn limit(account: u64) -> Limit {
    let (rate_per_s, window) = (rate_per_s(account), Duration::from_secs(5));
    let quota = Quota {
        rate_per_s,
        burst: rate_per_s,
    };
    let bounds = Bounds {
        window,
        excess: 0.1,
        slack: 20.0,
    };
    Limit::new(quota, bounds)
}

/// A number as large as a hash, which takes more bytes than that of an account here.
fn hash(account: u64) -> u64 {
    account | 1 << 63
}

/// Datagrams and their bytes, headers of IP and UDP included.
#[derive(Default)]
struct Count {
    datagrams: usize,
    bytes: usize,
}

impl Count {
    fn add(&mut self, notice: Notice) -> Result<(), Box<dyn Error>> {
        let from = "10.1.0.30:7260".parse()?;
        let datagram = Datagram {
            protocol: PROTOCOL,
            from,
            notice,
        };
        self.datagrams += 1;
        self.bytes += datagram.encode()?.len() + HEADER_BYTES;
        Ok(())
    }

    fn print(&self, what: &str) {
        let seconds = PLAY.as_secs_f64();
        println!(
            "{what}: {:.0} datagrams/s, {:.0} bytes/s",
            self.datagrams as f64 / seconds,
            self.bytes as f64 / seconds
        );
    }
}

/// The wire form of a report whose accounts are as long as hashes.
fn report_to_wire(report: &Report) -> Notice {
    let mut report = QuotaReport::from(report);
    for demand in &mut report.demands {
        demand.account = hash(demand.account);
    }
    Notice::QuotaReport(report)
}

/// The wire form of an answer whose accounts are as long as hashes.
fn answer_to_wire(answer: &Answer) -> Notice {
    let mut answer = QuotaAnswer::from(answer);
    for grant in &mut answer.grants {
        grant.account = hash(grant.account);
    }
    Notice::QuotaAnswer(answer)
}

/// A fleet whose messages take no time.
struct Fleet {
    now: Time,
    members: Vec<Member<u64>>,
    coordinator: Coordinator<usize>,
    coordinated: Count,
    lent: Count,
}

impl Fleet {
    fn drive(&mut self, node: usize) -> Result<(), Box<dyn Error>> {
        let now = self.now;
        if self.members[node].due_at(now).is_none_or(|at| at > now) {
            return Ok(());
        }
        self.members[node].decide(now);
        let deputies = |account: u64, _: &Limit| {
            let first = (account % NODES as u64) as usize;
            let all = [first, (first + 7) % NODES];
            match all.iter().position(|deputy| *deputy == node) {
                Some(index) => [Some(all[1 - index]), None],
                None => [Some(all[node % 2]), Some(all[1 - node % 2])],
            }
        };
        for message in self.members[node].messages(MAX_QUOTA_DEMANDS, deputies, now) {
            match message {
                Outgoing::Report(report) => self.report(node, &report)?,
                Outgoing::LoanRequest(deputy, request) => {
                    let loan = self.members[deputy].lend(&request, limit(request.account), now);
                    let mut request = QuotaLoanRequest::from(&request);
                    request.account = hash(request.account);
                    let tokens = loan.tokens;
                    self.lent.add(Notice::QuotaLoanRequest(request))?;
                    self.lent
                        .add(Notice::QuotaLoan(QuotaLoan { request, tokens }))?;
                    self.members[node].accept(&loan, now);
                }
            }
        }
        Ok(())
    }

    fn report(&mut self, node: usize, report: &Report) -> Result<(), Box<dyn Error>> {
        let limits = |account| Some(limit(account));
        let answer = self.coordinator.answer(node, report, limits, self.now);
        self.members[node].apply(&answer, self.now);
        self.members[node].decide(self.now);
        self.coordinated.add(report_to_wire(report))?;
        self.coordinated.add(answer_to_wire(&answer))
    }
}

/// Plays the usual load.
fn play() -> Result<(), Box<dyn Error>> {
    let mut rng = Rng::with_seed(5);
    let start = Time::from_secs(1);
    let mut fleet = Fleet {
        now: start,
        members: (1..=NODES as u64).map(Member::new).collect(),
        coordinator: Coordinator::new(start, start),
        coordinated: Count::default(),
        lent: Count::default(),
    };
    let mut id = 0;
    while fleet.now < start + WARM_UP + PLAY {
        if fleet.now == start + WARM_UP {
            (fleet.coordinated, fleet.lent) = (Count::default(), Count::default());
        }
        fleet.now += STEP;
        for account in 1..=ACCOUNTS {
            let chance = rate_per_s(account) * USUAL_DEMAND / CLUMP as f64 * STEP.as_secs_f64();
            if rng.f64() < chance {
                let node = rng.usize(0..NODES);
                for _ in 0..CLUMP {
                    id += 1;
                    let until = fleet.now + MAX_WAIT;
                    fleet.members[node].take(account, limit(account), id, until, fleet.now);
                }
            }
        }
        for node in 0..NODES {
            fleet.drive(node)?;
        }
    }
    println!(
        "{NODES} nodes, {ACCOUNTS} accounts, {USUAL_DEMAND} of the quotas in clumps of {CLUMP}"
    );
    fleet.coordinated.print("to and from the coordinator");
    fleet.lent.print("to and from deputies, all together");
    Ok(())
}

fn resident_bytes() -> Result<usize, Box<dyn Error>> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: usize = statm.split(' ').nth(1).ok_or("statm")?.parse()?;
    Ok(pages * 4096)
}

fn memory() -> Result<(), Box<dyn Error>> {
    let now = Time::from_secs(100);
    let before = resident_bytes()?;
    let mut member: Member<u64> = Member::new(1);
    for account in 0..MANY_ACCOUNTS {
        member.take(account, limit(account + 1), account, now, now);
    }
    let at_node = resident_bytes()? - before;
    let mut coordinator = Coordinator::new(Time::ZERO, Time::ZERO);
    let before = resident_bytes()?;
    let limits: HashMap<u64, Limit> = (0..MANY_ACCOUNTS)
        .map(|account| (account, limit(account + 1)))
        .collect();
    for node in 0..NODES_PER_ACCOUNT {
        let demands = (0..MANY_ACCOUNTS).map(|account| Demand {
            account,
            rate_milli: 4_000,
            wanted: 0,
            ahead: 0,
            returned: 0,
            applied: 0,
            held: Held::default(),
        });
        let report = Report {
            boot: 1,
            sequence: 1,
            sent_at: now,
            never_granted: false,
            demands: demands.collect(),
        };
        coordinator.answer(node, &report, |account| limits.get(&account).copied(), now);
    }
    let at_coordinator = resident_bytes()? - before;
    println!("{MANY_ACCOUNTS} accounts at a node: {} KiB", at_node / 1024);
    println!(
        "{MANY_ACCOUNTS} accounts, {NODES_PER_ACCOUNT} nodes each, at the coordinator: {} KiB",
        at_coordinator / 1024
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    play()?;
    memory()
}
