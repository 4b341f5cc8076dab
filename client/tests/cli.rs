//! The client run as a process: output, exit codes and faults of the key-value store.

use {
    rstest::rstest,
    tamarackdale_core::document::example,
    tamarackdale_testbed::{
        operator::{Operator, Run},
        store::{Call, Outage},
    },
    tamarackdale_wire::status::Decision,
};

const SERVICE: &str = "ordre-app";

fn operator() -> Operator {
    Operator::new(env!("CARGO_BIN_EXE_tamarackdale")).expect("ports are free")
}

/// An operator whose store holds the example document at revision 2.
fn operator_with_document() -> Operator {
    let operator = operator();
    let file = file(&operator, "first.toml", example::ORDRE_APP.text);
    let run = run(&operator, &["apply", &file]);
    assert_eq!(run.code, 0, "{}", run.stderr);
    operator
}

fn file(operator: &Operator, name: &str, text: &str) -> String {
    operator.file(name, text).expect("the folder is writable")
}

fn run(operator: &Operator, arguments: &[&str]) -> Run {
    operator.run(arguments).expect("the client runs")
}

/// Writes a file with an edit of the current document, in which `to` replaces the first `from`.
fn edit(operator: &Operator, from: &str, to: &str) -> String {
    let text = run(operator, &["get", SERVICE]).stdout;
    assert!(text.contains(from), "{text}");
    file(operator, "edit.toml", &text.replacen(from, to, 1))
}

#[test]
fn check_needs_no_network() {
    let operator = operator();
    let good = file(&operator, "good.toml", example::ORDRE_APP.text);

    let run = operator.run_with(&["check", &good], &[]).expect("runs");

    assert_eq!(run.code, 0);
    assert!(run.stdout.contains("ordre-app: valid"), "{}", run.stdout);
}

#[test]
fn check_reports_every_problem_with_its_position() {
    let operator = operator();
    let text = example::ORDRE_APP
        .text
        .replace("10_000", "0")
        .replace("path = \"/charges*\"", "path = \"charges*\"");
    let wrong = file(&operator, "wrong.toml", &text);

    let shown = run(&operator, &["check", &wrong]);
    let json = run(&operator, &["check", "--json", &wrong]);

    assert_eq!((shown.code, json.code), (1, 1));
    assert!(shown.stderr.contains("deadline_ms = 0"), "{}", shown.stderr);
    assert!(
        shown.stderr.contains("begin with a slash"),
        "{}",
        shown.stderr
    );
    let problems = &json.json()["problems"];
    let line = text
        .lines()
        .take_while(|line| *line != "deadline_ms = 0")
        .count()
        + 1;
    assert_eq!(problems.as_array().map(Vec::len), Some(2));
    assert_eq!(problems[0]["line"], line);
    assert_eq!(problems[0]["column"], 15);
}

#[rstest]
#[case::none(&[], "no command")]
#[case::unknown(&["destroy"], "unknown command or wrong arguments: \"destroy\"")]
#[case::no_store(&["get", SERVICE], "--store is missing")]
#[case::bad_store(&["get", SERVICE, "--store", "10.0.0.1"], "expected a URL")]
#[case::bad_number(&["get", SERVICE, "--store", "http://10.0.0.1", "--timeout-ms", "soon"],
    "whole number")]
#[case::no_file(&["check", "missing.toml"], "cannot read")]
fn usage_error_names_the_cause(#[case] arguments: &[&str], #[case] message: &str) {
    let run = operator().run_with(arguments, &[]).expect("runs");

    assert_eq!(run.code, 2);
    assert!(run.stderr.contains(message), "{}", run.stderr);
}

#[test]
fn flag_takes_precedence_over_variable() {
    let operator = operator();
    let url = operator.store.url();
    let wrong = [("TAMARACKDALE_STORE", "nonsense".to_owned())];

    let by_variable = run(&operator, &["get", SERVICE]);
    let by_flag = operator.run_with(&["get", SERVICE, "--store", &url], &wrong);

    assert_eq!(by_variable.code, 7);
    assert_eq!(by_flag.map(|run| run.code).ok(), Some(7));
}

#[test]
fn get_returns_the_applied_document() {
    let operator = operator_with_document();
    let got = run(&operator, &["get", SERVICE]).stdout;

    let edit = edit(&operator, "weight = 4", "weight = 5");
    let applied = run(&operator, &["apply", "--json", &edit]);
    let again = run(&operator, &["apply", "--json", &edit]);

    assert!(got.starts_with("# tamarackdale-revision: 2\n"), "{got}");
    assert_eq!((applied.code, &applied.json()["revision"]), (0, &3.into()));
    assert_eq!((again.code, &again.json()["revision"]), (0, &3.into()));
    assert_eq!(operator.store.history().len(), 2);
    assert!(
        run(&operator, &["get", SERVICE])
            .stdout
            .contains("weight = 5")
    );
}

#[test]
fn conflict_shows_both_changes() {
    let operator = operator_with_document();
    let mine = edit(&operator, "5_000", "6_000");
    let text = std::fs::read_to_string(&mine).expect("was written");
    let theirs = edit(&operator, "weight = 4", "weight = 7");
    assert_eq!(run(&operator, &["apply", &theirs]).code, 0);
    let mine = file(&operator, "mine.toml", &text);

    let shown = run(&operator, &["apply", &mine]);
    let json = run(&operator, &["apply", "--json", &mine]).json();

    assert_eq!(shown.code, 3);
    for line in [
        "-weight = 4",
        "+weight = 7",
        "-deadline_ms = 5_000",
        "+deadline_ms = 6_000",
    ] {
        assert!(shown.stderr.contains(line), "{line} in {}", shown.stderr);
    }
    assert_eq!(
        (&json["edited_from"], &json["present_revision"]),
        (&2.into(), &3.into())
    );
    assert!(
        json["their_change"]
            .as_str()
            .is_some_and(|text| !text.contains("6_000"))
    );
    assert!(
        json["your_change"]
            .as_str()
            .is_some_and(|text| !text.contains("weight = 7"))
    );
    assert_eq!(operator.store.history().len(), 2);
}

