//! The store on disk: what is synced stays, what is torn is dropped as a whole, what is damaged is reported.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod compaction;
mod content;
mod damage;
mod fixture;
mod power_loss;
#[path = "../support/mod.rs"]
mod support;
