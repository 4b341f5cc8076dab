//! Watches on a prefix of keys.

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

/// Longest message of a watch, in bytes. An entry has at most about 1 MB, which base64 makes a third longer. After
/// a longer one, the watch is opened again behind a read.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// One item of a watch's stream.
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
    /// All changes up to this revision have been delivered.
    Progress {
        /// The revision.
        revision: i64,
    },
}

/// Stream of the changes to the keys under a prefix, in the order of their revisions.
///
/// The stream may stall without ending. The store sends progress notifications rarely, so the owner
/// of a watch has to compare it with a read from time to time.
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

    /// Waits for the next change. It is cancel-safe: dropping the future loses no change.
    ///
    /// # Errors
    ///
    /// Fails if the watch has ended. Open another from the last revision received.
    pub async fn next(&mut self) -> Result<Change, Error> {
        loop {
            if let Some(change) = self.changes.pop_front() {
                return Ok(change);
            }
            let frame = self
                .body
                .frame()
                .await
                .ok_or_else(|| Error::Unavailable("watch stream ended".to_owned()))?
                .map_err(|error| Error::Unavailable(error.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                self.buffer.extend_from_slice(&bytes);
                // A message is an object. Decoding begins anew with each part of an incomplete one.
                if bytes.contains(&b'}') {
                    self.decode_messages()?;
                }
                if self.buffer.len() > MAX_MESSAGE_BYTES {
                    return Err(Error::Unavailable(format!(
                        "a message of the watch is longer than {MAX_MESSAGE_BYTES} bytes"
                    )));
                }
            }
        }
    }

    /// Decodes all complete messages of the buffer and leaves the rest in it.
    fn decode_messages(&mut self) -> Result<(), Error> {
        let buffer = std::mem::take(&mut self.buffer);
        let mut messages =
            serde_json::Deserializer::from_slice(&buffer).into_iter::<WatchMessage>();
        let mut consumed = 0;
        while let Some(message) = messages.next() {
            match message {
                Ok(message) => self.queue_changes(message)?,
                Err(error) if error.is_eof() => break,
                Err(error) => return Err(Error::malformed(error)),
            }
            consumed = messages.byte_offset();
        }
        self.buffer = buffer[consumed..].to_vec();
        Ok(())
    }

    fn queue_changes(&mut self, message: WatchMessage) -> Result<(), Error> {
        let response = message.result;
        if response.canceled {
            return Err(Error::Unavailable(
                "watch was cancelled by the store".to_owned(),
            ));
        }
        for event in response.events {
            let (entry, is_deleted) = event.into_entry();
            self.changes.push_back(match is_deleted {
                false => Change::Put(entry),
                true => Change::Delete {
                    key: entry.key,
                    revision: entry.revision,
                },
            });
        }
        // The confirmation of a new watch has the store's current revision, but comes before the
        // changes up to it.
        if !response.created {
            self.changes.push_back(Change::Progress {
                revision: response.header.revision,
            });
        }
        Ok(())
    }
}
