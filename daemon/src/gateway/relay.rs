//! Brings a request to a backend server and its answer back.

mod exchange;
mod stream;

use {
    self::exchange::{Ending, Exchange},
    super::{
        context::Context,
        refusal::{Cause, Refusal},
        scheduler::{Ask, Occupation},
    },
    crate::{clock, http::body, metrics::Labels},
    bytes::Bytes,
    gotham::{
        helpers::http::Body,
        hyper::{HeaderMap, Method, Response, Uri},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_core::{
        directory::{Organisation, Route},
        dispatch::{Dispatch, Setback, Step},
        fleet::Choice,
        patience, rendezvous,
        time::Timestamp,
        verdict::Verdict,
    },
    tamarackdale_platform::request::Head,
};

/// Outcome of a request whose answer was passed on whole.
const ANSWERED: &str = "answered";

/// Outcome of a request whose caller went away before its end.
const CALLER_GONE: &str = "caller-gone";

/// A caller's request that may run.
pub struct Request {
    /// What its headers say.
    pub head: Head,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When it was accepted.
    pub accepted: Timestamp,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is.
    pub organisation: Option<Arc<Organisation>>,
    /// What it took from the organisation's quota.
    pub cost: f64,
    /// When it was taken into the quota.
    pub admitted: Timestamp,
}

/// A request on its way, with what was tried.
struct Job {
    context: Context,
    request: Request,
    service: String,
    dispatch: Dispatch,
    excluded: Vec<String>,
    deadline: Timestamp,
    last_event: Option<u64>,
    /// Events that were passed on.
    events: u32,
    /// Whether the end was logged and counted.
    has_ended: AtomicBool,
}

/// A job that is dropped before its end is one whose caller has gone.
impl Drop for Job {
    fn drop(&mut self) {
        if self.has_ended.load(Ordering::Relaxed) {
            return;
        }
        if self.dispatch.verdict() == Verdict::NotRun {
            self.refund();
        }
        self.finish(CALLER_GONE, None);
    }
}

/// Runs the request and answers.
pub async fn run(context: &Context, request: Request) -> Response<Body> {
    let route = &request.route;
    let hash = rendezvous::hash(&request.head.id);
    let service = route.target(hash).unwrap_or_default().to_owned();
    context.scheduler.count_request(&service);
    let time_left = request
        .head
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    let job = Job {
        context: context.clone(),
        dispatch: Dispatch::new(route.repetition, route.attempts),
        excluded: Vec::new(),
        deadline: request.accepted.plus(time_left),
        last_event: request.head.last_event,
        service,
        request,
        events: 0,
        has_ended: AtomicBool::new(false),
    };
    job.run().await
}

impl Job {
    async fn run(mut self) -> Response<Body> {
        match self.attempt().await {
            Ok(exchange) => self.respond(exchange).await,
            Err(cause) => self.refuse(cause),
        }
    }

    /// Sends the request until a backend server answers, or until it must be given up.
    async fn attempt(&mut self) -> Result<Exchange, Cause> {
        loop {
            let choice = match self.place().await {
                Ok(choice) => choice,
                Err(cause) => return Err(self.give_up(cause)),
            };
            if self.dispatch.sent() > 0 && !self.context.scheduler.may_repeat(&self.service) {
                return Err(self.give_up(Cause::NotExecuted));
            }
            let setback = match self.exchange(&choice).await {
                Ok(exchange) => return Ok(exchange),
                Err(Ending::GivenUp(cause)) => return Err(cause),
                Err(Ending::Setback(setback)) => setback,
            };
            let step = self.dispatch.fail(setback);
            self.excluded.push(choice.member.id);
            log::warn!(
                request = self.request.head.id.as_str(),
                backend_server = self.excluded.last().map(String::as_str).unwrap_or_default(),
                setback:? = setback,
                verdict:% = self.dispatch.verdict();
                "moved or given up"
            );
            match step {
                Step::Resend => {}
                Step::Refuse => return Err(Cause::NotExecuted),
                Step::Fail => return Err(Cause::BackendServer),
            }
        }
    }

    async fn place(&self) -> Result<Choice, Cause> {
        let route = &self.request.route;
        let tokens = self.request.head.tokens;
        let organisation = self.request.organisation.as_ref();
        // An organisation's rank goes before the route's, which decides among its own requests.
        let outer = organisation.and_then(|own| own.rank).unwrap_or(route.rank);
        let stated = self.request.head.time_left.unwrap_or(route.timeout);
        let ask = Ask {
            service: self.service.clone(),
            rank: route.rank.within(outer),
            prompt: tokens.map_or(0, |tokens| tokens.prompt),
            output: tokens.map_or(0, |tokens| tokens.expected()),
            excluded: self.excluded.clone(),
            accepted: self.request.accepted,
            objective: route.objective,
            deadline: self.deadline,
            is_returning: patience::is_returning(stated, route.timeout),
        };
        let asked = self.context.clock.now();
        let is_returning = ask.is_returning;
        let choice = self.context.scheduler.place(ask).await?;
        self.log_choice(&choice, asked, is_returning);
        if self.time_left().is_zero() {
            return Err(Cause::TimeoutUnsent);
        }
        Ok(choice)
    }

    fn log_choice(&self, choice: &Choice, asked: Timestamp, is_returning: bool) {
        let waited = self.context.clock.now().since(asked);
        log::info!(
            request = self.request.head.id.as_str(),
            backend_server = choice.member.id.as_str(),
            waited_ms = waited.as_millis() as u64,
            is_returning,
            requests_there = choice.load.requests,
            prompt_there = choice.load.prompt,
            predicted_wait_ms = choice.estimate.wait.as_millis() as u64,
            predicted_first_ms = choice.estimate.first.as_millis() as u64,
            predicted_total_ms = choice.estimate.total.as_millis() as u64,
            decode_ms = choice.speed.decode_ms.unwrap_or_default(),
            prefill_ms = choice.speed.prefill_ms.unwrap_or_default(),
            stay_ms = choice.speed.stay_ms.unwrap_or_default();
            "placed"
        );
    }

    async fn exchange(&mut self, choice: &Choice) -> Result<Exchange, Ending> {
        // The configuration may have gone stale while the request waited.
        if self.request.organisation.is_some() && !self.is_proved() {
            return Err(Ending::GivenUp(self.give_up(Cause::NotProved)));
        }
        exchange::run(self, choice).await
    }

    fn is_proved(&self) -> bool {
        let snapshot = self.context.snapshot();
        snapshot.is_some_and(|snapshot| snapshot.freshness.is_proved(clock::boottime_now()))
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// The cause of the end of a request that is not sent again: once it may have run, a refusal
    /// would be untrue.
    fn give_up(&self, refusal: Cause) -> Cause {
        match self.dispatch.give_up() {
            Step::Fail => Cause::BackendServer,
            Step::Refuse | Step::Resend => refusal,
        }
    }

    async fn respond(self, exchange: Exchange) -> Response<Body> {
        if exchange.is_stream() {
            return stream::respond(self, exchange);
        }
        match exchange.read_whole().await {
            Ok((parts, bytes, occupation)) => {
                self.finish(ANSWERED, Some(&occupation));
                Response::from_parts(parts, body::full(bytes))
            }
            Err(()) => self.retry_or_fail().await,
        }
    }

    /// An answer broke off before any of it was passed on.
    async fn retry_or_fail(mut self) -> Response<Body> {
        match self.dispatch.fail(Setback::Lost) {
            Step::Resend => Box::pin(self.run()).await,
            Step::Refuse | Step::Fail => self.refuse(Cause::BackendServer),
        }
    }

    fn refuse(&self, cause: Cause) -> Response<Body> {
        let may_have_run = matches!(cause, Cause::BackendServer | Cause::Timeout);
        let mut refusal = Refusal::new(cause);
        if !may_have_run {
            self.refund();
            let random = self.context.scheduler.random();
            refusal = refusal.with_retry_after(patience::retry_after(self.time_left(), random));
        }
        self.finish(&cause.to_string(), None);
        refusal.response(&self.request.head.id)
    }

    /// Output tokens in so many events, but for the first, which came with the prompt.
    fn output_tokens(&self) -> u32 {
        let snapshot = self.context.snapshot();
        let engine = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.value.service(&self.service)?.engine);
        let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        self.events.saturating_sub(1).saturating_mul(per_event)
    }

    /// Gives back what the request took from its organisation's quota.
    fn refund(&self) {
        if let Some(organisation) = &self.request.organisation {
            let scheduler = &self.context.scheduler;
            scheduler.refund(&organisation.name, self.request.cost, self.request.admitted);
        }
    }

    /// Logs and counts the end of the request.
    fn finish(&self, outcome: &str, occupation: Option<&Occupation>) {
        self.has_ended.store(true, Ordering::Relaxed);
        let elapsed = self.context.clock.now().since(self.request.accepted);
        let rank = self.request.route.rank.to_string();
        let labels = Labels {
            service: &self.service,
            tier: &rank,
        };
        self.context.metrics.count_request(labels, outcome, elapsed);
        let (level, verdict) = match outcome {
            ANSWERED => (log::Level::Info, Verdict::Ran),
            _ => (log::Level::Warn, self.dispatch.verdict()),
        };
        let utilisation = self.context.scheduler.utilisation(&self.service);
        log::log!(
            level,
            request = self.request.head.id.as_str(),
            route = self.request.route.name.as_str(),
            service = self.service.as_str(),
            organisation = self.request.organisation.as_ref().map(|own| own.name.as_str()),
            quota_cost = self.request.cost,
            outcome,
            verdict:% = verdict,
            sent = self.dispatch.sent(),
            utilisation = utilisation.unwrap_or_default(),
            backend_server = occupation.map_or("", Occupation::id),
            first_ms = occupation.and_then(Occupation::first).map_or(0, |first| first.as_millis() as u64),
            prompt = self.request.head.tokens.map_or(0, |tokens| tokens.prompt),
            expected_output = self.request.head.tokens.map_or(0, |tokens| tokens.expected()),
            events = self.events,
            elapsed_ms = elapsed.as_millis() as u64;
            "ended"
        );
    }
}
