//! Keys of the key-value service.

/// Prefix of all service documents.
pub const DOCUMENTS: &str = "tamarackdale/documents/";

/// Key of a service's document.
pub fn document(service: &str) -> String {
    format!("{DOCUMENTS}{service}")
}

/// The service whose document a key holds.
pub fn service_of(key: &str) -> Option<&str> {
    key.strip_prefix(DOCUMENTS)
        .filter(|service| !service.is_empty())
}
