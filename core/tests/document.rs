//! Parsing, validation and queries of documents.

use {
    rstest::rstest,
    tamarackdale_core::{
        document::{Document, Problems, change, example},
        tier::Rank,
    },
};

const BASE: &str = r#"service = "ordre-app"
kind = "plain"

[[tiers]]
name = "order"
deadline_ms = 10_000

[[tiers]]
name = "status"
deadline_ms = 5_000

[[organisations]]
name = "joiners"
key_hashes = ["865a54ef040ca8a994d56bd8dfd62f11227068004945c544ecbdb9f8f8e48001"]
tiers = ["order", "status"]

[[actions]]
method = "POST"
path = "/pickups*"
"#;

fn parse(text: &str) -> Document {
    Document::parse(text).expect("the document is valid")
}

/// The base document with `from` replaced by `to`, and the problems of this text.
fn problems(from: &str, to: &str) -> (String, Problems) {
    let text = BASE.replacen(from, to, 1);
    assert_ne!(text, BASE, "the text to replace was found");
    let problems = Document::parse(&text).expect_err("the document is invalid");
    (text, problems)
}

#[rstest]
#[case(example::SLIBE_LLM, "slibe-example-key", "slibehuset", "site")]
#[case(example::ORDRE_APP, "joiner-example-key", "joiners", "order")]
#[case(
    example::TAMARACK_POOL,
    "clerk-example-key",
    "township-clerks",
    "clerk"
)]
#[case(
    example::DISPATCH_APP,
    "snow-example-key",
    "clearance-office",
    "dispatch"
)]
fn examples_are_valid(
    #[case] example: example::Example,
    #[case] api_key: &str,
    #[case] name: &str,
    #[case] default_tier: &str,
) {
    let document = parse(example.text);

    let organisation = document.authenticate(api_key).expect("the key is known");

    assert_eq!(document.service, example.service);
    assert_eq!(organisation.name, name);
    assert_eq!(organisation.default_tier(), default_tier);
    assert!(document.authenticate("another-key").is_none());
    assert_eq!(document.organisations.len(), 5);
}

#[test]
fn rank_of_a_tier_is_its_position() {
    let document = parse(BASE);

    let ranks: Vec<Option<Rank>> = ["order", "status", "other"]
        .map(|name| document.tier(name).map(|(rank, _)| rank))
        .into();

    assert_eq!(ranks, [Some(Rank(0)), Some(Rank(1)), None]);
}

#[rstest]
#[case::unknown_field("kind =", "colour = 1\nkind =", "colour", "unknown field")]
#[case::unknown_kind("\"plain\"", "\"odd\"", "\"odd\"", "unknown variant")]
#[case::broken_text("[[tiers]]", "[[tiers", "", "")]
#[case::wrong_type("10_000", "\"soon\"", "\"soon\"", "invalid type")]
#[case::zero_deadline("10_000", "0", "0", "deadline_ms is 0, which is out of range")]
#[case::negative_weight(
    "tiers = [",
    "weight = -1\ntiers = [",
    "-1",
    "weight is -1, which is out of range"
)]
#[case::absent_tier("\"order\", ", "\"urgent\", ", "\"urgent\"", "no tier named")]
#[case::tier_twice(
    "\"order\", \"status\"",
    "\"status\", \"status\"",
    "\"status\"",
    "twice"
)]
#[case::no_tiers("[\"order\", \"status\"]", "[]", "[]", "may use no tier")]
#[case::same_tier(
    "[[organisations]]",
    "[[tiers]]\nname = \"order\"\ndeadline_ms = 1\n[[organisations]]",
    "\"order\"",
    "tier \"order\" is given twice"
)]
#[case::bad_hash("865a54", "xyz", "", "64 hexadecimal digits")]
#[case::unhashed_key(
    "865a54ef040ca8a994d56bd8dfd62f11227068004945c544ecbdb9f8f8e48001",
    "my-secret",
    "\"my-secret\"",
    "64 hexadecimal digits"
)]
#[case::bad_method("\"POST\"", "\"post\"", "\"post\"", "not an HTTP method")]
#[case::bad_path("\"/pickups*\"", "\"pickups\"", "\"pickups\"", "slash")]
#[case::wildcard_inside_path(
    "\"/pickups*\"",
    "\"/p*s\"",
    "\"/p*s\"",
    "character that is not allowed"
)]
#[case::name("\"ordre-app\"", "\"ordre/app\"", "\"ordre/app\"", "not allowed")]
#[case::rate(
    "tiers = [",
    "requests_per_second = 0.0\ntiers = [",
    "0.0",
    "requests_per_second is 0, which is out of range"
)]
#[case::models(
    "[[actions]]",
    "[[models]]\nname = \"m\"\nreplicas = 1\n[[actions]]",
    "\"m\"",
    "plain service"
)]
fn problem_is_located(
    #[case] from: &str,
    #[case] to: &str,
    #[case] located: &str,
    #[case] message: &str,
) {
    let (text, problems) = problems(from, to);

    let first = &problems.0[0];
    assert_eq!(problems.0.len(), 1, "{problems}");
    assert!(first.message.contains(message), "{}", first.message);
    assert!(
        text[first.span.clone()].contains(located),
        "{:?}",
        first.span
    );
    assert!(!first.message.contains("my-secret"));
}

