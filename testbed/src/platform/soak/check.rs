//! What callers and backend servers observed, against the invariants.

use {
    super::{
        EVENTS, Report,
        load::{Call, RESUMABLE},
        world::{Target, World},
    },
    crate::platform::{Event, Server, Try},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Statuses that promise that a request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// Time from the end of a disturbance for which it excuses what goes wrong, as in the platform's rules.
const AFTERMATH: Duration = Duration::from_secs(1);

/// Time after which an answer may end because the time of its request is over: nearly all of the
/// three seconds that requests and routes have.
const NEARLY_ALL: Duration = Duration::from_millis(2_900);

/// Time from SIGTERM to the end of a gateway, as in the settings of the site.
const GRACE: Duration = Duration::from_secs(6);

/// Take-ups from which the share that goes on is judged, as in the platform's rules.
const ENOUGH_TAKE_UPS: usize = 12;

/// Servers that ran each request, oldest run first.
type Runs = HashMap<String, Vec<usize>>;

/// Checks all calls and counts them.
pub(super) fn calls(calls: &[Call], world: &World, report: &mut Report) {
    let runs = runs(world.servers());
    report.requests = calls.len();
    for call in calls {
        let last = call.tries.last();
        let is_served = last.is_some_and(|last| last.is_whole && last.status() == Some(200));
        report.served += usize::from(is_served);
        report.take_ups += call.tries.len().saturating_sub(1);
        for attempt in &call.tries {
            let ran = runs.get(&attempt.id).map_or(&[][..], Vec::as_slice);
            let problems = problems(call, attempt, ran, world);
            let problems = problems.map(|problem| format!("{}: {problem}", attempt.id));
            report.violations.extend(problems);
        }
        report.violations.extend(check_stream(call, &runs, world));
    }
    report.violations.extend(check_take_ups(calls, world));
    report.violations.extend_from_slice(world.ended());
}

fn runs(servers: &[Server]) -> Runs {
    let runs = servers.iter().enumerate().flat_map(|(number, server)| {
        let runs = server.runs().into_iter();
        runs.map(move |run| (run.at, run.id, number))
    });
    let mut ordered: Vec<_> = runs.collect();
    ordered.sort();
    let mut runs = Runs::new();
    for (_, id, number) in ordered {
        runs.entry(id).or_default().push(number);
    }
    runs
}

fn ids<'a>(ran: &[usize], world: &'a World) -> Vec<&'a str> {
    let servers = world.servers();
    ran.iter().map(|number| servers[*number].id()).collect()
}

/// What is wrong with one try and its answer.
fn problems(
    call: &Call,
    attempt: &Try,
    ran: &[usize],
    world: &World,
) -> impl Iterator<Item = String> {
    let ids = ids(ran, world);
    let status = attempt.status();
    let is_refusal = status.is_some_and(|status| REFUSALS.contains(&status));
    let is_quarantined = is_refusal && attempt.text().contains("quarantined");
    let has_run_twice = matches!(call.kind, "booking" | "stream") && ran.len() > 1;
    let is_plain = matches!(call.kind, "booking" | "status");
    let is_success = status == Some(200) && attempt.is_whole;
    let is_own = attempt.header("attempt-id") == attempt.id
        && !attempt.header("response-seal").is_empty()
        && (!is_plain || ids.iter().any(|id| attempt.text().starts_with(id)));
    let problems = [
        (has_run_twice, "ran twice"),
        (
            is_quarantined && !call.is_deadly,
            "was quarantined and is sound",
        ),
        (is_refusal && !ran.is_empty(), "was refused and ran"),
        (is_success && !is_own, "answered as another request"),
        (
            status == Some(200) && !is_plain && attempt.has_foreign_text(),
            "brought something that is no event",
        ),
        (
            call.is_strict && is_unanswered(attempt, world),
            "got no answer after a failed write",
        ),
        (
            is_cut(attempt, ran, world),
            "cut though its servers were sound",
        ),
    ];
    let problems = problems.into_iter().filter(|(is_wrong, _)| *is_wrong);
    problems.map(move |(_, problem)| format!("{problem}, at {ids:?}, status {status:?}"))
}

/// Whether a server ran a request and its answer never came or broke off, though neither the servers
/// that ran it nor its gateway were disturbed. Servers that are silent, the store, and planned changes
/// are no reason.
fn is_cut(attempt: &Try, ran: &[usize], world: &World) -> bool {
    let (false, false, Some(ended)) = (attempt.is_whole, ran.is_empty(), attempt.ended_at) else {
        return false;
    };
    let from = attempt.sent_at.checked_sub(AFTERMATH);
    let from = from.unwrap_or(attempt.sent_at);
    let is_server_harmed = |number: &usize| world.is_server_harmed(*number, from, ended);
    let is_over = ended - attempt.sent_at >= NEARLY_ALL;
    let gateway = Target::Gateway(gateway_number(attempt, world));
    !is_over && !world.is_harmed(gateway, from, ended) && !ran.iter().any(is_server_harmed)
}

