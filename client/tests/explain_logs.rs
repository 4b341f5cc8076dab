//! `explain` with log files.

use {
    rstest::rstest,
    std::{
        fs,
        process::{Command, Output},
    },
    tempfile::TempDir,
};

const LOG: &str = r#"
{"time_ms":1000,"level":"INFO","instance":"one","target":"t","message":"placed","request":"a","backend_server":"s-1"}
{"time_ms":1001,"level":"INFO","instance":"one","target":"t","message":"placed","request":"b","backend_server":"s-1"}
  12.5 one {"time_ms":1010,"level":"WARN","instance":"one","target":"t","message":"backend server ejected","backend_server":"s-1"}
{"time_ms":1015,"level":"WARN","instance":"two","target":"t","message":"store lost"}
not a log line of this system
{"time_ms":1020,"level":"WARN","instance":"one","target":"t","message":"ended","request":"a","outcome":"backend-server"}
"#;

fn explain(request: &str) -> Output {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("log");
    fs::write(&file, LOG).expect("written");
    Command::new(env!("CARGO_BIN_EXE_tamarackdale"))
        .args(["explain", request])
        .arg(&file)
        .output()
        .expect("runs")
}

#[test]
fn shows_the_requests_lines_and_general_lines_of_the_same_instance() {
    let output = explain("a");

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.lines().collect();
    assert!(output.status.success());
    assert_eq!(lines.len(), 3, "{text}");
    assert!(
        lines[0].contains("0 ms   one: placed backend_server=s-1"),
        "{text}"
    );
    assert!(
        lines[1].contains("10 ms ~ one: backend server ejected"),
        "{text}"
    );
    assert!(
        lines[2].contains("20 ms   one: ended outcome=backend-server"),
        "{text}"
    );
}

#[rstest]
#[case("c", 7)]
#[case("", 7)]
fn unknown_request_is_not_found(#[case] request: &str, #[case] code: i32) {
    assert_eq!(explain(request).status.code(), Some(code));
}

#[test]
fn missing_file_is_a_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_tamarackdale"))
        .args(["explain", "a", "no-such-file"])
        .output()
        .expect("runs");

    assert_eq!(output.status.code(), Some(2));
}
