//! Finding and following the control plane's primary.

mod finder;
mod link;

pub use finder::CoreFinder;
pub use link::{CoreLink, Outcome, Target};
