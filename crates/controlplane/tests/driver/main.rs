//! Tests of the release of responses: none is released before its commit or without a lease, and interrupted
//! requests get a correct outcome.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod deferral;
mod fixture;
mod not_primary;
mod recovery;
mod release;
mod stepping_down;
