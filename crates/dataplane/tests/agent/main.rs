//! Tests of the agent's state machine in virtual time.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod commands;
mod hold;
mod leases;
mod long_poll;
mod presence;
mod simulation;
mod syncs;