#[test]
fn all_problems_are_reported_in_order() {
    let text = BASE
        .replace("10_000", "0")
        .replace("\"order\", ", "\"urgent\", ")
        .replace("\"POST\"", "\"post\"");

    let problems = Document::parse(&text).expect_err("the document is invalid");

    let starts: Vec<usize> = problems
        .0
        .iter()
        .map(|problem| problem.span.start)
        .collect();
    assert_eq!(starts.len(), 3);
    assert!(starts.is_sorted());
    assert!(problems.0.iter().all(|problem| problem.help.is_some()));
}

#[rstest]
#[case("POST", "/pickups", false)]
#[case("POST", "/pickups/7?x=1", false)]
#[case("post", "/pickups", false)]
#[case("POST", "//pickups/", false)]
#[case("POST", "/%70ickups", false)]
#[case("POST", "/orders/../pickups", false)]
#[case("POST", "/orders/%2e%2e/pickups", false)]
#[case("POST", "/Pickups", false)]
#[case("POST", "/pickups#part", false)]
#[case("GET", "/pickups", true)]
#[case("POST", "/orders", true)]
#[case("POST", "/", true)]
fn actions_match_every_spelling_of_a_path(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: bool,
) {
    let document = parse(BASE);

    assert_eq!(document.is_idempotent(method, path), expected);
}

#[rstest]
#[case::none("", "", &[])]
#[case::action("\"/pickups*\"", "\"/charges\"",
    &["non-idempotent action POST /pickups* is removed, so its requests may run twice"])]
#[case::wider_action("\"/pickups*\"", "\"/p*\"", &[])]
#[case::any_method("\"POST\"", "\"*\"", &[])]
#[case::tier("[[tiers]]\nname = \"order\"", "[[tiers]]\nname = \"express\"",
    &["tier order is removed while used by joiners"])]
#[case::organisation("\"joiners\"", "\"carvers\"",
    &["organisation joiners is removed, so its requests are refused"])]
#[case::fencing("[[actions]]", "[backend_servers]\nfencing = \"obeyed\"\n[[actions]]",
    &["backend servers are now expected to obey fencing tokens"])]
fn dangerous_changes_are_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &[&str]) {
    let old = parse(BASE);
    let edited = BASE.replacen(from, to, 1);
    let new = parse(&edited.replace(
        "tiers = [\"order\"",
        &format!(
            "tiers = [\"{}\"",
            if edited.contains("express") {
                "express"
            } else {
                "order"
            }
        ),
    ));

    let dangers: Vec<String> = change::dangers(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();

    assert_eq!(dangers, expected);
}

/// Guards against a parser that recurses, and against numbers that overflow in conversions.
#[rstest]
#[case::arrays("deadline_ms = 10_000", &format!("deadline_ms = {}{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::unclosed("deadline_ms = 10_000", &format!("deadline_ms = {}", "[".repeat(100_000)))]
#[case::tables("deadline_ms = 10_000", &format!("deadline_ms = {}", "{a=".repeat(100_000)))]
#[case::keys("deadline_ms = 10_000", &format!("{}b = 1", "a.".repeat(100_000)))]
#[case::header("[[actions]]", &format!("[{}b]", "a.".repeat(100_000)))]
#[case::over_i64("10_000", "9223372036854775808")]
#[case::largest("10_000", "9223372036854775807")]
#[case::negative("10_000", "-9223372036854775808")]
#[case::infinite("10_000", "inf")]
#[case::no_number("10_000", "nan")]
#[case::fraction("10_000", "1e999")]
fn odd_document_is_refused(#[case] from: &str, #[case] to: &str) {
    let (_, problems) = problems(from, to);

    assert!(!problems.to_string().is_empty());
}
