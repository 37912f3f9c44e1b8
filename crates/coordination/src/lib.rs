//! Epochs, witnesses, leases and primary-backup replication of the core machines, as one pure state machine for each:
//! told the time and what has come in, it answers with what is to be sent and to be made durable.
//!
//! - [`types`]: settings, epochs, what is on disk.
//! - [`events`]: inputs and outputs of the state machine.
//! - [`message`]: what core machines say to each other.
//! - `acceptor`: the witness; promises and accepts proposals of the next record.
//! - `proposal`, `proposer`, `election`: how a record is proposed, and when a replica seeks the primary's place.
//! - `disk`: one change at a time, and what has to wait for it.
//! - `recent`, `copy`: the newest batches, and whole copies of the state in parts.
//! - `peer`, `reign`, `lease`, `replication`, `reconfiguration`: the primary's side.
//! - `backup`: the replica's side.
//! - `sanity`: what messages are not taken.
//! - `bootstrap`, `report`: what an empty disk begins with; what a machine tells of itself.
//!
//! # Embedding
//!
//! The caller owns network, disk and clock: it tells [`Coordinator::handle`] what has come, carries out the [`Output`]s, and
//! ticks it about every 20 ms. A primary appends with [`Coordinator::append`], and tells outside what rests on an append
//! only when `committed` has reached it and `may_act` holds. `examples/embed.rs` is such a caller, whole and in virtual time
//! (`cargo run -p streamusher-coordination --example embed`).
//!
//! # Why committed data is safe
//!
//! *Records.* The record of epoch n+1 is decided by single-decree Paxos among the members of record n. An acceptor's
//! answers are sent only when what they say is synced. A machine that lost its disk has a new id, so it is no member
//! until a record names it, and a forgotten promise can't be given twice. Ballots hold the count of the proposer's starts,
//! which is synced before anything is said, so no two proposals share one.
//!
//! *Batches.* Every replica of record e holds, synced, all that is committed. By induction: (1) a batch is committed only
//! when all replicas of the record, *and of every record that this primary has proposed and not yet seen decided*, have
//! synced it. (2) The primary names a new replica only when that has synced all that is committed. (3) A candidate is a
//! replica of record e and proposes replicas of e only; from its own accept on it acknowledges nothing of e any more,
//! also after a restart (`WitnessState::standing`), so nothing that its proposal does not cover is committed in e. (4) A
//! new primary first brings all replicas to its own state, by the batches that they lack or by a whole copy, which
//! replaces theirs at once on disk. Either state holds all that is committed, so it does not matter which
//! of them is elected when the primary dies in between, and no position needs to be compared for safety. Positions only
//! choose the candidate with the longest history, to save whole copies. What the new primary holds beyond may be lost
//! until the batch that opens its reign is committed; before that it may not act. (5) A record has at least
//! `tolerance + 1` replicas, unless an election finds fewer alive: then it keeps all replicas of e, and
//! the new primary replaces those that are gone when enough others are level.
//!
//! *One primary.* The primary of record e acts only while all replicas of e, and of its own undecided proposals, have
//! acknowledged a keepalive sent less than 0.95 leases ago. A replica stands for election a lease after its last
//! acknowledgement (of its start, as it may have forgotten one), and from then on acknowledges none of e. A
//! primary that hands over stops before it proposes. So when a successor is decided, the lease of the
//! former one is over. A reign belongs to one life of a process: who starts with a record that names
//! itself does not act on it. Such a machine says so (`Vacant`), and nobody needs to wait for its lease. So does a primary that
//! can't act and hears no majority: it gives up its office, as its keepalives would hold the others back.

mod acceptor;
mod backup;
mod bootstrap;
mod coordinator;
mod copy;
mod disk;
mod election;
pub mod events;
mod lease;
pub mod message;
mod peer;
mod proposal;
mod proposer;
mod recent;
mod reconfiguration;
mod reign;
mod replication;
mod report;
mod sanity;
mod times;
pub mod types;

pub use coordinator::Coordinator;
pub use events::{Input, Output};
pub use message::{Batch, Message};
pub use types::*;
