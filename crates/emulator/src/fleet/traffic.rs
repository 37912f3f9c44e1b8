//! A digest of everything that the processes of a fleet send, answer and store, to show that two versions of the code
//! decide the same and encode it the same.

use super::calls::{Asked, Outcome};
use super::event::Event;
use super::Fleet;
use crate::network::MachineId;
use serde::Serialize;
use sha2::{Digest, Sha256};
use streamusher_controlplane::driver::ControlRequest;
use streamusher_coordination::DiskChange;
use streamusher_protocol::Millis;
use streamusher_scheduler::{OperatorRequestKind, OperatorResponse};

/// Bytes of the digest that are shown.
const SHOWN_BYTES: usize = 8;

/// A running digest of times and encoded messages. Only numbers and encoded forms go in, never names of the code.
#[derive(Clone, Debug, Default)]
pub struct TrafficDigest {
    hasher: Sha256,
    /// Messages and disk changes counted so far.
    pub entries: u64,
}

impl TrafficDigest {
    /// The digest so far, in hexadecimal.
    pub fn shown(&self) -> String {
        let digest = self.hasher.clone().finalize();
        digest[..SHOWN_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Adds one encoded message of a kind, sent to or from a numbered party.
    fn add<T: Serialize>(&mut self, now: Millis, kind: u8, party: u64, message: &T) {
        let encoded = serde_json::to_vec(message).unwrap_or_default();
        self.hasher.update(now.to_be_bytes());
        self.hasher.update([kind]);
        self.hasher.update(party.to_be_bytes());
        self.hasher.update((encoded.len() as u64).to_be_bytes());
        self.hasher.update(&encoded);
        self.entries += 1;
    }

    fn add_call(&mut self, now: Millis, to: MachineId, call: &ControlRequest) {
        let to = to as u64;
        match call {
            ControlRequest::Client(call) => self.add(now, 1, to, call),
            ControlRequest::Agent(sync) => self.add(now, 2, to, sync),
            ControlRequest::Operator(order) => {
                let kind = match order.kind {
                    OperatorRequestKind::Replace => 0,
                    OperatorRequestKind::Update => 1,
                    OperatorRequestKind::Read => 2,
                };
                self.add(now, 3, to, &(kind, order.base, &order.body));
            }
        }
    }

    fn add_outcome(&mut self, now: Millis, call: u64, outcome: &Outcome) {
        match outcome {
            Outcome::Orders(orders) => self.add(now, 10, call, &**orders),
            Outcome::Client(reply) => self.add(now, 11, call, reply),
            Outcome::Operator(OperatorResponse { status, body }) => {
                self.add(now, 12, call, &(status, body))
            }
            Outcome::View(view) => self.add(now, 13, call, view),
            Outcome::NotPrimary(view) => self.add(now, 14, call, view),
            Outcome::Unknown => self.add(now, 15, call, &()),
            Outcome::Refused => self.add(now, 16, call, &()),
            Outcome::Broken => self.add(now, 17, call, &()),
            Outcome::Silence => self.add(now, 18, call, &()),
        }
    }

    fn add_event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::Core { to, message, .. } => self.add(now, 20, *to as u64, message),
            Event::Request {
                to,
                asked: Asked::Primary(call),
                ..
            }
            | Event::LateCopy {
                to,
                asked: Asked::Primary(call),
                ..
            } => self.add_call(now, *to, call),
            Event::Response { call, outcome } => self.add_outcome(now, *call, outcome),
            Event::Heartbeat {
                worker, heartbeat, ..
            } => self.add(now, 21, *worker as u64, &**heartbeat),
            Event::HeartbeatAnswer { worker, answer, .. } => {
                self.add(now, 22, *worker as u64, &**answer)
            }
            Event::Deregister {
                worker, instance, ..
            } => self.add(now, 23, *worker as u64, instance),
            _ => {}
        }
    }
}

impl Fleet {
    /// Adds an event that is about to happen to the digest, where one is kept.
    pub(crate) fn digest_event(&mut self, event: &Event) {
        let now = self.now;
        if let Some(digest) = &mut self.traffic {
            digest.add_event(now, event);
        }
    }

    /// Adds a change of a machine's disk to the digest, where one is kept.
    pub(crate) fn digest_disk_change(&mut self, machine: MachineId, change: &DiskChange) {
        let now = self.now;
        if let Some(digest) = &mut self.traffic {
            let DiskChange {
                witness,
                position,
                writes,
                replace_all,
            } = change;
            digest.add(
                now,
                30,
                machine as u64,
                &(witness, position, writes, replace_all),
            );
        }
    }
}
