use super::support::{Bench, Run};
use fulmarreel::cli::Exit;
use rstest::rstest;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");

fn apply(bench: &Bench, path: &str) -> Run {
    bench.run(&["apply", &format!("{EXAMPLES}/{path}")])
}

/// Both deployments of the brief, as their teams would apply them, and then a move of each.
#[rstest]
#[case("tlaxcala", &["agronomia", "parcelas", "reservas"], "moves/reservas.jsonc")]
#[case("tavua", &["bookings", "records", "reminders"], "moves/bookings.jsonc")]
fn a_deployment_and_a_move_are_accepted(
    #[case] folder: &str,
    #[case] services: &[&str],
    #[case] later: &str,
) {
    let bench = Bench::new();
    let run = apply(&bench, folder);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
    let run = bench.run(&["get", "--json"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    let names: Vec<_> = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|row| &row["service"])
        .collect();
    assert_eq!(names, services);
    let run = apply(&bench, later);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
}
