//! Names of the keys in the key-value store.

/// Prefix of all service documents.
pub const DOCUMENTS: &str = "tamarackdale/documents/";

/// Key of a service's document.
pub fn document(service: &str) -> String {
    format!("{DOCUMENTS}{service}")
}

/// The service whose document is stored under `key`, or `None` if it is not a document's key.
pub fn service_of(key: &str) -> Option<&str> {
    key.strip_prefix(DOCUMENTS)
        .filter(|service| !service.is_empty())
}
