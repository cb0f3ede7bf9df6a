use super::support::{Fixture, Run};
use fulmarreel::cli::Exit;
use rstest::rstest;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");

fn apply(fixture: &Fixture, path: &str) -> Run {
    fixture.run(&["apply", &format!("{EXAMPLES}/{path}")])
}

/// Applies the example documents of each deployment, then a document that declares a move.
#[rstest]
#[case("tlaxcala", &["agronomia", "parcelas", "reservas"], "moves/reservas.jsonc")]
#[case("tavua", &["bookings", "records", "reminders"], "moves/bookings.jsonc")]
fn example_documents_and_moves_are_accepted(
    #[case] folder: &str,
    #[case] services: &[&str],
    #[case] move_path: &str,
) {
    let fixture = Fixture::new();
    let run = apply(&fixture, folder);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
    let run = fixture.run(&["get", "--json"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let names: Vec<_> = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|row| &row["service"])
        .collect();
    assert_eq!(names, services);
    let run = apply(&fixture, move_path);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
}
