use super::support::{Fixture, document, document_with_move};
use fulmarreel::{
    apply::{self, Error, Outcome, apply},
    cli::Exit,
    file, stored,
};
use fulmarreel_store::Revision;
use fulmarreel_testing::store::Faults;

const RESERVAS: &str = "fulmarreel/documents/reservas";

#[test]
fn a_folder_is_written_in_order_of_dependencies_and_read_back() {
    let fixture = Fixture::new();
    fixture.file("a.jsonc", &document("agronomia", Some("parcelas")));
    fixture.file("z.jsonc", &document("parcelas", None));
    let folder = fixture.folder.display().to_string();
    let run = fixture.run(&["apply", &folder]);
    assert_eq!((run.exit, run.err.as_str()), (Exit::Done, ""));
    let lines: Vec<_> = run.out.lines().collect();
    assert!(lines[0].starts_with("parcelas: written"), "{lines:?}");
    assert!(lines[1].starts_with("agronomia: written"), "{lines:?}");
    let run = fixture.run(&["get", "parcelas"]);
    assert_eq!(run.out, document("parcelas", None));
    let run = fixture.run(&["apply", &folder]);
    assert!(
        run.out.lines().all(|line| line.contains("unchanged")),
        "{run:?}"
    );
}

/// Guards against a write that does not depend on the revision that was read.
#[test]
fn a_lost_race_names_both_revisions_and_writes_nothing() {
    let fixture = Fixture::new();
    let path = fixture.file("reservas.jsonc", &document("reservas", None));
    fixture.put(RESERVAS, "first");
    let client = fixture.client();
    let (files, stored) = smol::block_on(async {
        let files = file::read(&[path.into()]).unwrap();
        (files, stored::documents(&client).await.unwrap())
    });
    let read = stored.0["reservas"].revision;
    fixture.put(RESERVAS, "second");
    let options = apply::Options::default();
    let applied = smol::block_on(apply(&client, &files, &stored, options));
    let Err(Error::Conflict {
        read: expected,
        found,
        ..
    }) = applied[0].result
    else {
        panic!("{applied:?}");
    };
    assert_eq!((expected, found), (read, Revision(read.0 + 1)));
    assert_eq!(fixture.value(RESERVAS).as_deref(), Some("second"));
}

#[test]
fn a_document_is_applied_only_over_the_revision_that_the_operator_names() {
    let fixture = Fixture::new();
    let path = fixture.file("reservas.jsonc", &document("reservas", None));
    fixture.put(RESERVAS, "first");
    let run = fixture.run(&["apply", "--revision", "1", &path]);
    assert_eq!(run.exit, Exit::Conflict);
    assert_eq!(
        run.err,
        "reservas: not written: revision 1 was read, but revision 2 is in the store; get it, merge and apply again\n"
    );
    assert_eq!(fixture.value(RESERVAS).as_deref(), Some("first"));
    let run = fixture.run(&["apply", "--revision", "2", &path]);
    assert_eq!(run.exit, Exit::Done, "{run:?}");
}

/// Guards against reporting a lost reply as a failure without reading the key back.
#[test]
fn a_write_whose_reply_is_lost_is_read_back() {
    let fixture = Fixture::new();
    let path = fixture.file("reservas.jsonc", &document("reservas", None));
    let client = fixture.client();
    let files = file::read(&[path.into()]).unwrap();
    fixture.store.set_faults(Faults {
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
    let run = fixture.run(&["get", "--json", "reservas"]);
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(rows[0]["revision"], revision.0);
}

#[test]
fn a_move_that_was_accepted_in_time_does_not_block_later_changes_of_its_document() {
    let fixture = Fixture::new();
    let past_deadline = document_with_move("reservas", "11:00:00");
    fixture.put(RESERVAS, &past_deadline);
    let changed = past_deadline.replace("\"/\"", "\"/r\"");
    let path = fixture.file("reservas.jsonc", &changed);
    assert_eq!(fixture.run(&["diff", &path]).exit, Exit::Different);
    assert_eq!(fixture.run(&["apply", &path]).exit, Exit::Done);
    let other = changed.replace("v2", "v3");
    let path = fixture.file("reservas.jsonc", &other);
    assert_eq!(fixture.run(&["apply", &path]).exit, Exit::Refused);
}

#[test]
fn a_diff_shows_the_changed_lines() {
    let fixture = Fixture::new();
    fixture.put(RESERVAS, &document("reservas", None));
    let text = document("reservas", None).replace("v1", "v2");
    let path = fixture.file("reservas.jsonc", &text);
    let run = fixture.run(&["diff", &path]);
    assert_eq!(run.exit, Exit::Different);
    assert!(run.out.contains("-  \"version\": \"v1\","), "{}", run.out);
    assert!(run.out.contains("+  \"version\": \"v2\","), "{}", run.out);
}

#[test]
fn a_document_is_deleted_only_at_its_revision_and_when_no_other_needs_it() {
    let fixture = Fixture::new();
    fixture.put(RESERVAS, &document("reservas", None));
    fixture.put("fulmarreel/documents/a", &document("a", Some("reservas")));
    let delete = |revision| {
        fixture
            .run(&["delete", "--revision", revision, "reservas"])
            .exit
    };
    assert_eq!(delete("1"), Exit::Conflict);
    assert_eq!(delete("2"), Exit::Refused);
    fixture.put("fulmarreel/documents/a", &document("a", None));
    assert_eq!(delete("2"), Exit::Done);
    assert_eq!(delete("2"), Exit::NotFound);
}
