//! Seeded traffic like that of the two example operators.
//!
//! Questions to an assistant share the operator's instructions as a prefix, and differ a
//! hundredfold in length. Orders are bookings, which must not repeat, and reads.

use {
    crate::load::Shot,
    hyper::Method,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    std::{ops::Range, time::Duration},
    tamarackdale_core::document::{
        Document,
        example::{self, Example},
    },
};

/// Bytes of the instructions that all questions to an assistant begin with.
const INSTRUCTION_BYTES: usize = 1_024;

/// One kind of question to a model engine.
#[derive(Clone, Debug)]
pub struct Question {
    /// Service asked.
    pub service: &'static str,
    /// Model asked.
    pub model: &'static str,
    /// Tier named.
    pub tier: &'static str,
    /// API key of the organisation that asks.
    pub api_key: &'static str,
    /// Bytes of the question.
    pub input_bytes: Range<usize>,
    /// Tokens of the answer.
    pub output_tokens: Range<u32>,
}

/// One kind of call to a plain service.
#[derive(Clone, Debug)]
pub struct Order {
    /// Service called.
    pub service: &'static str,
    /// Tier named.
    pub tier: &'static str,
    /// API key of the organisation that calls.
    pub api_key: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path, with an item's number below it.
    pub path: &'static str,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A question to a model engine.
    Question(Question),
    /// A call to a plain service.
    Order(Order),
}

/// A seeded source of requests: kinds with their relative frequency.
#[derive(Clone, Debug)]
pub struct Traffic {
    generator: StdRng,
    seed: u64,
    kinds: Vec<(u32, Kind)>,
    documents: Vec<Document>,
}

impl Traffic {
    /// Requests of these kinds, each with its relative frequency.
    pub fn new(seed: u64, kinds: Vec<(u32, Kind)>) -> Self {
        Self {
            generator: StdRng::seed_from_u64(seed),
            seed,
            kinds,
            documents: example::ALL.iter().map(parse).collect(),
        }
    }

    /// Requests of both operators.
    pub fn of_both(seed: u64) -> Self {
        Self::new(seed, [workshop(), snow_clearance()].concat())
    }

    /// The next request; its key tells the seed and `index`.
    pub fn shot(&mut self, index: usize) -> Shot {
        let kind = self.draw_kind().clone();
        let shot = match &kind {
            Kind::Question(question) => self.question(question),
            Kind::Order(order) => self.order(order),
        };
        let shot = shot.with_key(&format!("{}-{index}", self.seed));
        match self.deadline(&shot) {
            Some(deadline) => shot.with_due(deadline),
            None => shot,
        }
    }

    /// Deadline of the shot's tier in the example document of its service.
    fn deadline(&self, shot: &Shot) -> Option<Duration> {
        let of_service = |document: &&Document| document.service == shot.service;
        let document = self.documents.iter().find(of_service)?;
        let (_, tier) = document.tier(shot.tier.as_deref()?)?;
        Some(tier.deadline)
    }

    fn draw_kind(&mut self) -> &Kind {
        let total: u32 = self.kinds.iter().map(|(frequency, _)| frequency).sum();
        let mut drawn = self.generator.random_range(0..total);
        for (frequency, kind) in &self.kinds {
            if drawn < *frequency {
                return kind;
            }
            drawn -= frequency;
        }
        unreachable!("the number drawn is below the sum of the frequencies")
    }

    fn question(&mut self, question: &Question) -> Shot {
        let length = self.generator.random_range(question.input_bytes.clone());
        let output_tokens = self.generator.random_range(question.output_tokens.clone());
        let number: u64 = self.generator.random();
        let instructions = filler(question.service, INSTRUCTION_BYTES);
        let input = instructions + &filler(&format!("question {number:016x}"), length);
        Shot::model(
            question.service,
            question.api_key,
            question.model,
            &input,
            output_tokens,
        )
        .with_tier(question.tier)
    }

    fn order(&mut self, order: &Order) -> Shot {
        let number = self.generator.random_range(0..100_000);
        let method = order.method.clone();
        let (path, body) = match method {
            Method::GET => (format!("{}/{number}", order.path), String::new()),
            _ => (order.path.to_owned(), format!("{{\"item\":{number}}}")),
        };
        Shot::plain(order.service, order.api_key, method, &path, &body).with_tier(order.tier)
    }
}

/// Kinds of the sharpening workshop.
pub fn workshop() -> Vec<(u32, Kind)> {
    let question = |tier, api_key, input_bytes, output_tokens| {
        Kind::Question(Question {
            service: "slibe-llm",
            model: "sharpening",
            tier,
            api_key,
            input_bytes,
            output_tokens,
        })
    };
    let order = |tier, method, path| {
        Kind::Order(Order {
            service: "ordre-app",
            tier,
            api_key: "joiner-example-key",
            method,
            path,
        })
    };
    vec![
        (10, question("site", "joiner-example-key", 80..400, 20..60)),
        (
            5,
            question("workshop", "carver-example-key", 400..4_000, 40..120),
        ),
        (
            1,
            question(
                "assessment",
                "restoration-example-key",
                8_000..40_000,
                150..300,
            ),
        ),
        (6, order("status", Method::GET, "/orders")),
        (2, order("order", Method::POST, "/pickups")),
        (1, order("order", Method::POST, "/charges")),
    ]
}

/// Kinds of the snow clearance office.
pub fn snow_clearance() -> Vec<(u32, Kind)> {
    let question = |tier, api_key, input_bytes, output_tokens| {
        Kind::Question(Question {
            service: "tamarack-pool",
            model: "roofs",
            tier,
            api_key,
            input_bytes,
            output_tokens,
        })
    };
    let order = |tier, method, path| {
        Kind::Order(Order {
            service: "dispatch-app",
            tier,
            api_key: "clerk-example-key",
            method,
            path,
        })
    };
    vec![
        (
            6,
            question("resident", "resident-example-key", 80..400, 20..60),
        ),
        (
            3,
            question("clerk", "clerk-example-key", 2_000..20_000, 80..200),
        ),
        (
            1,
            question("archive", "township-example-key", 8_000..40_000, 100..200),
        ),
        (4, order("status", Method::GET, "/dispatches")),
        (2, order("dispatch", Method::POST, "/dispatches")),
        (1, order("dispatch", Method::POST, "/reports")),
    ]
}

fn parse(example: &Example) -> Document {
    Document::parse(example.text).expect("the examples are valid documents")
}

fn filler(word: &str, bytes: usize) -> String {
    let mut text = format!("{word} ").repeat(bytes / (word.len() + 1) + 1);
    text.truncate(bytes);
    text
}
