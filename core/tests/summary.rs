//! Changes between the summaries that a router sends to its peers.

use {
    std::sync::Arc,
    tamarackdale_core::{
        fleet::{Contribution, Load, Speed},
        poison::{Fingerprint, Notice},
        quota::Usage,
        summary::{ChangeTracker, Summary},
        time::Timestamp,
    },
};

fn entry(id: &str, requests: u32, measurements: u64) -> Contribution {
    Contribution {
        id: id.to_owned(),
        load: Load {
            requests,
            prompt_tokens: 0,
        },
        speed: Some(Speed::new()),
        measurements,
    }
}

fn summary(entries: &[Contribution]) -> Summary {
    Summary {
        entries: entries.to_vec(),
        ..Summary::default()
    }
}

fn usage(admitted: f64) -> Usage {
    Usage {
        organisation: "o".to_owned(),
        admitted,
        refunded: 0.0,
        history: None,
    }
}

#[test]
fn only_changed_loads_are_sent() {
    let mut tracker = ChangeTracker::new();
    tracker.changes(summary(&[entry("a", 1, 0), entry("b", 1, 0)]), false);

    let changes = tracker.changes(summary(&[entry("a", 1, 0), entry("b", 2, 0)]), false);

    let changes = changes.expect("a load has changed");
    assert_eq!(changes.entries.len(), 1);
    assert_eq!(changes.entries[0].id, "b");
    assert_eq!(changes.entries[0].speed, None);
}

#[test]
fn load_that_falls_to_zero_is_sent() {
    let mut tracker = ChangeTracker::new();
    tracker.changes(summary(&[entry("a", 1, 0)]), false);

    let changes = tracker.changes(summary(&[entry("a", 0, 0)]), false);

    assert_eq!(
        changes.map(|changes| changes.entries[0].load.requests),
        Some(0)
    );
}

#[test]
fn unchanged_summary_is_not_sent() {
    let mut tracker = ChangeTracker::new();
    tracker.changes(summary(&[entry("a", 1, 0)]), false);

    assert_eq!(tracker.changes(summary(&[entry("a", 1, 0)]), false), None);
}

/// A fleet of hundreds of backend servers, of which a router meets a few in a second: sending all
/// speeds to all peers took most of the bytes between data centres.
#[test]
fn only_speeds_measured_since_the_last_time_are_sent() {
    let fleet = |measured: u64| {
        let ids = 0..200;
        let entries = ids.map(|number| entry(&format!("{number:03}"), 0, measured * (number % 40)));
        summary(&entries.collect::<Vec<_>>())
    };
    let mut tracker = ChangeTracker::new();
    tracker.changes(fleet(1), true);
    let mut next = fleet(1);
    next.entries[7].measurements += 1;

    let repeated = tracker.changes(fleet(1), true);
    let changes = tracker.changes(next, true).expect("a speed was measured");

    assert_eq!(repeated, None);
    assert_eq!(changes.entries.len(), 1);
    assert!(changes.entries[0].speed.is_some());
}

#[test]
fn speeds_wait_for_their_interval() {
    let mut tracker = ChangeTracker::new();
    tracker.changes(summary(&[entry("a", 0, 0)]), false);

    let early = tracker.changes(summary(&[entry("a", 0, 3)]), false);
    let due = tracker.changes(summary(&[entry("a", 0, 3)]), true);

    assert_eq!(early, None);
    assert!(due.is_some_and(|changes| changes.entries[0].speed.is_some()));
}

#[test]
fn only_changed_quota_use_is_sent() {
    let with = |admitted| Summary {
        usages: vec![usage(admitted)],
        ..Summary::default()
    };
    let mut tracker = ChangeTracker::new();
    tracker.changes(with(1.0), false);

    let unchanged = tracker.changes(with(1.0), false);
    let changed = tracker.changes(with(2.0), false);

    assert_eq!(unchanged, None);
    assert_eq!(
        changed.map(|changes| changes.usages),
        Some(vec![usage(2.0)])
    );
}

#[test]
fn observation_of_a_crash_is_sent_once() {
    let crash = Arc::new(Notice::Crash {
        fingerprint: Fingerprint {
            request: Some(9),
            parts: vec![7],
        },
        server: 1,
        at: Timestamp::from_millis(5),
    });
    let with_crash = Summary {
        poison: vec![crash.clone()],
        ..summary(&[entry("a", 1, 0)])
    };
    let mut tracker = ChangeTracker::new();
    tracker.changes(summary(&[entry("a", 1, 0)]), false);

    let changes = tracker.changes(with_crash.clone(), false);
    let again = tracker.changes(with_crash, false);

    assert_eq!(changes.map(|changes| changes.poison), Some(vec![crash]));
    assert_eq!(again, None);
}
