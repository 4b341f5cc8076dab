//! Client of the instance list, in the JSON of Prometheus HTTP service discovery.

use {
    crate::http::{self, ConditionalResponse},
    derive_more::{Display, Error as StdError, FromStr},
    hyper::header::HeaderValue,
    serde::Deserialize,
    serde_json::value::RawValue,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tamarackdale_core::address,
};

/// Default timeout of each call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Most groups that cannot be used and are logged for one list.
const MAX_LOGGED: usize = 20;

/// Value of the `state` label of an instance that is shutting down.
const LEAVING: &str = "leaving";

/// Role of an instance.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Role {
    /// Instance that routes requests to sidecars.
    Router,
    /// Instance that runs beside a backend server.
    Sidecar,
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: String,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// Service that its backend server belongs to; empty for a router.
    pub service: String,
    /// Role.
    pub role: Role,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Why the list could not be read. The caller may go on using the list that it read before.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The list's server cannot be reached, or its response is incomplete or an error.
    #[display("the instance list is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The response is not a list, or a group of it cannot be used.
    #[display("the instance list is malformed: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// Client of the instance list. Clones share the cached list.
///
/// Each request carries the entity tag of the last response, so that a server that supports entity
/// tags sends the list only when it has changed.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
    cache: Arc<Mutex<CachedList>>,
}

/// The list read last, with its entity tag if the server sent one.
#[derive(Clone, Default)]
struct CachedList {
    etag: Option<HeaderValue>,
    members: Arc<[Member]>,
    /// Why some of its groups are left out.
    rejections: Arc<[String]>,
}

/// Target group of Prometheus HTTP service discovery.
#[derive(Deserialize)]
struct TargetGroup {
    targets: Vec<String>,
    #[serde(default)]
    labels: HashMap<String, String>,
}

impl Client {
    /// A client of the list at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            http: http::Client::new(url, DEFAULT_TIMEOUT),
            cache: Arc::default(),
        }
    }

    /// Sets the timeout of each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            http: self.http.with_timeout(timeout),
            ..self
        }
    }

    /// Reads the whole list. Instances whose role is not a [`Role`] are left out, as are groups that
    /// cannot be used, which are logged when they appear.
    pub async fn fetch(&self) -> Result<Vec<Member>, Error> {
        let cached = self.lock_cache().clone();
        let response = self
            .http
            .get_if_modified(cached.etag.as_ref())
            .await
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let (body, etag) = match response {
            ConditionalResponse::NotModified => return Ok(cached.members.to_vec()),
            ConditionalResponse::Modified { body, etag } => (body, etag),
        };
        // Groups are decoded one by one, so that one that another program wrote does not hide the
        // others. Bytes that are not UTF-8 are replaced.
        let text = String::from_utf8_lossy(&body);
        let groups: Vec<&RawValue> =
            serde_json::from_str(&text).map_err(|error| Error::Malformed(error.to_string()))?;
        let mut members = Vec::new();
        let mut rejections = Vec::new();
        for group in groups {
            match decode_member(group) {
                Ok(member) => members.extend(member),
                Err(error) => rejections.push(error.to_string()),
            }
        }
        let known: HashSet<&String> = cached.rejections.iter().collect();
        rejections
            .iter()
            .filter(|reason| !known.contains(reason))
            .take(MAX_LOGGED)
            .for_each(|reason| log::warn!("skipping a group of the instance list: {reason}"));
        *self.lock_cache() = CachedList {
            etag,
            members: members.as_slice().into(),
            rejections: rejections.into(),
        };
        Ok(members)
    }

    fn lock_cache(&self) -> MutexGuard<'_, CachedList> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decodes a group; `None` if its role is not a [`Role`].
fn decode_member(group: &RawValue) -> Result<Option<Member>, Error> {
    let group: TargetGroup =
        serde_json::from_str(group.get()).map_err(|error| Error::Malformed(error.to_string()))?;
    group.member().transpose()
}

impl TargetGroup {
    /// The member that the group describes, or `None` if its role is not a [`Role`].
    fn member(&self) -> Option<Result<Member, Error>> {
        let role = self.label("role").parse().ok()?;
        Some(self.with_role(role))
    }

    fn with_role(&self, role: Role) -> Result<Member, Error> {
        let [target] = self.targets.as_slice() else {
            return Err(Error::Malformed(format!(
                "target group has {} targets instead of one",
                self.targets.len()
            )));
        };
        let name = self.label("instance");
        if name.is_empty() || name.contains(char::REPLACEMENT_CHARACTER) {
            return Err(Error::Malformed(format!(
                "target {target} has no readable instance name"
            )));
        }
        let address = target
            .parse()
            .ok()
            .filter(|address| address::is_reachable(*address));
        let address = address.ok_or_else(|| {
            Error::Malformed(format!("target {target:?} is not an IP address and port"))
        })?;
        Ok(Member {
            instance: self.label("instance").to_owned(),
            address,
            service: self.label("service").to_owned(),
            role,
            data_centre: self.label("data_centre").to_owned(),
            leaving: self.label("state") == LEAVING,
        })
    }

    fn label(&self, name: &str) -> &str {
        self.labels.get(name).map_or("", String::as_str)
    }
}
