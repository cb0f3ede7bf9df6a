//! One node's part in a rollout whose deadline is seconds away.

use fulmarreel_rollout::brief::{
    Call, Counts, CountsByRoute, End, Grant, Member, Message, Recipient, Report, RolloutContext,
    StoreAction, VersionCounts,
};
use std::time::{Duration, Instant};

const OWN: u32 = 1;
const OWNER: u32 = 2;
const NODES: usize = 10;
const LIMIT: Duration = Duration::from_secs(10);

fn context(owner: u32) -> RolloutContext<'static, u32> {
    RolloutContext {
        own: OWN,
        owner: Some(owner),
        standbys: &[OWN],
        nodes: NODES,
        is_leased: true,
        has_targets: true,
    }
}

fn grant(owner_revision: u64, sequence: u32, permille: u16) -> Message {
    Message::Grant(Grant {
        owner_revision,
        sequence,
        permille,
        proven_permille: 0,
    })
}

fn report(boot: u64, calls: u32, failed: u32) -> Message {
    let counts = |calls, failed| Counts {
        calls,
        failed,
        ..Counts::default()
    };
    let pair = VersionCounts {
        old: counts(200, 0),
        new: counts(calls, failed),
    };
    Message::Report(Report {
        boot,
        owner_revision: 0,
        permille: 0,
        proven_permille: 0,
        evidence: CountsByRoute::from([(1, pair)]),
    })
}

/// Records a call to the new version at a member; it fails or is answered in time.
fn record(member: &mut Member<u32>, route: u64, failed: bool, now: Instant) {
    let call = member.record_sent(call(route, None));
    let end = if failed {
        End::Failed
    } else {
        End::Answered { slow: false }
    };
    member.record_end(call, end, now);
}

fn call(route: u64, overdue: Option<Instant>) -> Call {
    Call {
        route,
        new: true,
        overdue,
    }
}

/// Fails if a share outlives its grant, or falls to zero at once.
#[test]
fn a_share_falls_step_by_step_without_a_newer_grant() {
    let start = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, start);
    member.receive(OWNER, grant(5, 1, 300), start);
    let shares: Vec<u16> = [0, 999, 1_000, 1_250, 1_500, 60_000]
        .map(|millis| {
            member
                .agent()
                .permille(start + Duration::from_millis(millis))
        })
        .to_vec();
    assert_eq!(shares, [300, 300, 120, 50, 0, 0]);
}

/// Fails if a grant is accepted that a later one has overtaken, or that comes from a former owner.
#[test]
fn an_overtaken_grant_changes_nothing() {
    let now = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    member.receive(OWNER, grant(5, 7, 120), now);
    member.receive(OWNER, grant(5, 6, 600), now);
    member.receive(OWNER, grant(4, 90, 1_000), now);
    assert_eq!(member.agent().permille(now), 120);
    member.receive(OWNER, grant(6, 1, 50), now);
    assert_eq!(member.agent().permille(now), 50);
}

/// Fails if the reports of a node's process from before its restart are forgotten.
#[test]
fn a_restart_loses_no_reported_calls() {
    let now = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    member.receive(3, report(1, 6, 2), now);
    assert!(
        member
            .tick(&context(OWNER), now)
            .0
            .iter()
            .all(|message| message.1 != Message::Bad)
    );
    member.receive(3, report(2, 6, 2), now);
    let (messages, action) = member.tick(&context(OWNER), now);
    assert_eq!(messages, [(Recipient::All, Message::Bad)]);
    assert_eq!(action, None);
}

/// Fails if a standby finds a version bad for all nodes by its own calls alone: its own network
/// path may be at fault.
#[test]
fn a_standby_does_not_decide_for_all_by_its_own_calls() {
    let now = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    member.receive(OWNER, grant(5, 1, 50), now);
    for _ in 0..10 {
        record(&mut member, 1, true, now);
    }
    assert_eq!(member.agent().permille(now), 0);
    let (messages, _) = member.tick(&context(OWNER), now);
    assert!(
        messages.iter().all(|message| message.1 != Message::Bad),
        "{messages:?}"
    );
}

