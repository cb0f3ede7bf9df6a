use super::support::{Bench, document, moving};
use fulmarreel::cli::Exit;
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{
    Publication, Share, State,
    state::{Phase, Reason},
};

const RESERVAS: &str = "fulmarreel/documents/reservas";
const MOVE: &str = "fulmarreel/moves/reservas";

fn state(revision: u64, share: f64, phase: Phase, reason: Reason) -> String {
    let state = State {
        share: Share::from_fraction(share),
        phase,
        reason,
        ..State::waiting(revision, Timestamp(0))
    };
    let owner = "127.0.0.1:7001".parse().unwrap();
    let publication = Publication { owner, state };
    String::from_utf8(publication.encode().unwrap()).unwrap()
}

/// Fails where the state of an earlier revision's move is shown as that of the present one.
#[rstest::rstest]
#[case(
    2,
    "reservas  2         v1       v2       2026-12-04T18:00:00Z  proving  5.00 %  the first calls go to the new version"
)]
#[case(
    1,
    "reservas  2         v1       v2       2026-12-04T18:00:00Z  -      -      no node has taken up the move yet"
)]
fn status_shows_the_move_of_the_present_revision(#[case] revision: u64, #[case] line: &str) {
    let bench = Bench::new();
    bench.put(RESERVAS, &moving("reservas", "18:00:00"));
    bench.put(
        MOVE,
        &state(revision, 0.05, Phase::Proving, Reason::Started),
    );
    let run = bench.run(&["status", "reservas"]);
    assert_eq!(run.out.lines().nth(1), Some(line), "{}", run.out);
}

#[rstest::rstest]
#[case(0.0, Phase::TakenBack, "60", Exit::TakenBack)]
#[case(1.0, Phase::Completed, "60", Exit::Done)]
#[case(1.0, Phase::Soaking, "1", Exit::Late)]
fn wait_ends_with_the_move(
    #[case] share: f64,
    #[case] phase: Phase,
    #[case] seconds: &str,
    #[case] exit: Exit,
) {
    let bench = Bench::new();
    bench.put(RESERVAS, &moving("reservas", "18:00:00"));
    bench.put(MOVE, &state(2, 0.05, Phase::Proving, Reason::Started));
    let run = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| bench.run(&["wait", "--timeout", seconds, "reservas"]));
        bench.put(MOVE, &state(2, share, phase, Reason::Soaked));
        waiting.join().unwrap()
    });
    assert_eq!(run.exit, exit, "{run:?}");
}

#[test]
fn wait_says_that_there_is_nothing_to_wait_for() {
    let bench = Bench::new();
    assert_eq!(bench.run(&["wait", "reservas"]).exit, Exit::Absent);
    bench.put(RESERVAS, &document("reservas", None));
    let run = bench.run(&["wait", "reservas"]);
    assert_eq!(run.exit, Exit::Absent);
    assert_eq!(
        run.err,
        "reservas: the document at revision 2 declares no move\n"
    );
}

#[test]
fn history_lists_the_outcomes_of_a_service() {
    let bench = Bench::new();
    let key = |n: u32| format!("fulmarreel/history/reservas/{n:020}");
    bench.put(&key(1), &state(5, 1.0, Phase::Completed, Reason::Soaked));
    bench.put(&key(2), &state(9, 0.0, Phase::TakenBack, Reason::Declared));
    bench.put("fulmarreel/history/reservas-2/00000000000000000001", "{}");
    let run = bench.run(&["history", "--json", "reservas"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let phases: Vec<_> = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|r| &r["phase"])
        .collect();
    assert_eq!(phases, ["completed", "taken-back"]);
}
