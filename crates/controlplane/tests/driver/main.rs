//! The rule of release: nothing leaves before its commit or without a lease, and interrupted requests get a truthful outcome.

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
