//! A digest of everything that the processes of a fleet send, respond and store, which shows that two
//! versions of the code make the same decisions and encode them identically.

use super::event::Event;
use super::rpc_message::{CallId, RpcOutcome, RpcRequest};
use crate::network::MachineId;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_coordination::DiskChange;
use streamusher_protocol::Millis;
use streamusher_scheduler::{OperatorRequestKind, OperatorResponse};

/// Number of digest bytes that `shown` returns.
const SHOWN_BYTES: usize = 8;

/// The kinds of entries. Their numbers are part of the recorded digests.
#[derive(Clone, Copy)]
enum EntryKind {
    ClientRequest = 1,
    AgentSync = 2,
    OperatorRequest = 3,
    AgentOutcome = 10,
    ClientOutcome = 11,
    OperatorOutcome = 12,
    ViewOutcome = 13,
    NotPrimaryOutcome = 14,
    UnknownOutcome = 15,
    RefusedOutcome = 16,
    BrokenOutcome = 17,
    TimedOutOutcome = 18,
    ControlMessage = 20,
    Heartbeat = 21,
    HeartbeatResponse = 22,
    Deregistration = 23,
    DiskChange = 30,
}

/// A running digest of times and encoded messages. It covers only numbers and encoded forms, never
/// identifiers of the code.
#[derive(Clone, Debug, Default)]
pub struct TrafficDigest {
    hasher: Sha256,
    /// Number of messages and disk changes added so far.
    pub entries: u64,
}

impl TrafficDigest {
    /// The first bytes of the digest so far, in hexadecimal.
    pub fn shown(&self) -> String {
        let digest = self.hasher.clone().finalize();
        let mut shown = String::new();
        for byte in &digest[..SHOWN_BYTES] {
            // Writing to a string cannot fail.
            let _ = write!(shown, "{byte:02x}");
        }
        shown
    }

    /// Adds one encoded message. `party` is the number of the sender, receiver or call.
    fn add<T: Serialize>(&mut self, now: Millis, kind: EntryKind, party: u64, message: &T) {
        let encoded = serde_json::to_vec(message).unwrap_or_default();
        self.hasher.update(now.to_be_bytes());
        self.hasher.update([kind as u8]);
        self.hasher.update(party.to_be_bytes());
        self.hasher.update((encoded.len() as u64).to_be_bytes());
        self.hasher.update(&encoded);
        self.entries += 1;
    }

    fn add_request(&mut self, now: Millis, receiver: MachineId, request: &ControlRequest) {
        let receiver = receiver as u64;
        match request {
            ControlRequest::Client(request) => {
                self.add(now, EntryKind::ClientRequest, receiver, request);
            }
            ControlRequest::Agent(sync) => self.add(now, EntryKind::AgentSync, receiver, sync),
            ControlRequest::Operator(request) => {
                let kind = match request.kind {
                    OperatorRequestKind::Replace => 0,
                    OperatorRequestKind::Update => 1,
                    OperatorRequestKind::Read => 2,
                };
                let fields = (kind, request.base, &request.body);
                self.add(now, EntryKind::OperatorRequest, receiver, &fields);
            }
        }
    }

    fn add_outcome(&mut self, now: Millis, call: CallId, outcome: &RpcOutcome) {
        match outcome {
            RpcOutcome::Agent(commands) => {
                self.add(now, EntryKind::AgentOutcome, call, &**commands);
            }
            RpcOutcome::Client(response) => self.add(now, EntryKind::ClientOutcome, call, response),
            RpcOutcome::Operator(OperatorResponse { status, body }) => {
                self.add(now, EntryKind::OperatorOutcome, call, &(status, body));
            }
            RpcOutcome::View(view) => self.add(now, EntryKind::ViewOutcome, call, view),
            RpcOutcome::NotPrimary(view) => self.add(now, EntryKind::NotPrimaryOutcome, call, view),
            RpcOutcome::Unknown => self.add(now, EntryKind::UnknownOutcome, call, &()),
            RpcOutcome::ConnectionRefused => self.add(now, EntryKind::RefusedOutcome, call, &()),
            RpcOutcome::ConnectionBroken => self.add(now, EntryKind::BrokenOutcome, call, &()),
            RpcOutcome::TimedOut => self.add(now, EntryKind::TimedOutOutcome, call, &()),
        }
    }

    /// Adds the message that an event delivers, if any. To be called before the event is processed.
    pub(crate) fn add_event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::ControlMessage {
                receiver, message, ..
            } => self.add(now, EntryKind::ControlMessage, *receiver as u64, message),
            Event::CallArrives {
                receiver,
                request: RpcRequest::Primary(request),
                ..
            }
            | Event::CallCopyArrives {
                receiver,
                request: RpcRequest::Primary(request),
                ..
            } => self.add_request(now, *receiver, request),
            Event::CallReturns { call, outcome } => self.add_outcome(now, *call, outcome),
            Event::Heartbeat {
                worker, heartbeat, ..
            } => self.add(now, EntryKind::Heartbeat, *worker as u64, &**heartbeat),
            Event::HeartbeatResponse {
                worker, response, ..
            } => self.add(
                now,
                EntryKind::HeartbeatResponse,
                *worker as u64,
                &**response,
            ),
            Event::Deregister {
                worker, instance, ..
            } => self.add(now, EntryKind::Deregistration, *worker as u64, instance),
            _ => {}
        }
    }

    /// Adds a change of a machine's disk.
    pub(crate) fn add_disk_change(&mut self, now: Millis, machine: MachineId, change: &DiskChange) {
        let DiskChange {
            witness,
            position,
            writes,
            replace_all,
        } = change;
        let fields = (witness, position, writes, replace_all);
        self.add(now, EntryKind::DiskChange, machine as u64, &fields);
    }
}
