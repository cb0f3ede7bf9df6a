use super::support::{Fixture, document, document_with_move};
use fulmarreel::cli::Exit;
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{
    Publication, Share, State,
    state::{Phase, Reason},
};

const DOCUMENT_KEY: &str = "fulmarreel/documents/reservas";
const MOVE_KEY: &str = "fulmarreel/moves/reservas";

fn encoded_state(revision: u64, share: f64, phase: Phase, reason: Reason) -> String {
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

/// Guards against showing the state of an earlier revision's move as that of the current one.
#[rstest::rstest]
#[case(
    2,
    "reservas  2         v1       v2       2026-12-04T18:00:00Z  proving  5.00 %  the first calls go to the new version"
)]
#[case(
    1,
    "reservas  2         v1       v2       2026-12-04T18:00:00Z  -      -      no node has taken up the move yet"
)]
fn status_shows_the_move_of_the_current_revision(#[case] revision: u64, #[case] line: &str) {
    let fixture = Fixture::new();
    fixture.put(DOCUMENT_KEY, &document_with_move("reservas", "18:00:00"));
    fixture.put(
        MOVE_KEY,
        &encoded_state(revision, 0.05, Phase::Proving, Reason::Started),
    );
    let run = fixture.run(&["status", "reservas"]);
    assert_eq!(run.out.lines().nth(1), Some(line), "{}", run.out);
}

#[rstest::rstest]
#[case(0.0, Phase::TakenBack, "60", Exit::TakenBack)]
#[case(1.0, Phase::Completed, "60", Exit::Done)]
#[case(1.0, Phase::Soaking, "1", Exit::TimedOut)]
fn wait_ends_with_the_move(
    #[case] share: f64,
    #[case] phase: Phase,
    #[case] seconds: &str,
    #[case] exit: Exit,
) {
    let fixture = Fixture::new();
    fixture.put(DOCUMENT_KEY, &document_with_move("reservas", "18:00:00"));
    fixture.put(
        MOVE_KEY,
        &encoded_state(2, 0.05, Phase::Proving, Reason::Started),
    );
    let run = std::thread::scope(|scope| {
        let waiting = scope.spawn(|| fixture.run(&["wait", "--timeout", seconds, "reservas"]));
        fixture.put(MOVE_KEY, &encoded_state(2, share, phase, Reason::Soaked));
        waiting.join().unwrap()
    });
    assert_eq!(run.exit, exit, "{run:?}");
}

#[test]
fn wait_fails_without_a_document_or_a_move() {
    let fixture = Fixture::new();
    assert_eq!(fixture.run(&["wait", "reservas"]).exit, Exit::NotFound);
    fixture.put(DOCUMENT_KEY, &document("reservas", None));
    let run = fixture.run(&["wait", "reservas"]);
    assert_eq!(run.exit, Exit::NotFound);
    assert_eq!(
        run.err,
        "reservas: the document at revision 2 declares no move\n"
    );
}

#[test]
fn history_lists_the_outcomes_of_a_service() {
    let fixture = Fixture::new();
    let key = |number: u32| format!("fulmarreel/history/reservas/{number:020}");
    fixture.put(
        &key(1),
        &encoded_state(5, 1.0, Phase::Completed, Reason::Soaked),
    );
    fixture.put(
        &key(2),
        &encoded_state(9, 0.0, Phase::TakenBack, Reason::Declared),
    );
    fixture.put("fulmarreel/history/reservas-2/00000000000000000001", "{}");
    let run = fixture.run(&["history", "--json", "reservas"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let phases: Vec<_> = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|row| &row["phase"])
        .collect();
    assert_eq!(phases, ["completed", "taken-back"]);
}
