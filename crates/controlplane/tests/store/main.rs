//! Tests of the store on disk: synced changes persist, a torn change is dropped as a whole, and damage is
//! reported.

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
