//! Queue of outbound datagrams, and the splitting of content into datagrams.

use crate::datagram::{Datagram, DatagramBody, DatagramCodec, MAX_DATAGRAM_BYTES};
use crate::membership::Member;
use crate::usage_counters::{Delta, VersionSummary};
use serde::Serialize;
use std::net::SocketAddr;

/// Maximum length of a datagram's content in bytes, without the header and the sender.
const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - 200;

/// An encoded datagram and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// Outbound datagrams that have not been taken for sending.
pub(crate) struct Outbox {
    codec: DatagramCodec,
    queued: Vec<OutboundDatagram>,
    sent_bytes: u64,
    sent_datagrams: u64,
}

impl Outbox {
    pub(crate) fn new(codec: DatagramCodec) -> Outbox {
        Outbox {
            codec,
            queued: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }

    /// Encodes and queues a datagram; one that is too long is dropped.
    pub(crate) fn send(&mut self, sender: &Member, to: SocketAddr, body: DatagramBody) {
        let datagram = Datagram {
            sender: sender.clone(),
            body,
        };
        if let Some(bytes) = self.codec.encode(&datagram) {
            self.sent_bytes += bytes.len() as u64;
            self.sent_datagrams += 1;
            self.queued.push(OutboundDatagram { to, bytes });
        }
    }

    /// Queues deltas, with as many in one datagram as fit.
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

    /// Takes all queued datagrams.
    pub(crate) fn take(&mut self) -> Vec<OutboundDatagram> {
        std::mem::take(&mut self.queued)
    }

    /// Total bytes of all datagrams queued so far.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Number of datagrams queued so far.
    pub(crate) fn sent_datagrams(&self) -> u64 {
        self.sent_datagrams
    }
}

/// Truncates the summaries to as many as fit into a datagram; returns whether all did.
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
