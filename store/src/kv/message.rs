//! JSON messages of the etcd v3 gateway, with bytes in base64 and 64-bit integers as strings.

use {
    super::{
        Entry, Error, Swap,
        scalar::{Base64Bytes, integer, prefix_end},
    },
    serde::{Deserialize, Serialize},
};

#[derive(Default, Serialize)]
pub(super) struct RangeRequest {
    key: Base64Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Base64Bytes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    min_mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<String>,
}

impl RangeRequest {
    pub fn key(key: &str) -> Self {
        Self {
            key: key.into(),
            ..Self::default()
        }
    }

    pub fn prefix(prefix: &str) -> Self {
        Self {
            key: prefix.into(),
            range_end: Some(prefix_end(prefix)),
            ..Self::default()
        }
    }

    pub fn with_revision(mut self, revision: i64) -> Self {
        self.revision = Some(revision.to_string());
        self
    }

    pub fn with_min_mod_revision(mut self, revision: i64) -> Self {
        self.min_mod_revision = Some(revision.to_string());
        self
    }
}

#[derive(Default, Deserialize)]
pub(super) struct Header {
    #[serde(default, deserialize_with = "integer")]
    pub revision: i64,
}

#[derive(Default, Deserialize)]
pub(super) struct RangeResponse {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

impl RangeResponse {
    pub fn into_entries(self) -> Vec<Entry> {
        self.kvs.into_iter().map(Entry::from).collect()
    }
}

#[derive(Default, Deserialize)]
pub(super) struct KeyValue {
    key: Base64Bytes,
    #[serde(default)]
    value: Base64Bytes,
    #[serde(default, deserialize_with = "integer")]
    mod_revision: i64,
}

/// Keys are any bytes. Those that are not UTF-8, which another program wrote, are replaced: the key then
/// names nothing, and the entry hides no others.
impl From<KeyValue> for Entry {
    fn from(pair: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&pair.key.0).into_owned(),
            value: pair.value.0,
            revision: pair.mod_revision,
        }
    }
}

#[derive(Default, Serialize)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Serialize)]
pub(super) struct Compare {
    key: Base64Bytes,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

impl Compare {
    pub fn mod_revision(key: &str, revision: i64) -> Self {
        Self {
            key: key.into(),
            target: "MOD",
            result: "EQUAL",
            mod_revision: revision.to_string(),
        }
    }
}

#[derive(Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(RangeRequest),
    #[serde(rename = "request_txn")]
    Txn(TxnRequest),
}

impl RequestOp {
    pub fn range(key: &str) -> Self {
        Self::Range(RangeRequest::key(key))
    }

    pub fn put(key: &str, value: &[u8], lease: Option<i64>) -> Self {
        Self::Put(PutRequest {
            key: key.into(),
            value: Base64Bytes(value.to_vec()),
            lease: lease.unwrap_or_default().to_string(),
        })
    }

    pub fn delete(key: &str) -> Self {
        Self::Delete(RangeRequest::key(key))
    }

    pub fn txn(request: TxnRequest) -> Self {
        Self::Txn(request)
    }
}

#[derive(Serialize)]
pub(super) struct PutRequest {
    key: Base64Bytes,
    value: Base64Bytes,
    lease: String,
}

#[derive(Default, Deserialize)]
pub(super) struct TxnResponse {
    #[serde(default)]
    pub header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

impl TxnResponse {
    /// The result of one conditional operation. `revision` is that of the whole call's response.
    pub fn into_swap(mut self, revision: i64) -> Result<Swap, Error> {
        if self.succeeded {
            return Ok(Swap::Done { revision });
        }
        let range = self
            .responses
            .pop()
            .and_then(|operation| operation.response_range)
            .ok_or_else(|| Error::malformed("failed compare without the present entry"))?;
        Ok(Swap::Conflict(range.into_entries().pop()))
    }
}

#[derive(Default, Deserialize)]
pub(super) struct ResponseOp {
    response_range: Option<RangeResponse>,
    response_txn: Option<TxnResponse>,
}

impl ResponseOp {
    pub fn into_swap(self, revision: i64) -> Result<Swap, Error> {
        self.response_txn
            .ok_or_else(|| Error::malformed("nested transaction without its response"))?
            .into_swap(revision)
    }
}

#[derive(Serialize)]
pub(super) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub ttl: i64,
}

#[derive(Serialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub id: i64,
}

#[derive(Default, Deserialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID", default, deserialize_with = "integer")]
    pub id: i64,
    #[serde(rename = "TTL", default, deserialize_with = "integer")]
    pub ttl: i64,
}

#[derive(Deserialize)]
pub(super) struct KeepAliveResponse {
    pub result: LeaseResponse,
}

#[derive(Serialize)]
pub(super) struct WatchRequest {
    create_request: WatchCreateRequest,
}

#[derive(Serialize)]
struct WatchCreateRequest {
    key: Base64Bytes,
    range_end: Base64Bytes,
    start_revision: String,
    progress_notify: bool,
}

impl WatchRequest {
    pub fn prefix(prefix: &str, from_revision: i64) -> Self {
        Self {
            create_request: WatchCreateRequest {
                key: prefix.into(),
                range_end: prefix_end(prefix),
                start_revision: from_revision.to_string(),
                progress_notify: true,
            },
        }
    }
}

#[derive(Deserialize)]
pub(super) struct WatchMessage {
    pub result: WatchResponse,
}

#[derive(Default, Deserialize)]
pub(super) struct WatchResponse {
    #[serde(default)]
    pub header: Header,
    /// Whether this only confirms that the watch was opened.
    #[serde(default)]
    pub created: bool,
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub events: Vec<Event>,
}

#[derive(Deserialize)]
pub(super) struct Event {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValue,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl Event {
    /// The entry, and whether it was deleted rather than written.
    pub fn into_entry(self) -> (Entry, bool) {
        (self.kv.into(), self.kind == EventKind::Delete)
    }
}
