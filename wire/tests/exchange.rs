//! Bytes of the exchange between gateways, by the size of the fleet and the form of the summaries.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    std::collections::BTreeMap,
    tamarackdale_core::{
        cell::{Layout, Scope},
        fleet::{Contribution, Load},
        load_throttle::LoadThrottle,
        quota,
        summary::{ChangeTracker, Summary},
        time::Timestamp,
    },
    tamarackdale_wire::{
        codec,
        compact::{self, NameTable},
        summary::Frame,
    },
};

/// Length of a run, and its begin that is not counted since the load still rises in it.
const RUN_MS: u64 = 12_000;
const WARM_UP_MS: u64 = 4_000;

/// Requests per second at each gateway: 6,900 at 360.
const REQUESTS_PER_S: f64 = 6_900.0 / 360.0;

/// Fraction of the requests that go to another data centre.
const REMOTE_FRACTION: f64 = 0.05;

const HEARTBEAT_MS: u64 = 400;

/// A size of the fleet with its backend servers and organisations.
#[derive(Clone, Copy)]
struct Size {
    gateways: usize,
    data_centres: usize,
}

impl Size {
    fn servers(self) -> usize {
        self.gateways * 2_600 / 360
    }

    fn organisations(self) -> usize {
        (self.gateways * 4_400 / 360).max(5)
    }

    fn layout(self) -> Layout {
        let same_data_centre = self.gateways / self.data_centres - 1;
        Layout {
            same_data_centre,
            other_data_centres: self.gateways - 1 - same_data_centre,
        }
    }
}

#[derive(Clone, Copy)]
enum Form {
    Former,
    Compact,
    /// Compact, and loads at servers with free slots once a second to other cells; holds the fraction of
    /// servers that are short of slots.
    Throttled(f64),
}

/// A change of the load at a server or of the quota use of an organisation.
enum Change {
    Start { server: usize, prompt: u32 },
    FirstEvent { server: usize, prompt: u32 },
    End { server: usize },
    Admitted { organisation: usize, units: f64 },
    Refunded { organisation: usize, units: f64 },
}

/// The changes at one gateway by time in milliseconds: of each request three loads, its quota when it is
/// admitted, and again when what it did not use is returned.
fn changes(size: Size, random: &mut StdRng) -> Vec<(u64, Change)> {
    let mut changes = Vec::new();
    let own = size.servers() / size.data_centres;
    let mut at_s = 0.0;
    while at_s * 1_000.0 < RUN_MS as f64 {
        at_s -= random.random::<f64>().ln() / REQUESTS_PER_S;
        let server = match random.random::<f64>() < REMOTE_FRACTION {
            true => random.random_range(0..size.servers()),
            false => random.random_range(0..own),
        };
        // A few organisations send most of the requests.
        let organisation = random.random::<f64>().powi(3) * size.organisations() as f64;
        let organisation = organisation as usize;
        let prompt = random.random_range(60..2_000);
        let units = f64::from(prompt + 400);
        let start = (at_s * 1_000.0) as u64;
        let first = start + random.random_range(50..500);
        let end = first + random.random_range(200..3_000);
        changes.extend([
            (
                start,
                Change::Admitted {
                    organisation,
                    units,
                },
            ),
            (start, Change::Start { server, prompt }),
            (first, Change::FirstEvent { server, prompt }),
            (end, Change::End { server }),
            (
                end,
                Change::Refunded {
                    organisation,
                    units: f64::from(random.random_range(0..400)),
                },
            ),
        ]);
    }
    changes.sort_by_key(|(at, _)| *at);
    changes
}

/// Loads and quota use of one gateway.
#[derive(Clone)]
struct Gateway {
    loads: Vec<Contribution>,
    used: BTreeMap<usize, (f64, f64)>,
}

impl Gateway {
    fn new(size: Size) -> Self {
        let loads = (0..size.servers()).map(|server| Contribution {
            id: format!("huvo11-vejle-{server:05}"),
            load: Load::default(),
            speed: None,
            measurements: 0,
        });
        Self {
            loads: loads.collect(),
            used: BTreeMap::new(),
        }
    }

    fn apply(&mut self, change: &Change) {
        match *change {
            Change::Start { server, prompt } => {
                self.loads[server].load.requests += 1;
                self.loads[server].load.prompt_tokens += prompt;
            }
            Change::FirstEvent { server, prompt } => {
                self.loads[server].load.prompt_tokens -= prompt
            }
            Change::End { server } => self.loads[server].load.requests -= 1,
            // A gateway that has run for hours has totals of millions.
            Change::Admitted {
                organisation,
                units,
            } => {
                self.used.entry(organisation).or_insert((4e6, 1e6)).0 += units;
            }
            Change::Refunded {
                organisation,
                units,
            } => {
                self.used.entry(organisation).or_insert((4e6, 1e6)).1 += units;
            }
        }
    }

    fn summary(&self) -> Summary {
        let usages = self.used.iter().map(|(organisation, totals)| quota::Usage {
            organisation: format!("org-{organisation:04}"),
            admitted: totals.0,
            refunded: totals.1,
            history: None,
        });
        Summary {
            entries: self.loads.clone(),
            usages: usages.collect(),
            is_complete: true,
            ..Summary::default()
        }
    }
}

