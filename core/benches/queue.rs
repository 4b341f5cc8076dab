//! Benchmarks of the queue operations by number of waiting entries.

use {
    criterion::Criterion,
    std::time::Duration,
    tamarackdale_core::{
        cost::{Cost, Rates},
        id::{Attempt, Boot},
        queue::{Entry, LatePolicy, Queue, Settings},
        tier::Rank,
        time::Timestamp,
    },
};

const NOW: Timestamp = Timestamp::START;

fn rates() -> Rates {
    Rates::new(4_000.0, 30.0)
}

/// Entries of five ranks and a hundred organisations. Their sizes span a factor of 100.
fn entry(sequence: u64) -> Entry {
    let size = |factor: u64| 20 * (1 + (sequence * factor) % 100) as u32;
    Entry {
        attempt: Attempt {
            router: Boot(1),
            sequence,
        },
        rank: Rank((sequence % 5) as u8),
        organisation: format!("organisation-{}", (sequence * 13) % 100),
        weight: 1,
        cost: Cost {
            prefill_tokens: size(37),
            decode_tokens: size(53),
            prefixes: Vec::new(),
        },
        deadline: NOW.plus(Duration::from_millis(
            100_000 + (sequence * 7_919) % 100_000,
        )),
        late: LatePolicy::Drop,
        enqueued: NOW,
    }
}

fn queue(entries: u64) -> Queue {
    let mut queue = Queue::new(Settings {
        max_requests: usize::MAX,
        max_tokens: u64::MAX,
        ..Settings::default()
    });
    for sequence in 0..entries {
        queue
            .push(entry(sequence), NOW)
            .expect("the queue has no bound");
    }
    queue
}

fn operations(criterion: &mut Criterion) {
    for entries in [10, 100, 1_000, 10_000, 100_000] {
        let mut sequence = entries;
        let name = |operation: &str| format!("{operation}/{entries}");
        criterion.bench_function(&name("push and pop"), |bencher| {
            let mut queue = queue(entries);
            bencher.iter(|| {
                sequence += 1;
                queue
                    .push(entry(sequence), NOW)
                    .expect("the queue has no bound");
                queue.pop(NOW, rates())
            });
        });
        criterion.bench_function(&name("push and remove"), |bencher| {
            let mut queue = queue(entries);
            bencher.iter(|| {
                sequence += 1;
                let pushed = entry(sequence);
                let attempt = pushed.attempt;
                queue.push(pushed, NOW).expect("the queue has no bound");
                queue.remove(attempt)
            });
        });
        criterion.bench_function(&name("expire"), |bencher| {
            let mut queue = queue(entries);
            bencher.iter(|| queue.expire(NOW, rates()));
        });
        criterion.bench_function(&name("work"), |bencher| {
            let queue = queue(entries);
            bencher.iter(|| queue.work());
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    operations(&mut criterion);
    criterion.final_summary();
}
