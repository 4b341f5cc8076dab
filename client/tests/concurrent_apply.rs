//! Operators race on one document; the store's history shows that no accepted edit is lost.

use {
    std::{collections::HashSet, thread, time::Duration},
    tamarackdale_core::document::example,
    tamarackdale_testbed::{operator::Operator, store::Write},
};

const SERVICE: &str = "ordre-app";
const WRITERS: usize = 10;

/// Pause of the first writer after a refusal; each further writer pauses longer by as much.
const REFUSAL_PAUSE: Duration = Duration::from_millis(10);

/// Exit code of an edit that another operator preceded.
const CONFLICT: i32 = 3;

/// What one writer was told.
#[derive(Default)]
struct Tally {
    accepted: Vec<String>,
    refused: Vec<String>,
}

/// A comment that names one try of one edit.
fn mark(writer: usize, edit: usize, attempt: usize) -> String {
    format!("# edit {writer}-{edit}-{attempt}.")
}

/// Adds a mark to the document until it is accepted, each time from the newest version.
fn write(operator: &Operator, writer: usize, edits: usize) -> Tally {
    let mut tally = Tally::default();
    for edit in 0..edits {
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
                tally.accepted.push(mark);
                break;
            }
            assert_eq!(applied.code, CONFLICT, "{}", applied.stderr);
            tally.refused.push(mark);
            thread::sleep(REFUSAL_PAUSE * (writer as u32 + 1));
        }
    }
    tally
}

/// The marks that a version has more than the one before it.
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

fn race(edits_per_writer: usize, lost_answers: u32) {
    let operator = Operator::new(env!("CARGO_BIN_EXE_tamarackdale")).expect("ports are free");
    let file = operator
        .file("first.toml", example::ORDRE_APP.text)
        .expect("writable");
    assert_eq!(operator.run(&["apply", &file]).expect("runs").code, 0);
    operator.store.lose_answers(lost_answers);

    let tallies: Vec<Tally> = thread::scope(|scope| {
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
    let accepted: Vec<&String> = tallies.iter().flat_map(|tally| &tally.accepted).collect();
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
        "one edit a version"
    );
    assert_eq!(written.len(), accepted.len());
    assert!(
        accepted
            .iter()
            .all(|mark| written.contains(*mark) && last.contains(*mark))
    );
    assert!(
        tallies.iter().any(|tally| !tally.refused.is_empty()),
        "the writers race"
    );
    for refused in tallies.iter().flat_map(|tally| &tally.refused) {
        assert!(
            !written.contains(refused),
            "{refused} was refused and written"
        );
    }
}

#[test]
fn every_accepted_edit_is_in_the_history_once() {
    race(10, 0);
}

#[test]
fn lost_answers_change_no_verdict() {
    race(3, 20);
}
