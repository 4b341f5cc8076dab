//! Client of the instance list, in the JSON of Prometheus HTTP service discovery.

use {
    crate::http::{self, Page},
    derive_more::{Display, Error as StdError, FromStr},
    hyper::header::HeaderValue,
    serde::Deserialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Bound on each call, unless another is set.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// State of an instance that is about to go.
const LEAVING: &str = "leaving";

/// What an instance runs.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Role {
    /// An entry instance.
    Router,
    /// An instance beside a backend server.
    Sidecar,
}

/// One listed instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub instance: String,
    /// Address for other processes of the system.
    pub address: SocketAddr,
    /// Service that its backend server belongs to; empty for a router.
    pub service: String,
    /// What it runs.
    pub role: Role,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// Why the list could not be read. The last one read stays valid meanwhile.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The list cannot be reached.
    #[display("the instance list is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The answer is not an instance list.
    #[display("the instance list is malformed: {_0}")]
    Malformed(#[error(not(source))] String),
}

/// Client of the instance list. Clones share what was read last.
///
/// The list is asked for with the entity tag of the last answer, so that a server that knows
/// entity tags sends it only when it has changed.
#[derive(Clone)]
pub struct Client {
    http: http::Client,
    last: Arc<Mutex<Last>>,
}

/// The last list read, with its entity tag if it has one.
#[derive(Clone, Default)]
struct Last {
    tag: Option<HeaderValue>,
    members: Arc<[Member]>,
}

/// A target group of the published format.
#[derive(Deserialize)]
struct Group {
    targets: Vec<String>,
    #[serde(default)]
    labels: HashMap<String, String>,
}

impl Client {
    /// A client of the list at `url`.
    pub fn new(url: &str) -> Self {
        Self {
            http: http::Client::new(url, DEFAULT_TIMEOUT),
            last: Arc::default(),
        }
    }

    /// Sets the bound on each call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            http: self.http.with_timeout(timeout),
            ..self
        }
    }

    /// Reads the whole list; instances of other roles than ours are left out.
    pub async fn fetch(&self) -> Result<Vec<Member>, Error> {
        let last = self.last().clone();
        let page = self
            .http
            .get_newer(last.tag.as_ref())
            .await
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let (body, tag) = match page {
            Page::Unchanged => return Ok(last.members.to_vec()),
            Page::Changed { body, tag } => (body, tag),
        };
        let groups: Vec<Group> =
            serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))?;
        let members: Vec<Member> = groups
            .iter()
            .filter_map(Group::member)
            .collect::<Result<_, Error>>()?;
        *self.last() = Last {
            tag,
            members: members.as_slice().into(),
        };
        Ok(members)
    }

    fn last(&self) -> MutexGuard<'_, Last> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Group {
    /// The member that the group describes, or `None` if it has no role in this system.
    fn member(&self) -> Option<Result<Member, Error>> {
        let role = self.label("role").parse().ok()?;
        Some(self.member_of(role))
    }

    fn member_of(&self, role: Role) -> Result<Member, Error> {
        let [target] = self.targets.as_slice() else {
            return Err(Error::Malformed(
                "a group without exactly one target".into(),
            ));
        };
        if self.label("instance").is_empty() {
            return Err(Error::Malformed(format!(
                "target {target} has no instance name"
            )));
        }
        let address = target
            .parse()
            .map_err(|_| Error::Malformed(format!("{target:?} is not an address")))?;
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
