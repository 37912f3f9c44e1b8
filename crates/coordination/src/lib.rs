//! Coordination of the control machines: epochs decided by Paxos, leader leases, and primary-backup
//! replication, implemented as one pure state machine per machine. The state machine performs no I/O and
//! reads no clock: it takes the current time and the received input as arguments, and returns the messages to
//! send and the changes to make durable.
//!
//! # Main types
//!
//! - [`Coordinator`]: the state machine of one member.
//! - [`Input`], [`Output`]: the inputs of the state machine, and the actions that the caller has to carry
//!   out.
//! - [`Message`]: the messages between members.
//! - [`EpochRecord`]: the configuration of an epoch: primary, replicas and members.
//! - [`DiskImage`], [`DiskChange`]: the content of a member's disk, and a change of it.
//! - [`CoordinatorSettings`], [`CoordinatorStatus`]: settings and status of one member.
//!
//! # Modules
//!
//! | concept | modules |
//! | --- | --- |
//! | deciding the next record (Paxos) | `acceptor`, `proposal`, `proposer`, `record` |
//! | elections and leases | `election`, `lease`, `term` |
//! | replication | `batch`, `log_cache`, `pipeline`, `peer`, `replication` (primary), `replica`, `snapshot`, `replicated_state` |
//! | changes of replicas and members | `reconfiguration`, `join`, `discovery`, `bootstrap` |
//! | disk and network | `disk`, `storage`, `message`, `validate`, `outbox` |
//! | composition | `coordinator_core` (state shared by all roles), `coordinator` (dispatch, records and terms) |
//!
//! # Embedding
//!
//! The caller owns the network, the disk and the clock: it passes received messages to
//! [`Coordinator::handle`], carries out the [`Output`]s, and sends [`Input::Tick`] about every 20 ms. A
//! primary appends with [`Coordinator::append`]. Anything that depends on an append may be released only when
//! [`Coordinator::committed`] has reached the append's sequence and [`Coordinator::may_act`] holds. A cluster
//! of one member:
//!
//! ```
//! use streamusher_coordination::{Coordinator, CoordinatorSettings, DiskImage, Input, Output};
//! use streamusher_protocol::internal::CoreAddress;
//! use streamusher_protocol::store::Write;
//!
//! /// Carries out the outputs. A real program writes the change to its disk and syncs it.
//! fn carry_out(coordinator: &mut Coordinator, now_ms: u64, outputs: Vec<Output>) {
//!     for output in outputs {
//!         if let Output::Persist { ticket, .. } = output {
//!             let outputs = coordinator.handle(now_ms, Input::Persisted { ticket });
//!             carry_out(coordinator, now_ms, outputs);
//!         }
//!     }
//! }
//!
//! let address = CoreAddress { internal: "10.0.0.1:7000".into(), control: "10.0.0.1:8000".into() };
//! let settings = CoordinatorSettings {
//!     address: address.clone(),
//!     bootstrap: true,
//!     seeds: vec![address],
//!     tolerance: 0,
//!     lease_ms: 800,
//!     random_seed: 1,
//! };
//! let mut coordinator = Coordinator::new(settings, DiskImage::default(), 0);
//! let mut now_ms = 0;
//! while !coordinator.may_act(now_ms) {
//!     now_ms += 20;
//!     let outputs = coordinator.handle(now_ms, Input::Tick);
//!     carry_out(&mut coordinator, now_ms, outputs);
//! }
//! let (sequence, outputs) = coordinator.append(now_ms, vec![Write::set("greeting", "\"hello\"")]);
//! carry_out(&mut coordinator, now_ms, outputs);
//! assert_eq!(coordinator.committed(), sequence);
//! ```
//!
//! `examples/embed.rs` runs three machines in virtual time (`cargo run -p streamusher-coordination --example
//! embed`).
//!
//! # Why committed data is safe
//!
//! *Records.* The record of epoch n+1 is decided by single-decree Paxos (Lamport, *Paxos Made Simple*, 2001)
//! among the members of record n. An acceptor sends a response only after the state that the response reports
//! is synced. A machine that lost its disk gets a new id and is not a member until a record names it, so it
//! cannot contradict a promise that it no longer remembers. Proposal numbers contain the number of starts of
//! the proposer's process, which is synced before the process sends anything, so no two proposals share a
//! number.
//!
//! *Batches.* Every replica of record e holds all committed data on its synced disk. By induction: (1) a
//! batch is committed only when all replicas of the record, *and of every record that this primary has
//! proposed and not yet seen decided*, have synced it. (2) The primary names a new replica only when that
//! replica has synced all committed data. (3) A candidate is a replica of record e and proposes only replicas
//! of e; once it has accepted its own proposal it acknowledges nothing from the primary of e, also after a
//! restart ([`WitnessState::candidate`]), so nothing that its proposal does not cover is committed in e. (4)
//! A new primary first brings all replicas to its own state, either with the batches that they lack or with a
//! snapshot, which replaces their state on disk in a single change. Both the old and the new state of a
//! replica hold all committed data, so it does not matter which replica is elected if the primary fails in
//! between, and safety does not depend on comparing positions. Positions only select the candidate with the
//! longest log, which saves snapshots. Data beyond the committed data that the new primary holds may be lost
//! until the first batch of its term is committed; before that the primary may not act. (5) A record has at
//! least `tolerance + 1` replicas, unless an election finds fewer of them alive: then the record keeps all
//! replicas of e, and the new primary replaces the failed ones when enough others are up to date.
//!
//! *One primary.* The primary of record e acts only while all replicas of e, and of its own undecided
//! proposals, have acknowledged a keepalive that was sent less than 0.95 lease durations ago. A replica
//! starts an election one lease duration after its last acknowledgement (or after its start, as it may have
//! forgotten an acknowledgement), and from then on acknowledges nothing from the primary of e. A primary that
//! transfers its leadership stops acting before it proposes the successor. So when a successor is decided,
//! the lease of the former primary has expired. A term belongs to one run of a process: a process that starts
//! with a record that names itself as the primary does not act on that record. It announces the end of its
//! term ([`Message::TermEnded`]), so that no replica has to wait for the lease to expire. A primary that
//! cannot act and receives acknowledgements from less than a majority also steps down and announces it,
//! because its keepalives would keep the others from starting an election.

mod acceptor;
mod batch;
mod bootstrap;
mod coordinator;
mod coordinator_core;
mod discovery;
mod disk;
mod election;
mod events;
mod join;
mod lease;
mod limits;
mod log_cache;
mod message;
mod outbox;
mod peer;
mod pipeline;
mod proposal;
mod proposer;
mod reconfiguration;
mod record;
mod replica;
mod replicated_state;
mod replication;
mod settings;
mod snapshot;
mod status;
mod storage;
mod term;
mod timing;
mod validate;

pub use acceptor::{ProposalNumber, WitnessState};
pub use batch::{Batch, LogPosition};
pub use coordinator::Coordinator;
pub use events::{Input, Output};
pub use message::{KeepaliveAck, Message, SnapshotPart};
pub use record::{DiskId, EpochRecord, Member};
pub use settings::CoordinatorSettings;
pub use status::{CoordinatorStatus, PeerStatus, Role};
pub use storage::{DiskChange, DiskImage, StateMap};
