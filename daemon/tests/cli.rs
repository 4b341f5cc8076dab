//! Exit codes and messages of the command line.

use {
    rstest::rstest,
    std::process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tamarackdaled"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("the daemon starts")
}

#[rstest]
#[case::no_role(&[], 2, "no role given")]
#[case::unknown_role(&["balancer"], 2, "no role given")]
#[case::unknown_flag(&["router", "--colour=red"], 2, "colour")]
#[case::missing_settings(&["router"], 2, "--services")]
#[case::invalid_setting(&["sidecar", "--store=nowhere"], 2, "the settings are invalid")]
fn invalid_call_exits_with_code_2(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] message: &str,
) {
    let output = run(arguments);

    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{errors}");
    assert!(errors.contains(message), "{errors}");
}

#[rstest]
#[case::help(&["router", "--help"], "--unready-delay-ms")]
#[case::version(&["--version"], env!("CARGO_PKG_VERSION"))]
#[case::check(
    &[
        "router", "--check-settings", "--instance=a", "--data-centre=b", "--services=c",
        "--store=http://10.0.0.2:1", "--instance-list=http://10.0.0.3:1",
    ],
    "the settings are valid"
)]
fn informative_call_exits_with_code_0(#[case] arguments: &[&str], #[case] message: &str) {
    let output = run(arguments);

    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0));
    assert!(text.contains(message), "{text}");
}
