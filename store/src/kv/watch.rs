//! Watches.

use {
    super::{
        Entry, Error,
        message::{WatchMessage, WatchRequest},
    },
    crate::http,
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::collections::VecDeque,
};

/// One thing told by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
    /// Everything up to this revision has been told.
    Progress {
        /// The revision.
        revision: i64,
    },
}

/// A stream of changes under a prefix, in the order of their revisions.
///
/// It may go silent without an end. The service tells of progress rarely, so an owner compares
/// with a read now and then.
pub struct Watch {
    body: Incoming,
    buffer: Vec<u8>,
    changes: VecDeque<Change>,
}

impl Watch {
    pub(super) async fn open(
        http: &http::Client,
        prefix: &str,
        from_revision: i64,
    ) -> Result<Self, Error> {
        let request = WatchRequest::prefix(prefix, from_revision);
        let body = serde_json::to_vec(&request).map_err(Error::rejected)?;
        Ok(Self {
            body: http.open("/v3/watch", body).await?,
            buffer: Vec::new(),
            changes: VecDeque::new(),
        })
    }

    /// Waits for the next change. Cancelling the wait loses nothing.
    ///
    /// # Errors
    ///
    /// The watch has ended; open another from the last revision seen.
    pub async fn next(&mut self) -> Result<Change, Error> {
        loop {
            if let Some(change) = self.changes.pop_front() {
                return Ok(change);
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| Error::Unavailable("the watch ended".to_owned()))?
                .map_err(|error| Error::Unavailable(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                self.buffer.extend_from_slice(&bytes);
                self.take_messages()?;
            }
        }
    }

    /// Takes all whole messages out of the buffer.
    fn take_messages(&mut self) -> Result<(), Error> {
        let buffer = std::mem::take(&mut self.buffer);
        let mut messages =
            serde_json::Deserializer::from_slice(&buffer).into_iter::<WatchMessage>();
        let mut taken = 0;
        while let Some(message) = messages.next() {
            match message {
                Ok(message) => self.take(message)?,
                Err(error) if error.is_eof() => break,
                Err(error) => return Err(Error::malformed(error)),
            }
            taken = messages.byte_offset();
        }
        self.buffer = buffer[taken..].to_vec();
        Ok(())
    }

    fn take(&mut self, message: WatchMessage) -> Result<(), Error> {
        let response = message.result;
        if response.canceled {
            return Err(Error::Unavailable("the watch was cancelled".to_owned()));
        }
        for event in response.events {
            let (entry, is_deleted) = event.into_entry()?;
            self.changes.push_back(match is_deleted {
                false => Change::Put(entry),
                true => Change::Delete {
                    key: entry.key,
                    revision: entry.revision,
                },
            });
        }
        self.changes.push_back(Change::Progress {
            revision: response.header.revision,
        });
        Ok(())
    }
}