/// Whether a caller that takes a failed write for the end got no answer, although its gateway had read the
/// head, or has not been told to end and so had time to.
fn is_unanswered(attempt: &Try, world: &World) -> bool {
    let (None, Some(ended)) = (&attempt.head, attempt.ended_at) else {
        return false;
    };
    let before = |time: Duration| attempt.sent_at.checked_sub(time).unwrap_or(attempt.sent_at);
    let number = gateway_number(attempt, world);
    let is_over = ended - attempt.sent_at >= NEARLY_ALL;
    let may_be_gone = world.is_terminated(number, before(GRACE), ended);
    let names_it = |line: &serde_json::Value| line["request"] == *attempt.id;
    let has_read = || world.gateways()[number].process.logs().iter().any(names_it);
    let target = Target::Gateway(number);
    let is_harmed = world.is_harmed(target, before(AFTERMATH), ended);
    !is_over && !is_harmed && (!may_be_gone || has_read())
}

fn gateway_number(attempt: &Try, world: &World) -> usize {
    let mut callers = world.callers().into_iter();
    let number = callers.position(|address| address == attempt.gateway);
    number.unwrap_or_default()
}

/// Checks the events that a caller has, over all its tries.
fn check_stream(call: &Call, runs: &Runs, world: &World) -> Option<String> {
    let events: Vec<Event> = call.tries.iter().flat_map(Try::events).collect();
    let first = call.tries.first()?;
    let versions: BTreeSet<&str> = events.iter().map(|event| event.version.as_str()).collect();
    if versions.len() > 1 {
        let tries = call.tries.iter().map(|attempt| {
            let events = attempt.events().into_iter();
            let events: Vec<_> = events.map(|event| (event.id, event.version)).collect();
            let ran = runs.get(&attempt.id).map_or(&[][..], Vec::as_slice);
            let (gateway, status, ran) = (attempt.gateway, attempt.status(), ids(ran, world));
            format!("{gateway} {status:?} at {ran:?} {events:?}")
        });
        let tries: Vec<String> = tries.collect();
        return Some(format!("{}: joined: {}", first.id, tries.join("; ")));
    }
    let is_stream = matches!(call.kind, "stream" | RESUMABLE);
    let last = call.tries.last()?;
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    let count = ids.len() as u64;
    let is_whole = last.is_whole && last.status() == Some(200);
    let expected = if is_whole { EVENTS } else { count };
    let is_wrong = is_stream && !ids.iter().copied().eq(1..=expected);
    is_wrong.then(|| format!("{}: events {ids:?}", first.id))
}

/// Tries that were answered by gateways in touch, and those of them that brought a stream.
#[derive(Default)]
struct Share {
    answered: usize,
    served: usize,
}

impl Share {
    fn count(&mut self, attempt: &Try) {
        self.answered += 1;
        let has_events = !attempt.events().is_empty();
        let is_success = attempt.status() == Some(200) && (has_events || attempt.is_whole);
        self.served += usize::from(is_success);
    }

    fn value(&self) -> f64 {
        self.served as f64 / self.answered.max(1) as f64
    }
}

/// Compares the share of take-ups that go on with that of new streams that begin.
fn check_take_ups(calls: &[Call], world: &World) -> Option<String> {
    let (mut new, mut taken_up) = (Share::default(), Share::default());
    let sound = calls.iter().filter(|call| !call.is_deadly);
    for call in sound.filter(|call| call.kind == RESUMABLE) {
        let mut version = None;
        for attempt in &call.tries {
            if is_in_touch(attempt, version.as_deref(), world) {
                match version {
                    Some(_) => taken_up.count(attempt),
                    None => new.count(attempt),
                }
            }
            let first = attempt.events().into_iter().next();
            version = version.or(first.map(|event| event.version));
        }
    }
    let is_wrong = taken_up.answered >= ENOUGH_TAKE_UPS && taken_up.value() * 2.0 < new.value();
    is_wrong.then(|| {
        format!(
            "{} of {} take-ups go on, {} of {} new streams begin",
            taken_up.served, taken_up.answered, new.served, new.answered
        )
    })
}

/// Whether a gateway answered that was in touch, while two sound servers of the version served.
fn is_in_touch(attempt: &Try, version: Option<&str>, world: &World) -> bool {
    let (Some(_), Some(ended)) = (attempt.status(), attempt.ended_at) else {
        return false;
    };
    let from = attempt.sent_at.checked_sub(AFTERMATH);
    let from = from.unwrap_or(attempt.sent_at);
    let number = gateway_number(attempt, world);
    let targets = [
        Target::Store,
        Target::StoreLink,
        Target::OwnStoreLink(number),
        Target::Gateway(number),
    ];
    let is_harmed = |target: &Target| world.is_harmed(*target, from, ended);
    let has_two = |version: &&str| world.sound_engines(version, from, ended) >= 2;
    let versions: &[&str] = match &version {
        Some(version) => std::slice::from_ref(version),
        None => &["v1", "v2"],
    };
    !targets.iter().any(is_harmed) && versions.iter().any(has_two)
}
