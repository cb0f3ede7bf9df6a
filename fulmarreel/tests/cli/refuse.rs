use super::support::{Fixture, document, document_with_move};
use fulmarreel::cli::Exit;
use rstest::rstest;

#[rstest]
#[case(
    &[],
    "fulmarreel: no command, expected one of check, diff, apply, delete, get, status, wait, history, explain"
)]
#[case(
    &["aply", "x"],
    "fulmarreel: unknown command 'aply', expected one of check, diff, apply, delete, get, status, wait, history, explain"
)]
#[case(&["apply", "--forse", "x"], "fulmarreel: unknown flag '--forse', see fulmarreel --help")]
#[case(&["--verbose"], "fulmarreel: unknown flag '--verbose', see fulmarreel --help")]
#[case(&["check"], "fulmarreel: check: no path given, expected a file or folder")]
#[case(&["wait", "a", "b"], "fulmarreel: wait: 2 services given, expected one service")]
#[case(&["wait"], "fulmarreel: wait: 0 services given, expected one service")]
#[case(&["explain", "9c41"], "fulmarreel: explain: 1 arguments given, expected an id and a file")]
#[case(&["delete", "--revision", "1", "A"], "fulmarreel: 'A' is not a name, expected 1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends")]
fn wrong_usage_is_one_line(#[case] arguments: &[&str], #[case] expected: &str) {
    let run = Fixture::new().run(arguments);
    assert_eq!((run.exit, run.err.trim_end()), (Exit::Usage, expected));
}

/// Each case is a document and the error message after the file's path.
#[rstest]
#[case::unknown_field(
    document("reservas", None).replace("\"version\"", "\"verzion\""),
    ":3:3: field 'verzion': unknown field `verzion`, expected one of `service`, `version`, `routes`, `move`"
)]
#[case::unknown_service(
    document("reservas", Some("parcelas")),
    ":4:54: field 'routes[1].service': 'parcelas', expected a service with a document, given here or in the store"
)]
#[case::past_deadline(
    document_with_move("reservas", "11:59:59"),
    ":6:5: field 'move.complete_by': 2026-12-04T11:59:59Z, expected a time in the future"
)]
#[case::over_a_megabyte(
    " ".repeat(1_048_577),
    ":1:1: the whole document: 1048577 bytes, expected at most 1048576"
)]
fn a_refused_document_is_one_line_and_nothing_is_written(
    #[case] text: String,
    #[case] expected: &str,
    #[values("check", "diff", "apply")] command: &str,
) {
    let fixture = Fixture::new();
    let good = fixture.file("good.jsonc", &document("agronomia", None));
    let bad = fixture.file("reservas.jsonc", &text);
    let run = fixture.run(&[command, &good, &bad]);
    assert_eq!(run.exit, Exit::Refused);
    assert_eq!(run.err, format!("{bad}{expected}\n"));
    assert_eq!(fixture.value("fulmarreel/documents/agronomia"), None);
}

#[test]
fn every_refused_file_of_a_folder_has_its_line() {
    let fixture = Fixture::new();
    let one = fixture.file("1.jsonc", "{");
    let two = fixture.file("2.json", &document("a", None));
    let three = fixture.file("3.jsonc", &document("a", None));
    fixture.file("notes.txt", "not a document");
    let folder = fixture.folder.display().to_string();
    let missing = format!("{folder}/missing.jsonc");
    let run = fixture.run(&["apply", &folder, &missing]);
    let expected = format!(
        "{one}:1:1: unterminated object, expected JSON with comments\n\
         {missing}: cannot be read: No such file or directory (os error 2), expected a readable file or folder\n\
         {three}:2:3: field 'service': 'a' is also in {two}, expected one document for each service\n"
    );
    assert_eq!((run.exit, run.err), (Exit::Refused, expected));
}

#[test]
fn refusals_are_printed_as_json() {
    let fixture = Fixture::new();
    let path = fixture.file("a.jsonc", &document_with_move("a", "11:00:00"));
    let run = fixture.run(&["check", "--json", &path]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(rows[0]["line"], 6);
    assert_eq!(rows[0]["field"], "move.complete_by");
    assert_eq!(run.exit, Exit::Refused);
}

/// Runs the built program, whose exit codes must be those that the help text lists.
#[test]
fn the_program_ends_with_the_documented_codes() {
    let exit_code = |arguments: &[&str]| {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_fulmarreel"))
            .args(arguments)
            .env_remove("FULMARREEL_STORE")
            .output()
            .unwrap();
        program.status.code().unwrap()
    };
    assert_eq!(exit_code(&["--help"]), 0);
    assert_eq!(exit_code(&["check", "/nonexistent"]), 1);
    assert_eq!(exit_code(&["check", "--unknown"]), 2);
    assert_eq!(exit_code(&["get"]), 2);
    // Nothing listens on port 9 of the loopback interface.
    assert_eq!(exit_code(&["get", "--store", "127.0.0.1:9"]), 4);
}
