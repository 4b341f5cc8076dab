//! Relays a request to a backend server and the response back to the caller.

mod exchange;
mod stream;
mod takeover;

use {
    self::exchange::{BodyError, Exchange, ExchangeError},
    super::{
        UNREADY_DELAY,
        context::Context,
        origins::{self, Unknown},
        refusal::{Cause, LEAVING_RETRY_AFTER, Refusal},
        scheduler::{InFlightRequest, PlacementRequest, Retry},
        starts,
    },
    crate::{
        clock,
        http::{body, memory::Counted},
        metrics::Labels,
    },
    bytes::Bytes,
    gotham::{
        helpers::http::Body,
        hyper::{HeaderMap, Method, Response, Uri},
    },
    std::{
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tamarackdale_core::{
        admission::Subject,
        digest,
        dispatch::{Dispatch, SendFailure, Step},
        fleet::{Choice, Limit, Member, TrialUse},
        origin,
        poison::Fingerprint,
        rendezvous,
        rollout::Pick,
        routing_config::{Organisation, RepeatPolicy, Route},
        tier::Rank,
        time::Timestamp,
        verdict::Verdict,
        wait_policy,
    },
    tamarackdale_platform::request::RequestHead,
    tokio::time::{sleep, timeout},
};

/// Pause before a stream that broke looks again for what it lacks to go on. Slots, retries and
/// confirmations come within tens of milliseconds under load.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Outcome of a request whose response was passed on completely.
const ANSWERED: &str = "answered";

/// Outcome of a request whose caller disconnected before its end.
const CALLER_GONE: &str = "caller-gone";

/// Outcome of a request whose connection was dropped by the shutdown before its end.
const CUT: &str = "cut-at-shutdown";

/// Part of the time until the end of the shutdown that the predicted time of a request may take.
/// Predictions are means, and callers' estimates of the output are often far off.
const SHUTDOWN_FRACTION: f64 = 2.0 / 3.0;

/// Crashes at which a request was lost after which it is not sent to another backend server by itself.
/// A request that only happened to be there is rarely lost at two in a row.
const MAX_CRASHES_OF_RESENT: usize = 2;

/// Margin in the `Retry-After` of a request whose stream nobody knows, for the save of the gateway at
/// which it began.
const ORIGIN_RETRY_MARGIN: Duration = Duration::from_millis(100);

/// Time after the caller's and the route's time for which its caller may still take its stream up.
const TAKE_UP_MARGIN: Duration = Duration::from_secs(2);

/// Longest time for finding out where a stream began. Callers give up after two seconds without an event.
const MAX_FINDING_TIME: Duration = Duration::from_millis(1_000);

/// Longest time for which the first event of a stream waits for the store. Callers give up a second later.
const MAX_CORRECTION_TIME: Duration = Duration::from_millis(1_000);

/// A caller's request that was authorised and charged to its quota.
pub struct Request {
    /// Decoded headers.
    pub head: RequestHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// When the gateway accepted the request.
    pub accepted: Timestamp,
    /// Version of the configuration that the request was authorised and routed by.
    pub configuration_version: u64,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Organisation of the caller, or `None` on an anonymous route.
    pub organisation: Option<Arc<Organisation>>,
    /// Cost that was charged to the organisation's quota.
    pub cost: f64,
    /// When the cost was charged.
    pub admitted: Timestamp,
}

/// State of a request while it is relayed.
struct Job {
    context: Context,
    request: Request,
    service: String,
    dispatch: Dispatch,
    /// Backend servers that are not tried again.
    excluded: Vec<String>,
    /// Those of them that were silent and may be asked again.
    silent: Vec<String>,
    deadline: Timestamp,
    /// Since when the request has waited for a slot: its acceptance, or the break of its stream.
    waiting_since: Timestamp,
    /// Until when a stream that broke waits for what it lacks to go on. It is `None` for a request that may
    /// be refused.
    resume_until: Option<Timestamp>,
    /// Digest under which the origin of the stream is recorded, if its caller may take it up.
    stream: Option<u64>,
    /// Number of the save that corrects the recorded origin of the stream, if it was another one.
    correction: Option<u64>,
    /// Version of the service's software that began the stream, once the caller has an event of it.
    version: Option<String>,
    /// Identifier of the last event that the caller has received.
    last_event: Option<u64>,
    /// Version at which the first attempt runs during a rollout.
    pick: Pick,
    /// Number of events that were passed on.
    events: u32,
    /// Digest of the request, once it was needed.
    digest: OnceLock<u64>,
    /// Whether the outcome was logged and counted.
    has_ended: AtomicBool,
}

/// A job is dropped before its end only if its caller disconnects, or at a panic.
impl Drop for Job {
    fn drop(&mut self) {
        if self.has_ended.load(Ordering::Relaxed) {
            return;
        }
        if self.dispatch.verdict() == Verdict::NotRun {
            self.refund();
        }
        let is_cut = self.context.shutdown.aborting.is_cancelled();
        match (std::thread::panicking(), is_cut) {
            (true, _) => self.finish(&Cause::Internal.to_string(), None),
            (false, true) => self.finish(CUT, None),
            (false, false) => self.finish(CALLER_GONE, None),
        }
    }
}

/// Relays the request and returns the response to the caller.
pub async fn run(context: &Context, request: Request) -> Response<Body> {
    let route = &request.route;
    let is_resumable = route.repeat_policy == RepeatPolicy::ResumableStream;
    // A stream that is taken up goes on at the service at which it began.
    let first_attempt = match &request.head.resumes {
        Some(resumes) if request.head.last_event.is_some() => resumes,
        _ => &request.head.id,
    };
    let hash = rendezvous::hash(first_attempt);
    let service = route.target(hash).unwrap_or_default().to_owned();
    context.scheduler.count_request(&service);
    let time_left = request
        .head
        .time_budget
        .map_or(route.timeout, |left| left.min(route.timeout));
    let pick = match request.head.last_event {
        Some(_) => Pick::Any,
        None => {
            let tokens = request.head.tokens;
            let tokens = tokens.map_or(0, |tokens| tokens.expected_output());
            context
                .scheduler
                .pick_version(&service, &route.name, tokens)
        }
    };
    let job = Job {
        pick,
        context: context.clone(),
        dispatch: Dispatch::new(route.repeat_policy, route.attempts),
        excluded: Vec::new(),
        silent: Vec::new(),
        deadline: request.accepted.plus(time_left),
        waiting_since: request.accepted,
        resume_until: None,
        stream: is_resumable.then(|| origin::stream_digest(first_attempt)),
        correction: None,
        version: None,
        last_event: request.head.last_event,
        service,
        request,
        events: 0,
        digest: OnceLock::new(),
        has_ended: AtomicBool::new(false),
    };
    job.run().await
}

impl Job {
    async fn run(mut self) -> Response<Body> {
        let ending = self.context.shutdown.ending.clone();
        let sending = async {
            self.find_origin().await?;
            self.send_until_response().await
        };
        let exchange = tokio::select! {
            biased;
            exchange = sending => exchange,
            () = ending.cancelled() => Err(self.end_at_shutdown()),
        };
        match exchange {
            Ok(exchange) => self.respond(exchange).await,
            Err(cause) => self.refuse(cause),
        }
    }

    /// Returns the cause to report for a request that is in progress at the end of the shutdown.
    fn end_at_shutdown(&self) -> Cause {
        match self.dispatch.verdict() {
            Verdict::NotRun => Cause::Leaving,
            Verdict::MayHaveRun | Verdict::Ran => Cause::Timeout,
        }
    }

    /// Whether the request ends at the chosen backend server before the shutdown does. A prediction is
    /// enough while callers cannot know of the shutdown, and for a request that would fail otherwise.
    fn ends_before_shutdown(&self, choice: &Choice) -> bool {
        let shutdown = &self.context.shutdown;
        let (Some(time_left), Some(closing_for)) = (shutdown.time_left(), shutdown.closing_for())
        else {
            return true;
        };
        let is_measured = match self.request.head.tokens {
            Some(_) => choice.speed.decode_ms.is_some(),
            None => choice.speed.occupancy_ms.is_some(),
        };
        let can_be_refused = self.dispatch.verdict() == Verdict::NotRun;
        let is_prediction_enough = !can_be_refused || closing_for < UNREADY_DELAY;
        match is_measured && is_prediction_enough {
            true => choice.estimate.total <= time_left.mul_f64(SHUTDOWN_FRACTION),
            false => self.own_time_left() <= time_left,
        }
    }

    /// Finds out which version began the stream that the caller takes up, if it does.
    async fn find_origin(&mut self) -> Result<(), Cause> {
        let head = &self.request.head;
        let (Some(stream), Some(last_event), None) = (self.stream, head.last_event, &self.version)
        else {
            return Ok(());
        };
        let resumes = head.resumes.as_deref();
        let known = resumes.is_some().then_some(stream);
        let finding = origins::find(&self.context, known, &self.service);
        let limit = MAX_FINDING_TIME.min(self.time_left() / 2);
        let found = timeout(limit, finding).await;
        let found = found.unwrap_or(Err(Unknown::Unreadable));
        let id = head.id.as_str();
        match found {
            Ok(origin) => {
                log::info!(
                    request = id,
                    resumes,
                    last_event,
                    service = origin.service.as_str(),
                    software_version = origin.version.as_str();
                    "stream taken up"
                );
                if !self.request.route.leads_to(&origin.service) {
                    return Err(Cause::NoBackendServer);
                }
                self.service.clone_from(&origin.service);
                self.version = Some(origin.version.clone());
                Ok(())
            }
            Err(unknown) => {
                log::warn!(request = id, resumes, last_event; "stream not taken up: {unknown}");
                Err(Cause::OriginUnknown)
            }
        }
    }

    /// Sends the request to one backend server after another until one responds or no further
    /// attempt is allowed.
    async fn send_until_response(&mut self) -> Result<Exchange, Cause> {
        // Taken ahead of the placement by a stream that had to wait for it.
        let mut retry = None;
        loop {
            let choice = match self.place().await {
                Ok(choice) => choice,
                Err(Cause::NoBackendServer | Cause::Floor) if self.pause().await => {
                    // A server that was silent may have gone on.
                    let silent = std::mem::take(&mut self.silent);
                    self.excluded.retain(|id| !silent.contains(id));
                    continue;
                }
                Err(cause) => return Err(self.give_up(cause)),
            };
            // The configuration may have become stale while the request waited in the queue.
            if !self.wait_for_proof().await {
                return Err(self.give_up(Cause::NotProved));
            }
            // A part of the prompt may have been quarantined while the request waited.
            if self.quarantine().is_some() {
                return Err(self.give_up(Cause::Quarantined));
            }
            if !self.ends_before_shutdown(&choice) {
                return Err(self.give_up(Cause::Leaving));
            }
            let load = choice.request_load(self.prompt_tokens());
            let request = self.request.head.id.as_str();
            if !starts::obtain(&self.context, &choice.member, load, request).await {
                continue;
            }
            if self.dispatch.sent() > 0 {
                let scheduler = &self.context.scheduler;
                match retry
                    .take()
                    .or_else(|| Retry::take(scheduler, &self.service))
                {
                    Some(taken) => retry = Some(taken),
                    None => {
                        retry = Some(self.wait_for_retry().await?);
                        continue;
                    }
                }
            }
            let (failure, is_break) = match self.exchange(&choice, retry.take()).await {
                Ok(exchange) => return Ok(exchange),
                Err(ExchangeError::StartUnknown) => {
                    self.silent.push(choice.member.id.clone());
                    (SendFailure::NotSent, false)
                }
                Err(ExchangeError::GivenUp(cause)) => return Err(cause),
                Err(ExchangeError::SendFailure(failure)) => (failure, false),
                Err(ExchangeError::ConnectionBroken) => (SendFailure::Lost, true),
            };
            let mut step = self.dispatch.fail(failure);
            if is_break && !self.may_resend_after_break(&choice.member).await {
                step = Step::Fail;
            }
            self.excluded.push(choice.member.id);
            log::warn!(
                request = self.request.head.id.as_str(),
                backend_server = self.excluded.last().map(String::as_str).unwrap_or_default(),
                setback:? = failure,
                verdict:% = self.dispatch.verdict(),
                request_digest = format!("{:x}", self.request_digest()),
                prompt_parts = self.shared_parts();
                "moved or given up"
            );
            match step {
                Step::Resend => {}
                Step::Refuse => return Err(Cause::NotExecuted),
                Step::Fail => return Err(Cause::BackendServer),
            }
        }
    }

    /// Pauses if the request is a stream that broke and may wait for longer. Returns whether it did.
    async fn pause(&self) -> bool {
        let now = self.context.clock.now();
        let may_wait = self.resume_until.is_some_and(|end| now < end);
        if may_wait {
            sleep(RESUME_PAUSE).await;
        }
        may_wait
    }

    /// Waits, if the request is a stream that broke, until the configuration is confirmed. Returns whether
    /// it is.
    async fn wait_for_proof(&self) -> bool {
        while !self.is_key_proved() {
            if !self.pause().await {
                return false;
            }
        }
        true
    }

    /// Waits, if the request is a stream that broke, until there is a retry in the budget.
    async fn wait_for_retry(&self) -> Result<Retry, Cause> {
        while self.pause().await {
            if let Some(retry) = Retry::take(&self.context.scheduler, &self.service) {
                return Ok(retry);
            }
        }
        Err(self.give_up(Cause::NotExecuted))
    }

    /// Time for which this request is refused because requests like it crash backend servers.
    fn quarantine(&self) -> Option<Duration> {
        let scheduler = &self.context.scheduler;
        if !scheduler.is_alert() {
            return None;
        }
        scheduler.quarantine(&self.fingerprint())
    }

    /// Finds out whether the backend server to which the connection broke has crashed, and records
    /// that. Returns whether the request may be sent to another one: one that was lost at several
    /// crashes is probably their cause.
    async fn may_resend_after_break(&self, member: &Member) -> bool {
        if self.context.pool.is_reachable(member).await {
            return true;
        }
        let scheduler = &self.context.scheduler;
        let crashes = scheduler.record_crash(&self.fingerprint(), member);
        log::info!(
            request = self.request.head.id.as_str(),
            backend_server = member.id.as_str(),
            request_digest = format!("{:x}", self.request_digest()),
            crashes;
            "request lost at a crash"
        );
        crashes < MAX_CRASHES_OF_RESENT
    }

    /// Records that the request was answered completely.
    fn record_answer(&self) {
        let scheduler = &self.context.scheduler;
        scheduler.record_answer(&self.fingerprint());
    }

    fn fingerprint(&self) -> Fingerprint {
        Fingerprint {
            request: Some(self.request_digest()),
            parts: self.request.head.shared_part_ids(),
        }
    }

    async fn place(&self) -> Result<Choice, Cause> {
        if self.quarantine().is_some() {
            return Err(Cause::Quarantined);
        }
        let placement = self.placement_request();
        let requested = self.context.clock.now();
        let is_retry = placement.is_retry;
        let choice = self.context.scheduler.place(placement).await?;
        self.log_placement(&choice, requested, is_retry);
        if self.own_time_left().is_zero() {
            return Err(Cause::TimeoutUnsent);
        }
        Ok(choice)
    }

    fn placement_request(&self) -> PlacementRequest {
        let route = &self.request.route;
        let tokens = self.request.head.tokens;
        let organisation = self.request.organisation.as_ref();
        // The organisation's rank takes precedence; the route's rank only orders requests within
        // it.
        let outer = organisation.and_then(|own| own.rank).unwrap_or(route.rank);
        let rank = route.rank.nested_in(outer);
        let time_budget = self.request.head.time_budget.unwrap_or(route.timeout);
        PlacementRequest {
            service: self.service.clone(),
            rank,
            subject: Subject::new(
                organisation.map_or("", |own| own.name.as_str()),
                &route.name,
                tokens.map_or(0, |tokens| tokens.prompt),
                tokens.map_or(0, |tokens| tokens.expected_output()),
            ),
            prompt: self.prompt_tokens(),
            prefix: self.request.head.shared_prefix(),
            output: tokens.map_or(0, |tokens| tokens.expected_output()),
            excluded: self.excluded.clone(),
            version: self.version.clone(),
            begins_stream: self.stream.is_some() && self.version.is_none(),
            accepted: self.request.accepted,
            waiting_since: self.waiting_since,
            objective: route.objective,
            deadline: self.context.clock.now().plus(self.time_left()),
            is_retry: wait_policy::is_retry(time_budget, route.timeout),
            is_optional: false,
            trial_use: self.trial_use(rank),
            pick: self.placement_pick(),
        }
    }

    /// How well the request is suited as a trial: whether it may be sent elsewhere after a failure.
    fn trial_use(&self, rank: Rank) -> TrialUse {
        let route = &self.request.route;
        let is_repeatable =
            route.repeat_policy.may_rerun() && self.dispatch.sent() + 1 < route.attempts;
        match (is_repeatable, rank) {
            (true, _) => TrialUse::Preferred,
            (false, Rank::FIRST) => TrialUse::Avoided,
            (false, _) => TrialUse::Allowed,
        }
    }

    /// Version at which the next attempt runs during a rollout: a repeated one stays at the old version.
    fn placement_pick(&self) -> Pick {
        match self.dispatch.sent() {
            0 => self.pick,
            _ => Pick::Any,
        }
    }

    fn log_placement(&self, choice: &Choice, requested: Timestamp, is_retry: bool) {
        let waited = self.context.clock.now().since(requested);
        log::info!(
            request = self.request.head.id.as_str(),
            backend_server = choice.member.id.as_str(),
            software_version = choice.member.version.as_str(),
            waited_ms = waited.as_millis() as u64,
            is_returning = is_retry,
            requests_there = choice.load.requests,
            prompt_there = choice.load.prompt_tokens,
            predicted_wait_ms = choice.estimate.wait.as_millis() as u64,
            predicted_first_ms = choice.estimate.first_token.as_millis() as u64,
            predicted_total_ms = choice.estimate.total.as_millis() as u64,
            decode_ms = choice.speed.decode_ms.unwrap_or_default(),
            prefill_ms = choice.speed.prefill_ms.unwrap_or_default(),
            stay_ms = choice.speed.occupancy_ms.unwrap_or_default(),
            limit_per_s = choice.limit.map(Limit::per_second),
            accepted_ms_ago = self.context.clock.now().since(self.request.accepted).as_millis() as u64,
            time_left_ms = self.own_time_left().as_millis() as u64,
            closing_for_ms = self.context.closing_for_ms();
            "placed"
        );
    }

    /// Records that the stream, if it is one that callers may take up, runs at a backend server.
    fn record_origin(&mut self, member: &Member) {
        if let Some(stream) = self.stream {
            let route = &self.request.route;
            let callers_time = self.request.head.time_budget.unwrap_or_default();
            let time = callers_time.max(route.timeout) + TAKE_UP_MARGIN;
            let until = self.request.accepted.plus(time);
            let correction = self.context.origins.record(stream, member, until);
            self.correction = correction.or(self.correction);
        }
    }

    /// Waits until the store has the origin of the stream, if it may have another one: who takes the
    /// stream up must not believe that. No other stream waits for the store.
    async fn wait_for_correction(&mut self) {
        let Some(save) = self.correction.take() else {
            return;
        };
        let saved = self.context.store.wait_for_origins(save);
        if timeout(MAX_CORRECTION_TIME, saved).await.is_err() {
            log::warn!(
                request = self.request.head.id.as_str(),
                waited_ms = MAX_CORRECTION_TIME.as_millis() as u64;
                "stream begins although the store may have another origin of it"
            );
        }
    }

    async fn exchange(
        &mut self,
        choice: &Choice,
        retry: Option<Retry>,
    ) -> Result<Exchange, ExchangeError> {
        // The configuration may have become stale while a start was asked for, and the time too short.
        if !self.is_key_proved() {
            return Err(ExchangeError::GivenUp(self.give_up(Cause::NotProved)));
        }
        if !self.ends_before_shutdown(choice) {
            return Err(ExchangeError::GivenUp(self.give_up(Cause::Leaving)));
        }
        exchange::run(self, choice, retry).await
    }

    /// Whether the request needs no API key, or the configuration that has its key is confirmed to be
    /// current.
    fn is_key_proved(&self) -> bool {
        let snapshot = self.context.snapshot();
        self.request.organisation.is_none()
            || snapshot.is_some_and(|snapshot| snapshot.freshness.is_fresh(clock::boottime_now()))
    }

    /// Digest of what is the same when the caller sends the request again.
    fn request_digest(&self) -> u64 {
        let request = &self.request;
        let target = request.uri.path_and_query();
        let caller = request.organisation.as_ref();
        *self.digest.get_or_init(|| {
            digest::request(
                caller.map_or("", |caller| caller.name.as_str()),
                request.method.as_str(),
                target.map_or("/", |target| target.as_str()),
                &request.body,
            )
        })
    }

    /// Identifiers of the shared parts of the prompt, in hexadecimal as callers send them, for logs.
    fn shared_parts(&self) -> String {
        let ids = self.request.head.shared_part_ids();
        let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
        ids.join(",")
    }

    /// Number of prompt tokens; zero for a plain service.
    fn prompt_tokens(&self) -> u32 {
        self.request.head.tokens.map_or(0, |tokens| tokens.prompt)
    }

    /// Whether the request's service runs on engines, which report on themselves.
    fn is_for_engine(&self) -> bool {
        let snapshot = self.context.snapshot();
        let service = snapshot.as_ref().map(|snapshot| &snapshot.value);
        service
            .and_then(|value| value.service(&self.service))
            .is_some_and(|service| service.engine.is_some())
    }

    /// Time until the deadline or the end of the shutdown, whichever is nearer.
    fn time_left(&self) -> Duration {
        let own = self.own_time_left();
        let shutdown_left = self.context.shutdown.time_left();
        shutdown_left.map_or(own, |left| left.min(own))
    }

    /// Time that the caller and the route allow.
    fn own_time_left(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    /// Returns the cause to report for a request that is not sent again: `refusal`, which states
    /// that it has not run, or `BackendServer` if it may have run.
    fn give_up(&self, refusal: Cause) -> Cause {
        match self.dispatch.give_up() {
            Step::Fail => Cause::BackendServer,
            Step::Refuse | Step::Resend => refusal,
        }
    }

    async fn respond(mut self, exchange: Exchange) -> Response<Body> {
        if exchange.is_stream() {
            return stream::respond(self, exchange).await;
        }
        if self.version.is_some() && exchange.parts.status.is_success() {
            // The caller would take it for the rest of the stream.
            log::warn!(
                request = self.request.head.id.as_str(),
                backend_server = exchange.member.id.as_str();
                "backend server did not go on with the stream: its response is none"
            );
            exchange.record_failure();
            self.excluded.push(exchange.member.id.clone());
            drop(exchange);
            let step = self.dispatch.fail(SendFailure::Failed);
            return self.resend_or_fail(step).await;
        }
        let read = tokio::select! {
            biased;
            read = exchange.read_body(&self.context.response_buffers) => read,
            () = self.context.shutdown.ending.cancelled() => {
                return self.refuse(self.end_at_shutdown());
            }
        };
        match read {
            Ok((parts, bytes, in_flight)) => {
                self.record_answer();
                self.finish(ANSWERED, Some(&in_flight));
                let mut response = Response::from_parts(parts, body::full(bytes));
                response.extensions_mut().insert(Counted);
                response
            }
            Err(error) => self.retry_or_fail(error).await,
        }
    }

    /// Handles a response that broke off before any of it was passed on.
    async fn retry_or_fail(mut self, error: BodyError) -> Response<Body> {
        let mut step = self.dispatch.fail(SendFailure::Lost);
        if let BodyError::Broken(member) = &error {
            let ending = self.context.shutdown.ending.clone();
            let may_resend = tokio::select! {
                may_resend = self.may_resend_after_break(member) => may_resend,
                () = ending.cancelled() => false,
            };
            if !may_resend {
                step = Step::Fail;
            }
        }
        self.resend_or_fail(step).await
    }

    async fn resend_or_fail(self, step: Step) -> Response<Body> {
        match step {
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
            let retry_after = match (cause, self.quarantine()) {
                (Cause::Leaving, _) => LEAVING_RETRY_AFTER,
                (Cause::Quarantined, Some(remaining)) => remaining,
                (Cause::OriginUnknown, _) => {
                    origins::save_interval(&self.context) + ORIGIN_RETRY_MARGIN
                }
                _ => {
                    let earliest = self.context.scheduler.return_delay(&self.service);
                    let delay = match cause {
                        Cause::Overload | Cause::Floor => self.assign_return(),
                        _ => wait_policy::retry_after(self.time_left(), random),
                    };
                    delay.max(earliest.unwrap_or_default())
                }
            };
            refusal = refusal.with_retry_after(retry_after);
        }
        self.finish(&cause.to_string(), None);
        refusal.response(&self.request.head.id)
    }

    /// Time after which the caller of this request, which is refused because of overload, returns.
    fn assign_return(&self) -> Duration {
        let request = self.placement_request();
        let scheduler = &self.context.scheduler;
        let assigned = scheduler.assign_return(&request, self.time_left());
        log::info!(
            request = self.request.head.id.as_str(),
            rank = request.rank.0,
            retry_after_ms = assigned.delay.as_millis() as u64,
            is_promised = assigned.is_promised,
            is_returning = request.is_retry,
            factor = scheduler.factor(&request).map(|factor| factor.to_string());
            "asked back"
        );
        let rank = self.request.route.rank.to_string();
        let labels = Labels {
            service: &self.service,
            tier: &rank,
        };
        let metrics = &self.context.metrics;
        metrics.count_asked_back(labels, assigned.is_promised);
        assigned.delay
    }

    /// Number of output tokens in the events that were passed on, except the first event, whose
    /// token is produced by processing the prompt.
    fn output_tokens(&self) -> u32 {
        let snapshot = self.context.snapshot();
        let engine = snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.value.service(&self.service)?.engine);
        let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
        self.events.saturating_sub(1).saturating_mul(per_event)
    }

    /// Refunds the cost of the request to its organisation's quota.
    fn refund(&self) {
        if let Some(organisation) = &self.request.organisation {
            let scheduler = &self.context.scheduler;
            scheduler.refund(&organisation.name, self.request.cost, self.request.admitted);
        }
    }

    /// Logs the outcome of the request and counts it in the metrics.
    fn finish(&self, outcome: &str, in_flight: Option<&InFlightRequest>) {
        self.has_ended.store(true, Ordering::Relaxed);
        let is_take_up = self.request.head.last_event.is_some();
        if let Some(stream) = self.stream {
            let version = self.version.as_deref().unwrap_or_default();
            let metrics = &self.context.metrics;
            metrics.count_stream(&self.service, version, is_take_up, self.events > 0);
            if self.events == 0 && !is_take_up {
                self.context.origins.remove(stream);
            }
        }
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
        let has_failed = ![ANSWERED, CALLER_GONE, CUT].contains(&outcome);
        log::log!(
            level,
            request = self.request.head.id.as_str(),
            route = self.request.route.name.as_str(),
            service = self.service.as_str(),
            configuration_version = self.request.configuration_version,
            organisation = self.request.organisation.as_ref().map(|own| own.name.as_str()),
            quota_cost = self.request.cost,
            outcome,
            verdict:% = verdict,
            sent = self.dispatch.sent(),
            utilisation = utilisation.unwrap_or_default(),
            backend_server = in_flight.map_or("", InFlightRequest::id),
            software_version = self.version.as_deref(),
            first_ms = in_flight
                .and_then(InFlightRequest::time_to_first_event)
                .map_or(0, |first| first.as_millis() as u64),
            prompt = self.prompt_tokens(),
            expected_output = self.request.head.tokens.map_or(0, |tokens| tokens.expected_output()),
            events = self.events,
            request_digest = has_failed.then(|| format!("{:x}", self.request_digest())),
            elapsed_ms = elapsed.as_millis() as u64,
            closing_for_ms = self.context.closing_for_ms();
            "ended"
        );
    }
}
