use super::support::{Bench, document, moving};
use fulmarreel::{
    apply::{self, Error, Outcome, apply},
    cli::Exit,
    file, stored,
};
use fulmarreel_store::Revision;
use fulmarreel_testing::store::Faults;

const RESERVAS: &str = "fulmarreel/documents/reservas";

#[test]
fn a_folder_is_written_with_destinations_first_and_read_back() {
    let bench = Bench::new();
    bench.file("a.jsonc", &document("agronomia", Some("parcelas")));
    bench.file("z.jsonc", &document("parcelas", None));
    let folder = bench.folder.display().to_string();
    let run = bench.run(&["apply", &folder]);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
    let lines: Vec<_> = run.out.lines().collect();
    assert!(lines[0].starts_with("parcelas: written"), "{lines:?}");
    assert!(lines[1].starts_with("agronomia: written"), "{lines:?}");
    let run = bench.run(&["get", "parcelas"]);
    assert_eq!(run.out, document("parcelas", None));
    let run = bench.run(&["apply", &folder]);
    assert!(
        run.out.lines().all(|line| line.contains("unchanged")),
        "{run:?}"
    );
}

/// Fails where the write is not conditional on the revision that was read.
#[test]
fn a_lost_race_names_both_revisions_and_writes_nothing() {
    let bench = Bench::new();
    let path = bench.file("reservas.jsonc", &document("reservas", None));
    bench.put(RESERVAS, "first");
    let client = bench.client();
    let (files, stored) = smol::block_on(async {
        let files = file::read(&[path.into()]).unwrap();
        (files, stored::documents(&client).await.unwrap())
    });
    let read = stored.0["reservas"].revision;
    bench.put(RESERVAS, "second");
    let options = apply::Options::default();
    let applied = smol::block_on(apply(&client, &files, &stored, options));
    let Err(Error::Conflict { read: r, found, .. }) = applied[0].result else {
        panic!("{applied:?}");
    };
    assert_eq!((r, found), (read, Revision(read.0 + 1)));
    assert_eq!(bench.value(RESERVAS).as_deref(), Some("second"));
}

#[test]
fn a_document_is_applied_only_over_the_revision_that_the_operator_names() {
    let bench = Bench::new();
    let path = bench.file("reservas.jsonc", &document("reservas", None));
    bench.put(RESERVAS, "first");
    let run = bench.run(&["apply", "--revision", "1", &path]);
    assert_eq!(run.exit, Exit::Conflict);
    assert_eq!(
        run.err,
        "reservas: not written: revision 1 was read, but revision 2 is in the store; get it, merge and apply again\n"
    );
    assert_eq!(bench.value(RESERVAS).as_deref(), Some("first"));
    let run = bench.run(&["apply", "--revision", "2", &path]);
    assert_eq!(run.exit, Exit::Done, "{run:?}");
}

/// Fails where the first error of the write is reported without reading back.
#[test]
fn a_write_whose_reply_is_lost_is_read_back() {
    let bench = Bench::new();
    let path = bench.file("reservas.jsonc", &document("reservas", None));
    let client = bench.client();
    let files = file::read(&[path.into()]).unwrap();
    bench.stand.set_faults(Faults {
        lose_reply: 1,
        ..Faults::default()
    });
    let applied = smol::block_on(async {
        let stored = stored::documents(&client).await.unwrap();
        apply(&client, &files, &stored, apply::Options::default()).await
    });
    let Ok(Outcome::Written(revision)) = applied[0].result else {
        panic!("{applied:?}");
    };
    let run = bench.run(&["get", "--json", "reservas"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(rows[0]["revision"], revision.0);
}

#[test]
fn a_move_that_was_accepted_in_time_does_not_block_later_changes_of_its_document() {
    let bench = Bench::new();
    let late = moving("reservas", "11:00:00");
    bench.put(RESERVAS, &late);
    let changed = late.replace("\"/\"", "\"/r\"");
    let path = bench.file("reservas.jsonc", &changed);
    assert_eq!(bench.run(&["diff", &path]).exit, Exit::Different);
    assert_eq!(bench.run(&["apply", &path]).exit, Exit::Done);
    let other = changed.replace("v2", "v3");
    let path = bench.file("reservas.jsonc", &other);
    assert_eq!(bench.run(&["apply", &path]).exit, Exit::Refused);
}

#[test]
fn a_diff_shows_the_changed_lines() {
    let bench = Bench::new();
    bench.put(RESERVAS, &document("reservas", None));
    let text = document("reservas", None).replace("v1", "v2");
    let path = bench.file("reservas.jsonc", &text);
    let run = bench.run(&["diff", &path]);
    assert_eq!(run.exit, Exit::Different);
    assert!(run.out.contains("-  \"version\": \"v1\","), "{}", run.out);
    assert!(run.out.contains("+  \"version\": \"v2\","), "{}", run.out);
}

#[test]
fn a_document_is_deleted_only_at_its_revision_and_when_no_other_needs_it() {
    let bench = Bench::new();
    bench.put(RESERVAS, &document("reservas", None));
    bench.put("fulmarreel/documents/a", &document("a", Some("reservas")));
    let delete = |revision| {
        bench
            .run(&["delete", "--revision", revision, "reservas"])
            .exit
    };
    assert_eq!(delete("1"), Exit::Conflict);
    assert_eq!(delete("2"), Exit::Refused);
    bench.put("fulmarreel/documents/a", &document("a", None));
    assert_eq!(delete("2"), Exit::Done);
    assert_eq!(delete("2"), Exit::Absent);
}
