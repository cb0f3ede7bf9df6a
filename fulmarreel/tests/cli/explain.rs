use super::support::Fixture;
use fulmarreel::cli::Exit;

const CALLER_LINE: &str = r#"{"at":"2026-02-06T19:15:18.161Z","id":"9c41","level":"info","message":"the target has too much to do","module":"caller","offers":1,"outcome":"not-run","reached":0,"revision":14,"route":"r","service":"s","status":503,"allowed_ms":1500,"ran_ms":0,"target":"10.1.0.8:7620","took_ms":3,"version":"v1"}"#;

const TARGET_LINE: &str = r#"{"at":"2026-02-06T19:15:18.160Z","id":"9c41","level":"info","message":"refused, no slot in time","load":12,"slots":6,"wanted_ms":100,"backlog_ms":420}"#;

/// The logs of two nodes, given out of order; the lines of one file have a prefix of the log collector.
#[test]
fn a_request_is_explained_from_the_logs_of_all_nodes() {
    let fixture = Fixture::new();
    let callers = fixture.file("callers.log", &format!("{CALLER_LINE}\n{{\"id\":\"9c41\n"));
    let targets = fixture.file(
        "all.log",
        &format!("  18.16 node-7 {TARGET_LINE}\n  18.2 node-7 other\n"),
    );
    let run = fixture.run(&["explain", "9c41", &callers, &targets]);
    assert_eq!(run.exit, Exit::Done);
    assert_eq!(run.err, "1 lines cannot be read\n");
    let expected = format!(
        "2026-02-06T19:15:18.160Z node-7: refused, no slot in time\n\
        2026-02-06T19:15:18.161Z {callers}: the target has too much to do\n\
        Refused after 3 ms, and not run: the target has too much to do. By revision 14 for s v1, \
        offered to 1 targets, last 10.1.0.8:7620. node-7 refused it with 12 requests at 6 slots, a \
        backlog of 420 ms where a slot was wanted within 100 ms.\n"
    );
    assert_eq!(run.out, expected);
}

const NO_ROUTE_LINE: &str = r#"{"at":"2026-02-06T19:15:18.161Z","id":"b063","level":"info","message":"no route","host":"h.example","path":"/added/","status":404,"revision":107,"known":119,"heard":131,"contact_age_ms":5230}"#;

/// Guards against an explanation that leaves out what the node knew when it refused the request, which
/// tells a correct refusal from one due to an outdated configuration.
#[test]
fn a_refused_request_is_explained_by_what_its_node_knew() {
    let fixture = Fixture::new();
    let log = fixture.file("all.log", &format!("10.6 node-17 {NO_ROUTE_LINE}\n"));
    let run = fixture.run(&["explain", "b063", &log]);
    assert_eq!(run.exit, Exit::Done);
    assert_eq!(
        run.out,
        "2026-02-06T19:15:18.161Z node-17: no route\n\
        Ended with 404 by node-17 itself: no route. By revision 107; it knew the store up to 119 and \
        had heard of 131, and it was in contact with the store 5230 ms before.\n"
    );
}

#[test]
fn an_id_without_log_lines_is_not_found() {
    let fixture = Fixture::new();
    let callers = fixture.file("callers.log", CALLER_LINE);
    let run = fixture.run(&["explain", "9c4", &callers]);
    assert_eq!(run.exit, Exit::NotFound);
    assert!(
        run.err.starts_with("no line bears the id '9c4'"),
        "{}",
        run.err
    );
    let run = fixture.run(&["explain", "9c41", "/nowhere.log"]);
    assert_eq!(run.exit, Exit::Refused);
    assert!(run.err.starts_with("/nowhere.log: "), "{}", run.err);
}
