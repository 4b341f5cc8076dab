//! Reading of settings: precedence of their sources, and errors that name the source.

use {
    getopts::{Matches, Options},
    rstest::rstest,
    tamarackdaled::settings::{self, COMMON_FLAGS, Flag, Problems, Sidecar, source::Source},
};

const COMPLETE: &[&str] = &[
    "--instance=slibe-0",
    "--data-centre=vejle-a",
    "--store=http://10.0.0.2:2379",
    "--instance-list=http://10.0.0.3:80/instances",
    "--service=slibe-llm",
    "--backend-server=http://127.0.0.1:8000",
];

fn flags() -> Vec<&'static Flag> {
    COMMON_FLAGS
        .iter()
        .chain(settings::sidecar::FLAGS)
        .collect()
}

fn parse_flags(arguments: &[&str]) -> Matches {
    let mut options = Options::new();
    for flag in flags() {
        options.optopt("", flag.name, flag.help, flag.hint);
    }
    options.parse(arguments).expect("the arguments parse")
}

fn read(arguments: &[&str], variables: &[(&str, &str)]) -> Result<Sidecar, Problems> {
    let matches = parse_flags(arguments);
    let variable = |name: &str| {
        let found = variables.iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    let mut source = Source::new(flags(), &matches, &variable);
    let sidecar = Sidecar::read(&mut source);
    source.finish(sidecar)
}

fn complete_with(argument: &'static str) -> Vec<&'static str> {
    let name = argument.split('=').next().unwrap_or(argument);
    let others = COMPLETE
        .iter()
        .filter(|given| given.split('=').next() != Some(name));
    others.copied().chain([argument]).collect()
}

#[test]
fn complete_settings_are_read() {
    let sidecar = read(COMPLETE, &[]).expect("the settings are valid");

    assert_eq!(sidecar.common.instance.0, "slibe-0");
    assert_eq!(sidecar.common.store, "http://10.0.0.2:2379");
    assert_eq!(sidecar.max_waiting, 1000);
}

#[test]
fn flag_overrides_variable_and_variable_overrides_default() {
    let variables = [
        ("TAMARACKDALE_DATA_CENTRE", "vejle-b"),
        ("TAMARACKDALE_MAX_WAITING", "7"),
    ];

    let sidecar = read(COMPLETE, &variables).expect("the settings are valid");

    assert_eq!(sidecar.common.data_centre, "vejle-a");
    assert_eq!(sidecar.max_waiting, 7);
}

#[rstest]
#[case::not_an_address("--peer-listen=here", "--peer-listen", "IP address with a port")]
#[case::port_too_large("--peer-listen=10.0.0.1:70000", "--peer-listen", "IP address")]
#[case::other_scheme("--store=ftp://10.0.0.2", "--store", "http://")]
#[case::no_host("--store=/tmp", "--store", "http://")]
#[case::empty_name("--instance=", "--instance", "a name")]
#[case::invalid_character("--service=slibe llm", "--service", "a name")]
#[case::zero("--max-waiting=0", "--max-waiting", "whole number above 0")]
#[case::negative("--max-waiting=-3", "--max-waiting", "whole number above 0")]
#[case::unknown_level("--log-level=loud", "--log-level", "error, warn, info")]
fn invalid_value_is_reported_with_its_flag(
    #[case] argument: &'static str,
    #[case] origin: &str,
    #[case] expected: &str,
) {
    let problems = read(&complete_with(argument), &[])
        .expect_err("the settings are rejected")
        .problems;

    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].origin, origin);
    assert!(problems[0].expected.contains(expected));
}

#[test]
fn invalid_variable_is_reported_by_its_name() {
    let problems = read(COMPLETE, &[("TAMARACKDALE_MAX_BODY_BYTES", "much")])
        .expect_err("the settings are rejected")
        .problems;

    assert_eq!(problems[0].origin, "TAMARACKDALE_MAX_BODY_BYTES");
}

#[test]
fn all_missing_settings_are_reported_at_once() {
    let problems = read(&[], &[])
        .expect_err("the settings are rejected")
        .problems;

    let origins: Vec<&str> = problems
        .iter()
        .map(|problem| problem.origin.as_str())
        .collect();
    let expected = [
        "--instance",
        "--data-centre",
        "--store",
        "--instance-list",
        "--service",
        "--backend-server",
    ];
    assert_eq!(origins, expected);
}
