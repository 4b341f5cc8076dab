//! Compare-and-swap of a document, which finds out whether a write took effect if the response to
//! it is lost.

use {
    crate::{
        header::{self, AnnotatedDocument},
        retry,
    },
    tamarackdale_store::{
        key,
        kv::{self, Entry, Swap},
    },
};

/// A new version of a document, to be written to the store.
pub struct Edit {
    /// Store key of the document.
    key: String,
    /// Revision that the document was edited from; 0 for a new document.
    expected: i64,
    /// Random ID of this edit.
    id: String,
    /// ID of the preceding edit, if that was made with this client.
    parent_id: Option<String>,
    /// Text to be stored, header included.
    text: String,
}

/// Result of writing an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The edit took effect.
    Written {
        /// Revision of the document's current version.
        revision: i64,
        /// Whether a later edit that is based on this one has already replaced it.
        superseded: bool,
    },
    /// The document is not at the expected revision. The edit was not written and never will be.
    /// Holds the current version, if there is one.
    Conflict(Option<Entry>),
    /// The edit was not written, since the store is unavailable.
    Unavailable(String),
    /// The edit was not written, since the store rejected it.
    Rejected(String),
    /// The edit may have been written, or may be written by a call that is still in progress.
    Unknown(String),
}

impl Edit {
    /// An edit that replaces the version `current`, if there is one, by the document `new`.
    pub fn new(service: &str, new: &AnnotatedDocument, current: Option<&Entry>) -> Self {
        let earlier_ids = current.map_or_else(Vec::new, edit_ids);
        let id = header::generate_edit_id();
        Self {
            key: key::document(service),
            expected: current.map_or(0, |entry| entry.revision),
            text: new.for_store(&id, &earlier_ids),
            parent_id: earlier_ids.into_iter().next(),
            id,
        }
    }

    /// The text to be stored, header included.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Writes the edit, with bounded retries. Retrying is safe: the swap can take effect only once,
    /// and a retry after a swap that took effect finds the ID of this edit in the stored header.
    pub async fn write(&self, client: &kv::Client) -> WriteResult {
        let mut lost_response = None;
        let mut last_error = String::new();
        for attempt in 0..retry::MAX_ATTEMPTS {
            if attempt > 0 {
                retry::back_off(attempt - 1).await;
            }
            let swap = client.swap(&self.key, self.text.as_bytes(), self.expected, None);
            match swap.await {
                Ok(Swap::Done { revision }) => {
                    return WriteResult::Written {
                        revision,
                        superseded: false,
                    };
                }
                Ok(Swap::Conflict(current)) => {
                    return self.classify(current, lost_response.is_some());
                }
                Err(kv::Error::Unavailable(text)) => last_error = text,
                Err(kv::Error::Unknown(text)) => lost_response = Some(text),
                Err(kv::Error::Rejected(text)) if lost_response.is_none() => {
                    return WriteResult::Rejected(text);
                }
                Err(kv::Error::Rejected(text)) => return WriteResult::Unknown(text),
            }
        }
        match lost_response {
            None => WriteResult::Unavailable(last_error),
            Some(text) => self.read_back(client, text).await,
        }
    }

    /// Reads the document to find out whether the edit was written, after all retries failed and at
    /// least one response was lost.
    async fn read_back(&self, client: &kv::Client, text: String) -> WriteResult {
        match retry::read(|| client.get(&self.key)).await {
            Ok(current) if revision_of(current.as_ref()) == self.expected => {
                WriteResult::Unknown(format!(
                    "{text}; the edit is not in the store yet, but a delayed call may write it"
                ))
            }
            Ok(current) => self.classify(current, true),
            Err(error) => WriteResult::Unknown(error.to_string()),
        }
    }

    /// Tells from the current version, which is not at the expected revision, whether the edit was
    /// written. `may_be_written` is whether the response to any write was lost.
    fn classify(&self, current: Option<Entry>, may_be_written: bool) -> WriteResult {
        let edit_ids = current.as_ref().map_or_else(Vec::new, edit_ids);
        if let Some(position) = edit_ids.iter().position(|id| *id == self.id) {
            return WriteResult::Written {
                revision: revision_of(current.as_ref()),
                superseded: position > 0,
            };
        }
        // Every edit by this client lists the IDs of the edits before it. If the parent of this
        // edit is listed and this edit is not, then it was never written. If the parent is missing,
        // too, the list does not reach back far enough to tell, such as after a write by another
        // tool.
        let has_parent = self
            .parent_id
            .as_ref()
            .is_some_and(|parent| edit_ids.contains(parent));
        if may_be_written && !has_parent {
            let text = "the store holds another version, which does not list the edits before it";
            return WriteResult::Unknown(text.to_owned());
        }
        WriteResult::Conflict(current)
    }
}

fn edit_ids(entry: &Entry) -> Vec<String> {
    AnnotatedDocument::parse(&String::from_utf8_lossy(&entry.value)).edit_ids
}

fn revision_of(entry: Option<&Entry>) -> i64 {
    entry.map_or(0, |entry| entry.revision)
}
