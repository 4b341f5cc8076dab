//! The load generator offers on schedule and tells whole answers from others.

use {
    hyper::Method,
    rstest::rstest,
    std::time::Duration,
    tamarackdale_testbed::{
        engine::{Engine, Hardware, Model},
        load::{Expected, Generator, Schedule, Shot, Summary, Table},
        plain::Plain,
    },
};

fn shot(index: usize) -> Shot {
    Shot::model("slibe-llm", "none", "default", &format!("query {index}"), 5)
        .with_tier("site")
        .with_key(&format!("key-{index}"))
}

#[test]
fn schedule_is_repeatable_and_near_its_rate() {
    let length = Duration::from_secs(100);

    let schedule = Schedule::poisson(50.0, length, 7);

    assert_eq!(schedule, Schedule::poisson(50.0, length, 7));
    assert_ne!(schedule, Schedule::poisson(50.0, length, 8));
    // Five standard deviations of the count around its mean.
    assert!((4_646..=5_354).contains(&schedule.offsets.len()));
    assert!(schedule.offsets.is_sorted());
}

#[rstest]
#[case::whole(
    "data: {\"type\":\"response.created\",\"sequence_number\":0}\n\ndata: {\"type\":\"response.completed\",\"sequence_number\":1}\n\n",
    true
)]
#[case::cut(
    "data: {\"type\":\"response.created\",\"sequence_number\":0}\n\n",
    false
)]
#[case::gap(
    "data: {\"type\":\"response.created\",\"sequence_number\":0}\n\ndata: {\"type\":\"response.completed\",\"sequence_number\":2}\n\n",
    false
)]
#[case::twice(
    "data: {\"type\":\"response.created\",\"sequence_number\":0}\n\ndata: {\"type\":\"response.completed\",\"sequence_number\":1}\n\ndata: {\"type\":\"response.completed\",\"sequence_number\":2}\n\n",
    false
)]
#[case::not_events("{\"error\":1}", false)]
fn whole_answer_is_told_from_others(#[case] body: &str, #[case] whole: bool) {
    let expected = Expected::Text(String::new());

    assert_eq!(expected.is_whole(body.as_bytes()), whole);
}

#[tokio::test]
async fn records_tell_what_the_engine_did() {
    let engine = Engine::new(Model::new(Hardware::newer().with_speedup(20.0))).expect("starts");
    let schedule = Schedule::poisson(200.0, Duration::from_millis(200), 1);
    let generator = Generator::direct(engine.address());

    let records = generator.run(&schedule, shot).await;

    let mut markers: Vec<_> = engine.runs().into_iter().map(|run| run.marker).collect();
    let mut keys: Vec<_> = records.iter().map(|record| record.key.clone()).collect();
    markers.sort();
    keys.sort();
    assert_eq!(markers, keys);
    let summary = Summary::of(&records);
    assert_eq!(summary.whole, schedule.offsets.len() as u64);
    assert_eq!(summary.latency.len(), summary.whole);
    let ordered = records
        .iter()
        .all(|record| record.head <= record.first_byte && record.first_byte <= Some(record.ended));
    assert!(ordered);
    assert_eq!(Table::of(&records).rows.len(), 1);
}

#[tokio::test]
async fn answer_of_another_request_is_corrupt() {
    let service = Plain::new("ordre-app").expect("starts");
    let mut shot = Shot::plain("ordre-app", "none", Method::GET, "/orders/1", "");
    shot.path = "/orders/2".to_owned();
    let generator = Generator::direct(service.address());

    let record = generator.offer(tokio::time::Instant::now(), 0, &shot).await;

    assert!(record.is_corrupt());
    assert_eq!(Summary::of([&record]).corrupt, 1);
}

#[tokio::test]
async fn call_without_an_answer_is_broken() {
    let address = Plain::new("gone").expect("starts").address();
    let generator = Generator::direct(address).with_limit(Duration::from_secs(5));

    let record = generator
        .offer(tokio::time::Instant::now(), 0, &shot(0))
        .await;

    assert!(record.broken && !record.whole && record.verdict.is_none());
}
