//! Benchmark of the choice of a sidecar by number of candidates.

use {
    criterion::{BenchmarkId, Criterion},
    rand::{SeedableRng, rngs::StdRng},
    std::time::Duration,
    tamarackdale_core::{
        cost::{Cost, Rates},
        floor,
        id::{Attempt, Boot, Incarnation, Instance},
        report::{Report, Share, WaitingWork},
        route::{Policy, Request, Table},
        tier::Rank,
        time::Timestamp,
    },
};

const ROUTER: Boot = Boot(7);

/// Report of a loaded sidecar, with waiting work of five organisations in each of five ranks.
fn report(number: usize) -> Report {
    let shares = (0..5).map(|organisation| Share {
        organisation,
        weight: 1,
        tokens: 1_000,
    });
    let work = WaitingWork {
        requests: 10,
        prefill_tokens: 3_000,
        decode_tokens: 2_000,
        shares: shares.collect(),
    };
    Report {
        incarnation: Incarnation {
            instance: Instance(format!("slibe-{number}")),
            boot: Boot(1),
        },
        service: "slibe-llm".to_owned(),
        leaving: false,
        revision: 1,
        floor: floor::Notice::OPEN,
        limit: 16,
        running: 10 + number as u32 % 7,
        running_tokens: 2_000,
        unprefilled_tokens: 0,
        waiting: vec![work; 5],
        rates: Rates::new(4_000.0, 30.0),
        evicted_prefixes: Vec::new(),
        seen: Vec::new(),
        notices: Vec::new(),
    }
}

/// A table in which each sidecar has been offered two requests that its report does not include.
fn table(candidates: usize) -> Table {
    let mut table = Table::new(Policy::default(), ROUTER);
    for number in 0..candidates {
        let report = report(number);
        let instance = report.incarnation.instance.clone();
        table.update(report, Timestamp::START);
        for sequence in 0..2 {
            let attempt = Attempt {
                router: ROUTER,
                sequence: 2 * number as u64 + sequence,
            };
            table.record_dispatch(&instance, attempt, Rank(1), &cost(), Timestamp::START);
        }
    }
    table
}

fn cost() -> Cost {
    Cost::estimate(&"Which grit for a paring chisel? ".repeat(256), 200)
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for candidates in [20, 200, 2_600] {
        let mut table = table(candidates);
        let mut rng = StdRng::seed_from_u64(5);
        let deadline = Timestamp::START.plus(Duration::from_secs(600));
        let request = Request::new(Rank(2), "joiners", cost(), deadline);
        group.bench_function(BenchmarkId::from_parameter(candidates), |bencher| {
            bencher.iter(|| table.choose(&request, &[], Timestamp::START, &mut rng));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choose(&mut criterion);
    criterion.final_summary();
}
