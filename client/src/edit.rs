//! Compare-and-swap of a document, with the search for an edit whose answer was lost.

use {
    crate::{
        header::{self, Headed},
        retry,
    },
    tamarackdale_store::{
        key,
        kv::{self, Entry, Swap},
    },
};

/// An edit to be written.
pub struct Edit {
    /// Key of the document.
    key: String,
    /// Revision that it was edited from; 0 for a new document.
    expected: i64,
    /// Random name of this edit.
    name: String,
    /// Name of the last edit before this one, if that was made by this client.
    base: Option<String>,
    /// Text for the store.
    text: String,
}

/// What came of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in the store.
    Written {
        /// The revision of the present version.
        revision: i64,
        /// Whether a later edit, made from this one, has already replaced it.
        superseded: bool,
    },
    /// Another edit came first; this one was not written and never will be.
    Conflict(Option<Entry>),
    /// Not written, since the store is unavailable.
    Unavailable(String),
    /// Not written, since the store refused it.
    Refused(String),
    /// It may have been written, or may still be.
    Unknown(String),
}

impl Edit {
    /// An edit of the document `new`, made from `present`.
    pub fn new(service: &str, new: &Headed, present: Option<&Entry>) -> Self {
        let edits = present.map_or_else(Vec::new, edits);
        let name = header::draw_edit();
        Self {
            key: key::document(service),
            expected: present.map_or(0, |entry| entry.revision),
            text: new.for_store(&name, &edits),
            base: edits.into_iter().next(),
            name,
        }
    }

    /// The text for the store.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Writes the edit, with bounded repetitions. Repeating is safe: the swap can take effect only
    /// once, and a repetition that comes second finds the edit's own name.
    pub async fn write(&self, client: &kv::Client) -> Verdict {
        let mut lost = None;
        let mut last = String::new();
        for attempt in 0..retry::ATTEMPTS {
            if attempt > 0 {
                retry::pause(attempt - 1).await;
            }
            let swap = client.swap(&self.key, self.text.as_bytes(), self.expected, None);
            match swap.await {
                Ok(Swap::Done { revision }) => {
                    return Verdict::Written {
                        revision,
                        superseded: false,
                    };
                }
                Ok(Swap::Conflict(present)) => return self.judge(present, lost.is_some()),
                Err(kv::Error::Unavailable(text)) => last = text,
                Err(kv::Error::Unknown(text)) => lost = Some(text),
                Err(kv::Error::Rejected(text)) if lost.is_none() => return Verdict::Refused(text),
                Err(kv::Error::Rejected(text)) => return Verdict::Unknown(text),
            }
        }
        match lost {
            None => Verdict::Unavailable(last),
            Some(text) => self.read_back(client, text).await,
        }
    }

    /// Looks for the edit after its last answer was lost.
    async fn read_back(&self, client: &kv::Client, text: String) -> Verdict {
        match retry::read(|| client.get(&self.key)).await {
            Ok(present) if revision_of(present.as_ref()) == self.expected => Verdict::Unknown(
                format!("{text}; it is not there yet, but a late call may still write it"),
            ),
            Ok(present) => self.judge(present, true),
            Err(error) => Verdict::Unknown(error.to_string()),
        }
    }

    /// Judges a version at another revision than the expected one.
    fn judge(&self, present: Option<Entry>, may_be_written: bool) -> Verdict {
        let edits = present.as_ref().map_or_else(Vec::new, edits);
        if let Some(position) = edits.iter().position(|edit| *edit == self.name) {
            return Verdict::Written {
                revision: revision_of(present.as_ref()),
                superseded: position > 0,
            };
        }
        // Every client's edit carries the names before it, so one made after this edit would name
        // it, unless the chain is cut.
        let is_chain_whole = self.base.as_ref().is_some_and(|base| edits.contains(base));
        if may_be_written && !is_chain_whole {
            let text = "another version is there, which does not tell what preceded it";
            return Verdict::Unknown(text.to_owned());
        }
        Verdict::Conflict(present)
    }
}

fn edits(entry: &Entry) -> Vec<String> {
    Headed::new(&String::from_utf8_lossy(&entry.value)).edits
}

fn revision_of(entry: Option<&Entry>) -> i64 {
    entry.map_or(0, |entry| entry.revision)
}
