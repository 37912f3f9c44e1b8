//! Datagrams that wait to be sent, and the limits of what fits into one.

use crate::datagram::{Datagram, DatagramBody, DatagramCodec, MAX_DATAGRAM_BYTES};
use crate::membership::Member;
use crate::usage_counters::{Delta, VersionSummary};
use serde::Serialize;
use std::net::SocketAddr;

/// Bytes of a datagram that its body may have, beside the header and the sender.
const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - 200;

/// An encoded datagram, and where it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Datagrams that wait to be sent.
pub(crate) struct Outbox {
    codec: DatagramCodec,
    waiting: Vec<OutboundDatagram>,
    sent_bytes: u64,
    sent_datagrams: u64,
}

impl Outbox {
    pub(crate) fn new(codec: DatagramCodec) -> Outbox {
        Outbox {
            codec,
            waiting: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }

    /// Adds a datagram; one that is too long is dropped.
    pub(crate) fn send(&mut self, sender: &Member, to: SocketAddr, body: DatagramBody) {
        let datagram = Datagram {
            sender: sender.clone(),
            body,
        };
        if let Some(bytes) = self.codec.encode(&datagram) {
            self.sent_bytes += bytes.len() as u64;
            self.sent_datagrams += 1;
            self.waiting.push(OutboundDatagram { to, bytes });
        }
    }

    /// Adds deltas, as many as fit to a datagram.
    pub(crate) fn send_deltas(&mut self, sender: &Member, to: SocketAddr, deltas: Vec<Delta>) {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for delta in deltas {
            let bytes = encoded_bytes(&delta);
            if batch_bytes + bytes > MAX_BODY_BYTES && !batch.is_empty() {
                let full = std::mem::take(&mut batch);
                self.send(sender, to, DatagramBody::UsageDeltas(full));
                batch_bytes = 0;
            }
            batch_bytes += bytes;
            batch.push(delta);
        }
        if !batch.is_empty() {
            self.send(sender, to, DatagramBody::UsageDeltas(batch));
        }
    }

    /// Takes all that waits.
    pub(crate) fn take(&mut self) -> Vec<OutboundDatagram> {
        std::mem::take(&mut self.waiting)
    }

    /// Bytes of all datagrams so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Datagrams so far.
    pub(crate) fn sent_datagrams(&self) -> u64 {
        self.sent_datagrams
    }
}

/// Leaves as many summaries as fit into a datagram; returns whether all did.
pub(crate) fn truncate_to_datagram(summaries: &mut Vec<VersionSummary>) -> bool {
    let mut bytes = 0;
    let fits = |summary: &&VersionSummary| {
        bytes += encoded_bytes(*summary);
        bytes <= MAX_BODY_BYTES
    };
    let fitting = summaries.iter().take_while(fits).count();
    let all_fit = fitting == summaries.len();
    summaries.truncate(fitting);
    all_fit
}

fn encoded_bytes(value: &impl Serialize) -> usize {
    postcard::to_stdvec(value).map_or(MAX_BODY_BYTES, |bytes| bytes.len())
}
