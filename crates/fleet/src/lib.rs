//! What the dispatchers of one fleet share, as pure state machines: told the time and what has come in, they answer
//! with what is to be sent. They open no socket, read no clock, and draw random numbers from a seed.
//!
//! - [`members`]: who is there, by name and life (SWIM with suspicion, the `foca` crate).
//! - [`counts`]: counters that only a life itself raises; merged in any order they converge at every member.
//! - [`rights`]: a budget over the whole fleet, divided into rights that are held, lent and leased.
//! - [`purse`]: where the data path spends rights, with one atomic exchange.
//! - [`judge`]: what members say of core workers, and when they are believed.
//! - [`frame`]: what goes over the wire, under a MAC.
//! - [`node`]: one member, all of these together.
//!
//! The bounds and how they are proved stand in `docs/design/shared-state.md`.

pub mod counts;
pub mod frame;
mod gossip;
pub mod judge;
pub mod life;
pub mod members;
pub mod node;
pub mod purse;
pub mod rights;
pub mod show;
pub mod tally;
pub mod units;

pub use life::{Life, Micros};
