//! Schema of a document's TOML source. Rules beyond the schema are in [`super::validation`].

use {
    super::{MAX_TEXT_BYTES, Problem, Problems},
    serde::Deserialize,
    toml::Spanned,
};

/// The source of a document.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Document {
    pub service: Spanned<String>,
    pub kind: Spanned<Kind>,
    #[serde(default)]
    pub tiers: Vec<Tier>,
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    #[serde(default)]
    pub actions: Vec<Action>,
    #[serde(default)]
    pub backend_servers: BackendServers,
    #[serde(default)]
    pub models: Vec<Model>,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Kind {
    Model,
    Plain,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Tier {
    pub name: Spanned<String>,
    pub deadline_ms: Spanned<i64>,
    #[serde(default)]
    pub late: Late,
    #[serde(default)]
    pub disconnect: Disconnect,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Late {
    #[default]
    Drop,
    Finish,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Disconnect {
    #[default]
    Cancel,
    Finish,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Organisation {
    pub name: Spanned<String>,
    pub key_hashes: Spanned<Vec<Spanned<String>>>,
    pub weight: Option<Spanned<i64>>,
    pub tiers: Spanned<Vec<Spanned<String>>>,
    pub requests_per_second: Option<Spanned<f64>>,
    pub concurrent: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Action {
    pub method: Spanned<String>,
    pub path: Spanned<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BackendServers {
    #[serde(default)]
    pub fencing: Fencing,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Fencing {
    Obeyed,
    #[default]
    Ignored,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Model {
    pub name: Spanned<String>,
    pub replicas: Spanned<i64>,
}

impl Document {
    /// Parses the text according to the schema.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("the document is larger than {MAX_TEXT_BYTES} bytes");
            return Err(Problem::new(message, 0..0).into());
        }
        toml::from_str(text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            Problem::new(error.message(), span).into()
        })
    }
}
