//! Input and output types of the decision module ([`crate::Balancer`]): identifiers, settings, events and
//! actions. They contain no decision logic.
//!
//! Times are microseconds of a monotonic clock that the embedder chooses. Identifiers are small numbers that
//! the embedder assigns **per dispatcher**, in the order in which that dispatcher first encounters an object.

mod action;
mod attempt;
mod class;
mod endpoint;
mod event;
mod ids;
mod load_report;
mod request;
mod settings;

pub use action::Action;
pub use attempt::{AttemptEnd, AttemptOutcome};
pub use class::{Class, DeduplicationScope, Repeatability};
pub use endpoint::{Endpoint, EndpointState};
pub use event::Event;
pub use ids::{ClassId, JobId, KindId, Micros, TenantId, WorkerId, ZoneId};
pub use load_report::LoadReport;
pub use request::Request;
pub use settings::{Settings, Tenant, WeightMeaning};
