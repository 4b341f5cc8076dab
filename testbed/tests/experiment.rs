//! The experiment's own parts: arrivals, history check, delays and plots.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::{collections::BTreeSet, time::Duration},
    tamarackdale_testbed::{
        experiment::{Arrivals, Curve, Delays, Figure, History, Policy, Profile},
        load::Record,
    },
};

const LENGTH: Duration = Duration::from_secs(200);

fn profiles() -> [Profile; 2] {
    [Profile::slibehuset(), Profile::hsinchu()]
}

/// A log line of a decision at a millisecond.
fn line(time_ms: u64, message: &str, rank: u8, reason: &str) -> Value {
    json!({
        "time_ms": time_ms,
        "message": message,
        "rank": rank,
        "reason": reason,
        "request": format!("slibe-llm/joiners/key-{time_ms}"),
        "attempt": format!("7-{time_ms}"),
    })
}

fn record(key: &str, ended_ms: u64) -> Record {
    Record {
        index: 0,
        service: "slibe-llm".to_owned(),
        tier: "site".to_owned(),
        key: Some(key.to_owned()),
        due: None,
        offered: Duration::ZERO,
        head: None,
        first_byte: None,
        ended: Duration::from_millis(ended_ms),
        status: Some(503),
        verdict: None,
        reason: Some("overload".to_owned()),
        retry_after: None,
        broken: false,
        whole: false,
    }
}

#[test]
fn arrivals_repeat_with_their_seed_only() {
    let profile = Profile::hsinchu();
    let offsets = |seed| -> Vec<Duration> {
        let arrivals = Arrivals::new(&profile, 20.0, Duration::from_secs(10), seed).arrivals;
        arrivals.iter().map(|arrival| arrival.offset).collect()
    };

    assert_eq!(offsets(1), offsets(1));
    assert_ne!(offsets(1), offsets(2));
}

#[test]
fn arrivals_have_the_profile_s_rate_mix_and_spread() {
    for profile in profiles() {
        let arrivals = Arrivals::new(&profile, 50.0, LENGTH, 3).arrivals;

        let expected = 50.0 * LENGTH.as_secs_f64();
        assert!(
            (arrivals.len() as f64 / expected - 1.0).abs() < 0.05,
            "{}",
            arrivals.len()
        );
        for (index, class) in profile.classes.iter().enumerate() {
            let count = arrivals
                .iter()
                .filter(|arrival| arrival.class == index)
                .count();
            let part = count as f64 / arrivals.len() as f64;
            assert!(
                (part - class.frequency).abs() < 0.02,
                "{}: {part}",
                class.tier
            );
        }
        let mut sizes: Vec<usize> = arrivals.iter().map(|arrival| arrival.own_bytes).collect();
        sizes.sort_unstable();
        let ratio = sizes[sizes.len() * 99 / 100] / sizes[sizes.len() / 100].max(1);
        assert!(ratio >= 100, "lengths spread {ratio}-fold");
    }
}

#[test]
fn requests_on_one_subject_share_a_prefix_and_differ_after_it() {
    let profile = Profile::hsinchu();
    let arrivals = Arrivals::new(&profile, 50.0, LENGTH, 3).arrivals;
    let same = |arrival: &&tamarackdale_testbed::experiment::Arrival| {
        arrival.class == 0 && arrival.subject == 1 && arrival.own_bytes >= 50
    };

    let bodies: Vec<Value> = arrivals
        .iter()
        .filter(same)
        .take(2)
        .map(|arrival| serde_json::from_slice(&arrival.shot(&profile).body).expect("JSON"))
        .collect();

    let inputs: Vec<&str> = bodies
        .iter()
        .filter_map(|body| body["input"].as_str())
        .collect();
    let shared = profile.classes[0].shared_bytes;
    assert_eq!(inputs[0][..shared], inputs[1][..shared]);
    assert_ne!(inputs[0][shared..], inputs[1][shared..]);
}