/// The table of a gateway that has run for hours.
fn table_with_all_names(gateway: &Gateway, size: Size) -> NameTable {
    let mut table = NameTable::new();
    let mut all = gateway.clone();
    let organisations = 0..size.organisations();
    all.used = organisations.map(|number| (number, (0.0, 0.0))).collect();
    let frame = Frame::new(1, &all.summary(), Timestamp::from_millis(0));
    compact::encode_changes(&frame, &mut table).expect("encodes");
    table
}

/// Bytes per second that a gateway sends to each peer of a scope, with the length prefix and the chunk of
/// HTTP, without the headers of TCP and IP.
fn bytes_to_peer(size: Size, scope: Scope, form: Form) -> f64 {
    let interval = size.layout().interval(scope).as_millis() as u64;
    let mut random = StdRng::seed_from_u64(7);
    let mut gateway = Gateway::new(size);
    let mut tracker = ChangeTracker::new();
    let mut throttle = LoadThrottle::new();
    let mut table = table_with_all_names(&gateway, size);
    let mut changes = changes(size, &mut random).into_iter().peekable();
    let (mut sent, mut bytes) = (0, 0);
    for now in (0..RUN_MS).step_by(interval as usize) {
        let mut has_changed = false;
        while let Some((_, change)) = changes.next_if(|(at, _)| *at <= now) {
            gateway.apply(&change);
            has_changed = true;
        }
        if !has_changed && scope == Scope::Near && now - sent < HEARTBEAT_MS {
            continue;
        }
        let at = Timestamp::from_millis(now);
        let mut summary = gateway.summary();
        if let (Form::Throttled(short), Scope::Far) = (form, scope) {
            let short = (short * 100.0) as usize;
            let free = |id: &str| {
                let number = id.rsplit('-').next()?.parse::<usize>().ok()?;
                Some(if number % 100 < short { 0.1 } else { 0.5 })
            };
            throttle.apply(&mut summary.entries, free, at);
        }
        let summary = match tracker.changes(summary, false) {
            Some(changes) => changes,
            None if now - sent >= HEARTBEAT_MS => tracker.heartbeat(),
            None => continue,
        };
        sent = now;
        let frame = Frame::new(u64::MAX, &summary, at);
        let payload = match form {
            Form::Former => codec::encode(&frame).expect("encodes"),
            _ => compact::encode_changes(&frame, &mut table).expect("encodes"),
        };
        if now >= WARM_UP_MS {
            let item = payload.len() + 4;
            bytes += item + format!("{item:x}\r\n\r\n").len();
        }
    }
    bytes as f64 * 1_000.0 / (RUN_MS - WARM_UP_MS) as f64
}

/// Kilobytes per second that a gateway sends and receives, where all have the same load.
fn traffic_kb(size: Size, form: Form) -> f64 {
    let layout = size.layout();
    let traffic = [Scope::Near, Scope::Far].map(|scope| match layout.peers(scope) {
        0 => 0.0,
        peers => peers as f64 * bytes_to_peer(size, scope, form),
    });
    2.0 * traffic.iter().sum::<f64>() / 1_000.0
}

/// Guards against bytes per change that grow again. The bounds are a tenth over the computed values.
#[rstest]
#[case::n8(Size { gateways: 8, data_centres: 3 }, 0.34, 0.34)]
#[case::n41(Size { gateways: 41, data_centres: 3 }, 0.34, 0.30)]
#[case::n103(Size { gateways: 103, data_centres: 5 }, 0.31, 0.29)]
#[case::n360(Size { gateways: 360, data_centres: 13 }, 0.28, 0.25)]
fn compact_form_needs_a_part_of_the_bytes(
    #[case] size: Size,
    #[case] max_compact: f64,
    #[case] max_throttled: f64,
) {
    let former = traffic_kb(size, Form::Former);
    let compact = traffic_kb(size, Form::Compact);
    let some_short = traffic_kb(size, Form::Throttled(0.2));
    let none_short = traffic_kb(size, Form::Throttled(0.0));
    let all_short = traffic_kb(size, Form::Throttled(1.0));

    println!(
        "N = {}: former {former:.1}, compact {compact:.1}, throttled {some_short:.1} with a fifth of the \
         servers short of slots, {none_short:.1} with none, {all_short:.1} with all",
        size.gateways,
    );
    assert!(compact <= max_compact * former, "{compact} of {former}");
    assert!(
        some_short <= max_throttled * former,
        "{some_short} of {former}"
    );
    assert!(all_short <= 1.01 * compact, "{all_short} and {compact}");
}

/// Guards against first summaries that grow: a fleet that starts, or a link that comes back, sends one on
/// each connection.
#[test]
fn first_summary_is_no_larger_than_before() {
    let size = Size {
        gateways: 360,
        data_centres: 13,
    };
    let mut gateway = Gateway::new(size);
    for organisation in 0..size.organisations() {
        let units = organisation as f64;
        gateway.apply(&Change::Admitted {
            organisation,
            units,
        });
    }
    let mut summary = gateway.summary();
    for (number, usage) in summary.usages.iter_mut().enumerate() {
        let part = (number % 7 * 500) as f64;
        usage.history = Some(quota::UsageHistory(vec![part; 16]));
    }
    let frame = Frame::new(u64::MAX, &summary, Timestamp::from_millis(0));

    let former = codec::encode(&frame).expect("encodes").len();
    let compact = compact::encode_full(&frame, &mut NameTable::new()).expect("encodes");

    println!("first summary: former {former}, compact {}", compact.len());
    assert!(compact.len() <= former / 2);
}
