//! Operators apply edits to one document at the same time. The store's history shows that every
//! accepted edit is written exactly once and that no refused edit is written.

use {
    std::{collections::HashSet, thread, time::Duration},
    tamarackdale_core::document::example,
    tamarackdale_testbed::{operator::Operator, store::Write},
};

const SERVICE: &str = "ordre-app";
const WRITERS: usize = 10;

/// Delay before the first writer retries after a conflict; each further writer waits longer by the
/// same amount.
const CONFLICT_DELAY: Duration = Duration::from_millis(10);

/// Exit code of `apply` if another operator has changed the document first.
const CONFLICT: i32 = 3;

/// Marks of one writer's edits, by the outcome of `apply`.
#[derive(Default)]
struct Edits {
    accepted: Vec<String>,
    refused: Vec<String>,
}

/// A comment line that identifies one attempt of one edit.
fn mark(writer: usize, edit: usize, attempt: usize) -> String {
    format!("# edit {writer}-{edit}-{attempt}.")
}

/// Applies the given number of edits, each of which adds a mark to the document. After a conflict,
/// the edit is made again from the current version, with a new mark.
fn write(operator: &Operator, writer: usize, edit_count: usize) -> Edits {
    let mut edits = Edits::default();
    for edit in 0..edit_count {
        for attempt in 0.. {
            let got = operator.run(&["get", SERVICE]).expect("runs");
            assert_eq!(got.code, 0, "{}", got.stderr);
            let mark = mark(writer, edit, attempt);
            let name = format!("{writer}.toml");
            let file = operator
                .file(&name, &format!("{}{mark}\n", got.stdout))
                .expect("the folder is writable");
            let applied = operator.run(&["apply", &file]).expect("runs");
            if applied.code == 0 {
                edits.accepted.push(mark);
                break;
            }
            assert_eq!(applied.code, CONFLICT, "{}", applied.stderr);
            edits.refused.push(mark);
            thread::sleep(CONFLICT_DELAY * (writer as u32 + 1));
        }
    }
    edits
}

/// For each version, the marks that no earlier version contains.
fn new_marks(writes: &[Write]) -> Vec<Vec<String>> {
    let mut seen = HashSet::new();
    writes
        .iter()
        .map(|write| {
            let text = String::from_utf8_lossy(write.value.as_deref().unwrap_or_default());
            text.lines()
                .filter(|line| line.starts_with("# edit "))
                .filter(|line| seen.insert((*line).to_owned()))
                .map(str::to_owned)
                .collect()
        })
        .collect()
}

fn apply_concurrently(edits_per_writer: usize, lost_responses: u32) {
    let operator = Operator::new(env!("CARGO_BIN_EXE_tamarackdale")).expect("ports are free");
    let file = operator
        .file("first.toml", example::ORDRE_APP.text)
        .expect("writable");
    assert_eq!(operator.run(&["apply", &file]).expect("runs").code, 0);
    operator.store.lose_answers(lost_responses);

    let edits_by_writer: Vec<Edits> = thread::scope(|scope| {
        let writers: Vec<_> = (0..WRITERS)
            .map(|writer| {
                let operator = &operator;
                scope.spawn(move || write(operator, writer, edits_per_writer))
            })
            .collect();
        writers
            .into_iter()
            .map(|writer| writer.join().expect("no writer panics"))
            .collect()
    });

    let history = operator.store.history();
    let per_version = new_marks(&history[1..]);
    let written: HashSet<String> = per_version.concat().into_iter().collect();
    let accepted: Vec<&String> = edits_by_writer
        .iter()
        .flat_map(|edits| &edits.accepted)
        .collect();
    let last = String::from_utf8_lossy(
        history
            .last()
            .and_then(|write| write.value.as_deref())
            .unwrap_or_default(),
    )
    .into_owned();
    assert_eq!(accepted.len(), WRITERS * edits_per_writer);
    assert!(
        per_version.iter().all(|marks| marks.len() == 1),
        "each version adds exactly one edit"
    );
    assert_eq!(written.len(), accepted.len());
    assert!(
        accepted
            .iter()
            .all(|mark| written.contains(*mark) && last.contains(*mark))
    );
    assert!(
        edits_by_writer
            .iter()
            .any(|edits| !edits.refused.is_empty()),
        "some edits conflict"
    );
    for refused in edits_by_writer.iter().flat_map(|edits| &edits.refused) {
        assert!(
            !written.contains(refused),
            "{refused} was written although it was refused"
        );
    }
}

#[test]
fn accepted_edits_are_written_exactly_once() {
    apply_concurrently(10, 0);
}

#[test]
fn lost_responses_do_not_change_outcomes() {
    apply_concurrently(3, 20);
}
