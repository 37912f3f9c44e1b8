//! Task placement: assigns tasks to workers by capacity, queue copies, ranking, gang scheduling and
//! preemption.
//!
//! This is the scheduler's decision core; the primary of the control plane runs it. It does no I/O, takes the
//! current time as an argument and draws random numbers from a seeded generator, so the same events produce
//! the same decisions.
//!
//! The caller reports events to [`Placement`] (workers that join, change or leave, units that are ready to be
//! placed, runs that end) and carries out the [`Decision`]s that [`Placement::place`] returns.
//! `docs/design/placement.md` describes the algorithm.
//!
//! ```
//! use streamusher_placement::{Decision, Placement, PlacementSettings, Policy, WorkerInfo};
//! use streamusher_protocol::heartbeat::Resources;
//! use streamusher_protocol::task::TaskId;
//! use streamusher_protocol::unit::{Unit, UnitId};
//!
//! let mut placement = Placement::new(PlacementSettings {
//!     random_seed: 1,
//!     remote_slowdown: 1.5,
//!     max_stop_ms: 900,
//!     checkpoint_restore_ms: 100,
//!     policy: Policy::default(),
//! });
//! let size = |cpu| Resources { cpu, mem_mb: cpu, gpu: 0 };
//! placement.update_worker(0, WorkerInfo {
//!     id: "worker-1".into(),
//!     service: "render".into(),
//!     zone: "zone-a".into(),
//!     labels: vec!["standard".into(), "rack-1".into()],
//!     capacity: size(4_000),
//!     schedulable: true,
//! });
//! let task: TaskId = "00000000000000a1.0.0.0".parse()?;
//! let unit = UnitId::of_task(&task);
//! placement.enqueue(0, Unit {
//!     id: unit.clone(),
//!     tasks: vec![task],
//!     resources: size(1_000),
//!     service: "render".into(),
//!     queue: "default".into(),
//!     priority: 1,
//!     order: 0,
//!     slack_ms: 1_000,
//!     node_selector: None,
//!     affinity: None,
//!     anti_affinity: 0,
//!     same_rack: false,
//!     estimated_ms: 500,
//!     checkpoints: false,
//!     long_running: false,
//!     hedged: false,
//!     speculative: false,
//!     avoid: Vec::new(),
//! });
//!
//! let decisions = placement.place(0);
//! assert!(matches!(&decisions[..], [Decision::Start { unit: started, .. }] if *started == unit));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Modules
//!
//! Each layer depends only on the layers listed above it.
//!
//! - Value types: `settings`, `policy`, `worker_info`, `allocation`, `decision`, `wait_reason`, `index`,
//!   `resource_vector`, `decay`.
//! - Statistics learned from past runs and demand: `penalty`, `run_time`, `step_run_times`, `headroom`.
//! - State: `run`, `reservation`, `capacity`, `worker`, `worker_table`, `worker_pool`, `service`,
//!   `wait_history`, `pending_unit`, `queue`; `cluster` owns all of it and keeps it consistent.
//! - Read-only queries about one pending unit, through a `unit_view`: `eligibility` (filter), `run_estimate`,
//!   `wait_escalation`, `admission`, `ranking` (score), `gang_fit` (bin packing with preemption).
//! - Steps of one scheduling `cycle`, which make decisions: `candidates`, `queue_copies`, `claim`,
//!   `wait_diagnosis`, `retry`, `capacity_search`, `single_task`, `gang_groups`, `gang`; `scheduling` runs
//!   them in order.
//! - Event handlers: `worker_lifecycle`, `feedback`, `reorder`, `explain`; `placement` is the entry point.

mod admission;
mod allocation;
mod candidates;
mod capacity;
mod capacity_search;
mod claim;
mod cluster;
mod cycle;
mod decay;
mod decision;
mod eligibility;
mod explain;
mod feedback;
mod gang;
mod gang_fit;
mod gang_groups;
mod headroom;
mod index;
mod penalty;
mod pending_unit;
mod placement;
mod policy;
mod queue;
mod queue_copies;
mod ranking;
mod reorder;
mod reservation;
mod resource_vector;
mod retry;
mod retry_pacer;
mod run;
mod run_estimate;
mod run_time;
mod scheduling;
mod service;
mod settings;
mod single_task;
mod step_run_times;
mod unit_view;
mod wait_diagnosis;
mod wait_escalation;
mod wait_history;
mod wait_reason;
mod worker;
mod worker_info;
mod worker_lifecycle;
mod worker_pool;
mod worker_table;

pub use allocation::{Allocation, ReleaseReason};
pub use decision::{Decision, TimeWaited};
pub use placement::Placement;
pub use policy::{Mechanism, Policy};
pub use settings::PlacementSettings;
pub use streamusher_protocol::unit::TaskAssignment;
pub use wait_reason::{WaitExplanation, WaitReason};
pub use worker_info::{WorkerInfo, WorkerStatus};
