//! Coordination of the control machines: epochs decided by Paxos, leader leases, and primary-backup replication, as one pure
//! state machine for each machine. It does no input or output and reads no clock: it takes the current time and what was
//! received as arguments, and returns what is to be sent and to be made durable.
//!
//! # Main types
//!
//! - [`Coordinator`]: the state machine of one member.
//! - [`Input`], [`Output`]: what it takes and what the caller has to carry out.
//! - [`Message`]: what members send to each other.
//! - [`EpochRecord`]: the configuration of an epoch: primary, replicas and members.
//! - [`DiskImage`], [`DiskChange`]: what is on disk, and how it changes.
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
//! | the whole | `coordinator_core` (what all roles share), `coordinator` (dispatch, records and terms) |
//!
//! # Embedding
//!
//! The caller owns network, disk and clock: it passes what was received to [`Coordinator::handle`], carries out the
//! [`Output`]s, and ticks it about every 20 ms. A primary appends with [`Coordinator::append`], and releases what rests on
//! an append only when [`Coordinator::committed`] has reached it and [`Coordinator::may_act`] holds. A cluster of one:
//!
//! ```
//! use streamusher_coordination::{Coordinator, CoordinatorSettings, DiskImage, Input, Output};
//! use streamusher_protocol::internal::CoreAddress;
//! use streamusher_protocol::store::Write;
//!
//! /// Carries out the outputs. A real program would write the change to its disk and sync it.
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
//! `examples/embed.rs` is a caller for three machines in virtual time
//! (`cargo run -p streamusher-coordination --example embed`).
//!
//! # Why committed data is safe
//!
//! *Records.* The record of epoch n+1 is decided by single-decree Paxos (Lamport, *Paxos Made Simple*, 2001) among the
//! members of record n. An acceptor's responses are sent only when what they say is synced. A machine that lost its disk has a
//! new id, so it is no member until a record names it, and a forgotten promise cannot be given twice. Proposal numbers hold
//! the count of the proposer's starts, which is synced before anything is sent, so no two proposals share one.
//!
//! *Batches.* Every replica of record e holds, synced, all that is committed. By induction: (1) a batch is committed only
//! when all replicas of the record, *and of every record that this primary has proposed and not yet seen decided*, have
//! synced it. (2) The primary names a new replica only when that has synced all that is committed. (3) A candidate is a
//! replica of record e and proposes replicas of e only; from its own accept on it acknowledges nothing of e any more,
//! also after a restart ([`WitnessState::candidate`]), so nothing that its proposal does not cover is committed in e. (4) A
//! new primary first brings all replicas to its own state, by the batches that they lack or by a snapshot, which
//! replaces theirs at once on disk. Either state holds all that is committed, so it does not matter which
//! of them is elected when the primary dies in between, and no position needs to be compared for safety. Positions only
//! choose the candidate with the longest log, to save snapshots. What the new primary holds beyond may be lost
//! until the batch that opens its term is committed; before that it may not act. (5) A record has at least
//! `tolerance + 1` replicas, unless an election finds fewer alive: then it keeps all replicas of e, and
//! the new primary replaces those that are gone when enough others are up to date.
//!
//! *One primary.* The primary of record e acts only while all replicas of e, and of its own undecided proposals, have
//! acknowledged a keepalive sent less than 0.95 leases ago. A replica stands for election a lease after its last
//! acknowledgement (or after its start, as it may have forgotten one), and from then on acknowledges none of e. A
//! primary that transfers its leadership stops before it proposes. So when a successor is decided, the lease of the
//! former one is over. A term belongs to one life of a process: a process that starts with a record that names
//! itself does not act on it. It says so ([`Message::TermEnded`]), and nobody needs to wait for its lease. So does a primary
//! that cannot act and hears no majority: it steps down, as its keepalives would keep the others from an election.

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
