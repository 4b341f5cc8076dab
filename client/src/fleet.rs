//! The instances that the client can see.

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

/// Instances asked at the same time.
const PARALLEL_CALLS: usize = 64;

/// The listed instances.
pub struct Fleet {
    /// Members of the instance list.
    pub members: Vec<Member>,
    /// Bound on each call.
    pub timeout: Duration,
}

/// An instance, and what it tells of itself or why it tells nothing.
pub struct Sighting<'a, T> {
    /// The instance.
    pub member: &'a Member,
    /// Its answer.
    pub answer: Result<T, String>,
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

    /// Keeps the instances that use a service's document: its sidecars and all routers.
    pub fn of_service(mut self, service: &str) -> Self {
        self.members
            .retain(|member| member.role == Role::Router || member.service == service);
        self
    }

    /// Asks instances for their status.
    pub async fn statuses<'a>(&self, members: &[&'a Member]) -> Vec<Sighting<'a, Status>> {
        self.ask(members, path::STATUS).await
    }

    /// Asks instances the same question, many at a time; the answers are in the given order.
    pub async fn ask<'a, T: DeserializeOwned>(
        &self,
        members: &[&'a Member],
        path: &str,
    ) -> Vec<Sighting<'a, T>> {
        stream::iter(members)
            .map(|member| async move {
                let url = format!("http://{}{path}", member.address);
                Sighting {
                    member,
                    answer: ask_one(&url, self.timeout).await,
                }
            })
            .buffered(PARALLEL_CALLS)
            .collect()
            .await
    }
}

async fn ask_one<T: DeserializeOwned>(url: &str, timeout: Duration) -> Result<T, String> {
    let answer = http::Client::new(url, timeout)
        .get()
        .await
        .map_err(|error| error.to_string())?;
    codec::decode(&answer).map_err(|error| error.to_string())
}
