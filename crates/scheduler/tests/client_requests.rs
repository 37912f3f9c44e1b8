//! Tests of the responses to invalid client requests.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use streamusher_protocol::internal::ClientMethod;
use support::{TestCluster, JOB};

#[test]
fn invalid_requests_are_answered_with_the_error() {
    let mut cluster = TestCluster::new();
    assert_eq!(
        cluster.request(ClientMethod::Get, "/nowhere/", "").status,
        404
    );
    assert_eq!(
        cluster
            .request(ClientMethod::Get, &format!("/q/{JOB}"), "")
            .status,
        410
    );
    assert_eq!(
        cluster.request(ClientMethod::Post, "/q/xyz", "{}").status,
        400
    );
    assert_eq!(
        cluster
            .request(ClientMethod::Post, &format!("/q/{JOB}"), "{\"steps\":")
            .status,
        400
    );
    assert_eq!(
        cluster.request(ClientMethod::Get, "/q/", "").body.as_ref(),
        r#"{"waiting":0}"#
    );
}