#[test]
fn apply_requires_the_base_revision() {
    let operator = operator_with_document();
    let text = example::ORDRE_APP.text.replace("weight = 4", "weight = 5");
    let edit = file(&operator, "edit.toml", &text);

    let refused = run(&operator, &["apply", &edit]);
    let given = run(&operator, &["apply", "--revision", "2", &edit]);

    assert_eq!((refused.code, given.code), (2, 0));
    assert!(
        refused.stderr.contains("revision 2 is present"),
        "{}",
        refused.stderr
    );
}

#[test]
fn dangerous_change_requires_the_flag() {
    let operator = operator_with_document();
    let edit = edit(&operator, "/charges*", "/refunds*");

    let refused = run(&operator, &["apply", &edit]);
    let writes = operator.store.history().len();
    let allowed = run(&operator, &["apply", "--allow-dangerous", &edit]);

    assert_eq!((refused.code, writes, allowed.code), (8, 1, 0));
    assert!(
        refused.stderr.contains("POST /charges* is removed"),
        "{}",
        refused.stderr
    );
}

#[rstest]
#[case::refuse(Outage::Refuse)]
#[case::hang(Outage::Hang)]
fn store_outage_is_reported(#[case] outage: Outage) {
    let operator = operator_with_document();
    let edit = edit(&operator, "weight = 4", "weight = 5");
    operator.store.stop(outage);

    let get = run(&operator, &["get", SERVICE, "--timeout-ms", "100"]);
    let apply = run(&operator, &["apply", &edit, "--timeout-ms", "100"]);

    assert_eq!((get.code, apply.code), (4, 4));
    assert!(
        apply.stderr.contains("nothing was changed"),
        "{}",
        apply.stderr
    );
}

#[rstest]
#[case::found_by_the_retry(1)]
#[case::found_by_reading_back(5)]
fn lost_responses_to_writes_are_resolved(#[case] lost: u32) {
    let operator = operator_with_document();
    let edit = edit(&operator, "weight = 4", "weight = 5");
    operator.store.lose_answers(lost);

    let run = run(&operator, &["apply", "--json", &edit]);

    assert_eq!(
        (run.code, &run.json()["revision"]),
        (0, &3.into()),
        "{}",
        run.stdout
    );
    assert_eq!(operator.store.history().len(), 2);
    assert!(operator.store.calls(Call::Write) > 2);
}

#[test]
fn apply_reports_instances_that_are_behind() {
    let operator = operator_with_document();
    let updated = operator.start_router("router-1").expect("a port is free");
    let outdated = operator.start_router("router-2").expect("a port is free");
    updated.set_revision(SERVICE, 3);
    outdated.set_revision(SERVICE, 2);
    let edit = edit(&operator, "weight = 4", "weight = 5");

    let behind = run(&operator, &["apply", "--json", "--wait-s", "0", &edit]);
    outdated.set_revision(SERVICE, 3);
    let caught_up = run(&operator, &["apply", "--json", &edit]);

    assert_eq!((behind.code, &behind.json()["in_force"]), (6, &1.into()));
    assert_eq!(behind.json()["behind"][0]["instance"], "router-2");
    assert_eq!(behind.json()["behind"][0]["reason"], "has revision 2");
    assert_eq!(
        (caught_up.code, &caught_up.json()["in_force"]),
        (0, &2.into())
    );
}

#[test]
fn status_shows_every_instance() {
    let operator = operator_with_document();
    let old = operator.start_router("router-1").expect("a port is free");
    let new = operator.start_router("router-2").expect("a port is free");
    let dead = operator.start_router("router-3").expect("a port is free");
    old.set_revision(SERVICE, 1);
    new.set_revision(SERVICE, 2);
    drop(dead);

    let shown = run(&operator, &["status"]);
    let json = run(&operator, &["status", "--json", SERVICE]).json();
    operator.store.stop(Outage::Refuse);
    let without_store = run(&operator, &["status"]);

    assert_eq!((shown.code, without_store.code), (0, 0), "{}", shown.stderr);
    assert!(shown.stdout.contains("ready, behind"), "{}", shown.stdout);
    assert!(shown.stdout.contains("no answer"), "{}", shown.stdout);
    assert_eq!(json["instances"].as_array().map(Vec::len), Some(3));
    assert_eq!(json["instances"][1]["revision"], 2);
    assert_eq!(json["instances"][1]["behind"], false);
    assert!(
        without_store.stdout.contains("unavailable"),
        "{}",
        without_store.stdout
    );
}

#[test]
fn explain_queries_every_router() {
    let operator = operator();
    let _without_decision = operator.start_router("router-1").expect("a port is free");
    let router = operator.start_router("router-2").expect("a port is free");
    let decision = Decision {
        router: "router-2".to_owned(),
        chosen: "sidecar-1".to_owned(),
        reason: "lowest prediction".to_owned(),
        ..Decision::default()
    };
    router.add_decision("key%2F1", decision);

    let known = run(&operator, &["explain", "key/1"]);
    let unknown = run(&operator, &["explain", "key-2"]);

    assert_eq!((known.code, unknown.code), (0, 7), "{}", known.stderr);
    assert!(
        known.stdout.contains("sidecar-1 (lowest prediction)"),
        "{}",
        known.stdout
    );
}