#[test]
fn flood_multiplies_one_caller_only() {
    let profile = Profile::hsinchu();
    let plain = Arrivals::new(&profile, 20.0, LENGTH, 3);
    let count = |arrivals: &Arrivals, caller| {
        let of_caller = |class, index| class == 0 && index == caller;
        let all = arrivals.arrivals.iter();
        all.filter(|arrival| of_caller(arrival.class, arrival.caller))
            .count()
    };

    let flooded = plain.clone().with_flood(0, 0, 10);

    assert_eq!(count(&flooded, 0), 10 * count(&plain, 0));
    assert_eq!(count(&flooded, 1), count(&plain, 1));
    assert!(flooded.arrivals.is_sorted_by_key(|arrival| arrival.offset));
}

#[rstest]
#[case::lower_started_after_a_shed(line(1_400, "dispatched", 2, ""), 1)]
#[case::within_the_settling_time(line(1_100, "dispatched", 2, ""), 0)]
#[case::same_tier(line(1_400, "dispatched", 1, ""), 0)]
#[case::higher_tier(line(1_400, "dispatched", 0, ""), 0)]
#[case::after_the_floor_has_ended(line(1_600, "dispatched", 2, ""), 0)]
#[case::before_the_shed(line(900, "dispatched", 2, ""), 0)]
#[case::not_a_start(line(1_400, "refused", 2, "overload"), 0)]
fn start_of_a_lower_tier_after_a_shed_is_an_inversion(
    #[case] second: Value,
    #[case] inversions: usize,
) {
    let lines = [second, line(1_000, "refused", 1, "overload")];

    let history = History::of(&lines);

    let found = history.inversions(Duration::from_millis(250));
    assert_eq!(found.len(), inversions);
}

#[rstest]
#[case::infeasible("infeasible")]
#[case::over_its_own_limit("organisation-limit")]
#[case::closing("closing")]
fn other_refusals_are_no_sheds(#[case] reason: &str) {
    let lines = [
        line(1_000, "refused", 1, reason),
        line(1_400, "dispatched", 2, ""),
    ];

    let history = History::of(&lines);

    assert_eq!(history.sheds(), 0);
    assert!(history.inversions(Duration::ZERO).is_empty());
}

#[test]
fn delay_counts_from_the_decision_to_the_caller_s_answer() {
    let mut given_up = line(1_050, "given up", 0, "");
    given_up["attempt"] = "7-1000".into();
    given_up["request"] = Value::Null;
    let lines = [
        line(1_000, "routed", 0, ""),
        given_up,
        line(1_020, "not routed", 0, "overload"),
    ];
    let history = History::of(&lines);
    let records = [
        record("key-1000", 58),
        record("key-1020", 21),
        record("key-9", 5),
    ];

    let delays = Delays::of(&history, &records, Duration::from_secs(1));

    assert_eq!(delays.len(), 2);
    assert_eq!(delays.quantile(0.0), Duration::from_millis(1));
    assert_eq!(delays.quantile(1.0), Duration::from_millis(8));
}

#[test]
fn every_policy_is_found_by_its_name() {
    let names: BTreeSet<&str> = Policy::ALL.iter().map(|policy| policy.name).collect();

    assert_eq!(names.len(), Policy::ALL.len());
    assert!(names.iter().all(|name| Policy::named(name).is_some()));
    assert!(Policy::named("best").is_none());
}

#[test]
fn figure_is_drawn_with_a_curve_for_each_policy() {
    let curve = |name: &str, factor: f64| Curve {
        name: name.to_owned(),
        points: vec![(0.7, factor), (1.3, 0.8 * factor)],
    };
    let figure = Figure {
        title: "goodput".to_owned(),
        measure: "good answers / offered".to_owned(),
        curves: vec![curve("whole", 1.0), curve("random", 0.7)],
    };
    let path = std::env::temp_dir().join(format!("figure-{}.svg", std::process::id()));

    figure.draw(&path).expect("the folder can be written");

    let svg = std::fs::read_to_string(&path).expect("the figure is there");
    std::fs::remove_file(&path).expect("the figure can be removed");
    assert!(svg.matches("<polyline").count() >= 2);
    assert!(svg.contains("whole") && svg.contains("random"));
}
