//! Digests of requests.

use {rstest::rstest, tamarackdale_core::digest};

#[test]
fn request_that_comes_again_has_the_same_digest() {
    let first = digest::request("o", "POST", "/a?b=1", b"body");

    assert_eq!(digest::request("o", "POST", "/a?b=1", b"body"), first);
}

#[rstest]
#[case::caller("p", "POST", "/a", b"body")]
#[case::method("o", "PUT", "/a", b"body")]
#[case::path("o", "POST", "/b", b"body")]
#[case::body("o", "POST", "/a", b"other")]
#[case::moved_boundary("oP", "OST", "/a", b"body")]
#[case::empty("", "", "", b"")]
fn another_request_has_another_digest(
    #[case] caller: &str,
    #[case] method: &str,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let known = digest::request("o", "POST", "/a", b"body");

    assert_ne!(digest::request(caller, method, target, body), known);
}