/// Fails if a node that knows the outcome of a rollout does not reply with it.
#[test]
fn a_node_that_knows_the_outcome_replies_with_it() {
    let now = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    member.receive(OWNER, Message::Bad, now);
    assert_eq!(
        member.receive(OWNER, grant(5, 1, 50), now),
        Some(Message::Bad)
    );
    assert_eq!(member.agent().permille(now), 0);
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    member.receive(OWNER, Message::Completed, now);
    assert_eq!(
        member.receive(3, report(1, 1, 0), now),
        Some(Message::Completed)
    );
    assert_eq!(member.agent().permille(now + LIMIT), 1_000);
}

/// Fails if a report on many routes does not fit a datagram, or leaves out calls.
#[test]
fn a_report_names_few_routes_and_loses_no_call() {
    let now = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    for route in 1..=800 {
        record(&mut member, route, false, now);
    }
    for _ in 0..3 {
        record(&mut member, 700, true, now);
    }
    let report = member.agent().report(now);
    let calls: u32 = report.evidence.values().map(|pair| pair.new.calls).sum();
    assert!(report.evidence.len() <= 31, "{}", report.evidence.len());
    assert_eq!(calls, 803);
    assert_eq!(report.evidence[&700].new.failed, 3);
}

/// Fails if an owner raises its share or completes a rollout by the reports of nodes that do not
/// follow it, or if it never resigns.
#[test]
fn an_owner_that_nobody_follows_resigns() {
    let start = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, start);
    member.become_owner(5, start, start + LIMIT);
    let mut resigned = None;
    for tick in 0..300 {
        let elapsed = Duration::from_millis(50) * tick;
        for node in 2..=10 {
            member.receive(node, report(u64::from(node), 20, 0), start + elapsed);
        }
        let (_, action) = member.tick(&context(OWN), start + elapsed);
        assert_ne!(action, Some(StoreAction::Complete), "{elapsed:?}");
        assert!(
            member.agent().permille(start + elapsed) <= 50,
            "{elapsed:?}"
        );
        if action == Some(StoreAction::Resign) {
            resigned = resigned.or(Some(elapsed));
        }
    }
    assert_eq!(resigned, Some(Duration::from_millis(2_500)));
}

/// Fails if an owner that receives no reports keeps sending its grant.
#[test]
fn an_owner_without_reports_sends_no_grant() {
    let start = Instant::now();
    let mut member: Member<u32> = Member::new(1, 0.0, start);
    member.become_owner(5, start, start + LIMIT);
    for tick in 0..40 {
        let now = start + Duration::from_millis(50) * tick;
        let (messages, _) = member.tick(&context(OWN), now);
        assert!(messages.is_empty(), "{messages:?}");
    }
}

/// Calls that have not ended are reported as open, and as overdue once they take too long. Calls
/// whose caller left are reported as lost, or as slow if they were overdue by then.
#[test]
fn calls_without_an_end_are_reported() {
    let now = Instant::now();
    let overdue = now + Duration::from_millis(600);
    let late = now + Duration::from_millis(700);
    let mut member: Member<u32> = Member::new(1, 0.0, now);
    let calls: Vec<u64> = (0..4)
        .map(|_| member.record_sent(call(1, Some(overdue))))
        .collect();
    let new = |member: &Member<u32>, at| member.agent().report(at).evidence[&1].new;
    let expected = Counts {
        open: 4,
        ..Counts::default()
    };
    assert_eq!(new(&member, now), expected);
    member.record_end(calls[0], End::Unknown, now);
    member.record_end(calls[1], End::NotRun, now);
    member.record_end(calls[2], End::Unknown, late);
    let expected = Counts {
        calls: 1,
        slow: 1,
        open: 1,
        overdue: 1,
        lost: 1,
        ..Counts::default()
    };
    assert_eq!(new(&member, late), expected);
}
