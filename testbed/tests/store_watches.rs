//! A gateway as a real process whose watches at the store are cut while they wait.

use {
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_testbed::{
        http,
        platform::{Configuration, Gateway, Server, Site, request},
        store::{Call, Outage},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Time within which a server that is gone receives nothing more: the bound of the site's settings.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for which a server that is gone is observed after that, longer than the time in which the store
/// recovers from an outage.
const OBSERVED: Duration = Duration::from_secs(4);

/// Time after the return of the store at which a running server registers again; the platform states about
/// two seconds.
const REGISTERED_AGAIN: Duration = Duration::from_millis(1_800);

/// Pause between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time for an answer.
const CALL_LIMIT: Duration = Duration::from_secs(5);

struct Bench {
    site: Arc<Site>,
    gateway: Gateway,
    servers: Vec<Server>,
    cutting: JoinHandle<()>,
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.cutting.abort();
    }
}

/// A site with servers of the plain service and a ready gateway, whose watches that wait are cut at an
/// interval.
async fn start(count: usize, cut_interval: Duration) -> Bench {
    // Requests with a key are refused soon after the store has gone.
    let configuration = Configuration::default().with("/routes/3/anonymous", true.into());
    let site = Arc::new(Site::new(&configuration).expect("starts"));
    let server = |number| Server::new(&format!("plain-{number}"), "plain").expect("starts");
    let servers: Vec<Server> = (0..count).map(server).collect();
    servers.iter().for_each(|server| site.register(server));
    let gateway = site.gateway("one").expect("starts");
    assert!(gateway.wait_ready(true).await, "not ready");
    let cut_site = Arc::clone(&site);
    let cutting = tokio::spawn(async move {
        loop {
            sleep(cut_interval).await;
            cut_site.store.cut_watches();
        }
    });
    Bench {
        site,
        gateway,
        servers,
        cutting,
    }
}

impl Bench {
    fn remove(&self, server: usize) {
        let (key, _) = self.servers[server].registration("ready");
        self.site.store.remove(&key);
    }

    /// Sends requests until `is_over`, and returns the statuses.
    fn send_requests(&self, is_over: &Arc<AtomicBool>) -> JoinHandle<Vec<u16>> {
        let callers = self.gateway.callers();
        let is_over = Arc::clone(is_over);
        tokio::spawn(async move {
            let mut statuses = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("s-{}", statuses.len());
                let answer = http::call(callers, request("/status/1", &id), CALL_LIMIT).await;
                statuses.push(answer.map_or(0, |answer| answer.status()));
                sleep(REQUEST_INTERVAL).await;
            }
            statuses
        })
    }
}

/// Guards against a server that stays in use after its registration was removed, because watches that are
/// cut count as an outage of the store.
#[rstest]
#[case::each_second(1_000, 0)]
#[case::each_second_just_before(1_000, 950)]
#[case::four_times_a_second(250, 100)]
#[tokio::test]
async fn server_that_is_gone_gets_nothing_while_watches_are_cut(
    #[case] cut_interval_ms: u64,
    #[case] removed_after_ms: u64,
) {
    let bench = start(2, Duration::from_millis(cut_interval_ms)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let requests = bench.send_requests(&is_over);
    sleep(Duration::from_millis(3_000 + removed_after_ms)).await;

    let runs = |server: &usize| bench.servers[*server].runs().len();
    let leaver = (0..2).max_by_key(runs).expect("two servers");
    bench.remove(leaver);
    sleep(DRAIN).await;
    let before = runs(&leaver);
    sleep(OBSERVED).await;
    let after = runs(&leaver);
    is_over.store(true, Ordering::SeqCst);
    let statuses = requests.await.expect("ends");

    assert!(before > 0, "never in use");
    assert_eq!(
        after - before,
        0,
        "sent there after its registration was removed"
    );
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against a running server that is dropped because its registration lapsed in an outage of the
/// store, while watches are cut after it.
#[rstest]
#[case::refuses(Outage::Refuse)]
#[case::hangs(Outage::Hang)]
#[tokio::test]
async fn server_whose_registration_lapsed_in_an_outage_is_kept_while_watches_are_cut(
    #[case] outage: Outage,
) {
    let bench = start(1, Duration::from_millis(400)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let requests = bench.send_requests(&is_over);
    sleep(Duration::from_secs(2)).await;

    bench.site.store.stop(outage);
    sleep(Duration::from_millis(1_600)).await;
    bench.remove(0);
    bench.site.store.resume();
    sleep(REGISTERED_AGAIN).await;
    bench.site.register(&bench.servers[0]);
    sleep(Duration::from_secs(3)).await;
    is_over.store(true, Ordering::SeqCst);
    let statuses = requests.await.expect("ends");

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against a gateway that calls the store without a pause when its watches are cut at once.
///
/// The store allows all gateways 2,000 reading calls a second. 360 gateways make 350 for other purposes, and
/// need six pages to read 2,600 registrations. The pauses of a gateway vary, so it is observed for some of them.
#[tokio::test]
async fn watches_that_are_cut_at_once_cost_few_calls() {
    const OBSERVED_S: u64 = 20;
    const PAGES: u64 = 6;
    const MOST_CALLS: u64 = (2_000 - 350) * OBSERVED_S / 360;
    let bench = start(1, Duration::from_millis(5)).await;
    let calls = || {
        let calls = |kind| bench.site.store.calls(kind);
        calls(Call::Watch) + PAGES * calls(Call::Read)
    };
    sleep(Duration::from_secs(4)).await;

    let before = calls();
    sleep(Duration::from_secs(OBSERVED_S)).await;
    let made = calls() - before;

    assert!(made > 0);
    assert!(made <= MOST_CALLS, "{made} calls, not {MOST_CALLS}");
}
