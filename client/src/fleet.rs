//! The instances of the instance list, and calls to many of them at once.

use {
    crate::settings::Settings,
    futures_util::{StreamExt as _, stream},
    serde::de::DeserializeOwned,
    std::time::Duration,
    tamarackdale_store::{
        http,
        list::{self, Member, Role},
    },
    tamarackdale_wire::{Status, codec, path},
};

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The listed instances.
pub struct Fleet {
    /// Members of the instance list.
    pub members: Vec<Member>,
    /// Timeout of each call.
    pub timeout: Duration,
}

/// An instance and its response, or the reason why there is none.
pub struct InstanceResponse<'a, T> {
    /// The instance.
    pub member: &'a Member,
    /// Decoded response, or an error message.
    pub result: Result<T, String>,
}

impl Fleet {
    /// Reads the instance list.
    pub async fn read(settings: &Settings) -> Result<Self, list::Error> {
        let client = list::Client::new(&settings.instance_list).with_timeout(settings.timeout);
        Ok(Self {
            members: client.fetch().await?,
            timeout: settings.timeout,
        })
    }

    /// Keeps only the instances that use a service's document: its sidecars and all routers.
    pub fn of_service(mut self, service: &str) -> Self {
        self.members
            .retain(|member| member.role == Role::Router || member.service == service);
        self
    }

    /// Gets the status of the given instances.
    pub async fn statuses<'a>(&self, members: &[&'a Member]) -> Vec<InstanceResponse<'a, Status>> {
        self.query(members, path::STATUS).await
    }

    /// Sends the same GET request to the given instances, many at a time. The responses are in the
    /// order of `members`.
    pub async fn query<'a, T: DeserializeOwned>(
        &self,
        members: &[&'a Member],
        path: &str,
    ) -> Vec<InstanceResponse<'a, T>> {
        stream::iter(members)
            .map(|member| async move {
                let url = format!("http://{}{path}", member.address);
                InstanceResponse {
                    member,
                    result: query_one(&url, self.timeout).await,
                }
            })
            .buffered(MAX_CONCURRENT_CALLS)
            .collect()
            .await
    }
}

async fn query_one<T: DeserializeOwned>(url: &str, timeout: Duration) -> Result<T, String> {
    let response = http::Client::new(url, timeout)
        .get()
        .await
        .map_err(|error| error.to_string())?;
    codec::decode(&response).map_err(|error| error.to_string())
}
