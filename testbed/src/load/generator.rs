//! Sends shots when they are due.

use {
    super::{Record, Schedule, Shot},
    bytes::Bytes,
    http_body_util::{BodyExt as _, Full},
    hyper::{Request, Response, body::Incoming, header::HeaderMap},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until, timeout},
    },
};

/// Longest that a call may take.
const DEFAULT_LIMIT: Duration = Duration::from_secs(60);

/// Sends requests to routers in turn, or straight to a backend server.
#[derive(Clone)]
pub struct Generator {
    targets: Arc<[SocketAddr]>,
    direct: bool,
    limit: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Generator {
    /// A generator that offers request `n` to router `n` modulo their number.
    pub fn new(routers: &[SocketAddr]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            targets: routers.into(),
            direct: false,
            limit: DEFAULT_LIMIT,
            client,
        }
    }

    /// A generator that calls a backend server without the system.
    pub fn direct(server: SocketAddr) -> Self {
        Self {
            direct: true,
            ..Self::new(&[server])
        }
    }

    /// Sets the longest that a call may take.
    pub fn with_limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    /// Offers the shots that `make` gives for each position of the schedule; the records are in
    /// that order.
    pub async fn run<F>(&self, schedule: &Schedule, mut make: F) -> Vec<Record>
    where
        F: FnMut(usize) -> Shot,
    {
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (index, offset) in schedule.offsets.iter().enumerate() {
            let shot = make(index);
            sleep_until(start + *offset).await;
            let generator = self.clone();
            calls.spawn(async move { generator.offer(start, index, &shot).await });
        }
        let mut records = calls.join_all().await;
        records.sort_by_key(|record| record.index);
        records
    }

    /// Keeps `concurrency` shots in flight for `length`, each offered when the one before it has
    /// ended; `make` is given a number that no other shot has.
    pub async fn saturate<F>(&self, concurrency: usize, length: Duration, make: F) -> Vec<Record>
    where
        F: Fn(usize) -> Shot + Send + Sync + 'static,
    {
        let start = Instant::now();
        let make = Arc::new(make);
        let mut callers = JoinSet::new();
        for caller in 0..concurrency {
            let (generator, make) = (self.clone(), Arc::clone(&make));
            callers.spawn(async move {
                let mut records = Vec::new();
                while start.elapsed() < length {
                    let index = caller + concurrency * records.len();
                    records.push(generator.offer(start, index, &make(index)).await);
                }
                records
            });
        }
        callers.join_all().await.concat()
    }

    /// Offers one shot now; `start` is where its times count from.
    pub async fn offer(&self, start: Instant, index: usize, shot: &Shot) -> Record {
        let mut record = Record {
            index,
            service: shot.service.clone(),
            tier: shot.tier.clone().unwrap_or_default(),
            key: shot.key.clone(),
            due: shot.due,
            offered: start.elapsed(),
            head: None,
            first_byte: None,
            ended: Duration::ZERO,
            status: None,
            verdict: None,
            reason: None,
            retry_after: None,
            broken: false,
            whole: false,
        };
        let called = timeout(self.limit, self.call(start, index, shot, &mut record)).await;
        record.broken = !matches!(called, Ok(Some(())));
        record.ended = start.elapsed();
        record
    }

    async fn call(
        &self,
        start: Instant,
        index: usize,
        shot: &Shot,
        record: &mut Record,
    ) -> Option<()> {
        let target = self.targets[index % self.targets.len()];
        let request: Request<Bytes> = match self.direct {
            true => shot.direct_request(target),
            false => shot.request(target),
        }
        .expect("the parts of a shot are valid in HTTP");
        let response = self.client.request(request.map(Full::new)).await.ok()?;
        record.head = Some(start.elapsed());
        read_head(&response, record);
        let body = read_body(response, start, record).await?;
        record.whole = record.status == Some(200) && shot.expected.is_whole(&body);
        Some(())
    }
}

fn read_head(response: &Response<Incoming>, record: &mut Record) {
    let headers = response.headers();
    record.status = Some(response.status().as_u16());
    record.verdict = text(headers, "tamarackdale-verdict").and_then(|name| name.parse().ok());
    record.reason = text(headers, "tamarackdale-reason").map(str::to_owned);
    record.retry_after = text(headers, "tamarackdale-retry-after-ms")
        .and_then(|number| number.parse().ok())
        .map(Duration::from_millis);
    if record.key.is_none() {
        record.key = text(headers, "tamarackdale-request-id").map(str::to_owned);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn read_body(
    mut response: Response<Incoming>,
    start: Instant,
    record: &mut Record,
) -> Option<Vec<u8>> {
    let content_type = text(response.headers(), "content-type").unwrap_or_default();
    let is_stream = content_type.starts_with("text/event-stream");
    let mut body = Vec::new();
    while let Some(frame) = response.body_mut().frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        body.extend_from_slice(&data);
        if record.first_byte.is_none() && (!is_stream || has_text(&body)) {
            record.first_byte = Some(start.elapsed());
        }
    }
    Some(body)
}

fn has_text(body: &[u8]) -> bool {
    const MARK: &[u8] = b"output_text.delta";
    body.windows(MARK.len()).any(|window| window == MARK)
}
