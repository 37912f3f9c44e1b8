//! The datagrams that members exchange over UDP: a header with version, fleet tag and MAC, and a body in
//! postcard.
//!
//! A datagram has at most [`MAX_DATAGRAM_BYTES`]. Larger content is split: each [`Delta`] can be merged on
//! its own, and a lost one is sent again after the next digest, so no stream is needed.

use crate::incarnation::is_valid_name;
use crate::membership::Member;
use crate::outlier::Observation;
use crate::quota::{LeaseGrant, LeaseRequest};
use crate::usage::UsageKey;
use crate::usage_counters::{Delta, UsageDigest};
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram in bytes: what a network path carries without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The version of the datagram format. Datagrams of any other version are rejected.
pub const PROTOCOL_VERSION: u8 = 1;

const MAGIC: &[u8; 2] = b"SU";
const TAG_BYTES: usize = 4;
const MAC_BYTES: usize = 16;
const TAG_START: usize = MAGIC.len() + 1;
const MAC_START: usize = TAG_START + TAG_BYTES;
const HEADER_BYTES: usize = MAC_START + MAC_BYTES;
const MAX_TENANT_BYTES: usize = 128;
const MAX_WORKER_NAME_BYTES: usize = 128;
/// Exclusive upper limit of the number of rows in a base.
const MAX_BASE_ROWS: u64 = 1 << 24;

/// The body of a datagram. It is encoded by position: the order of the variants is part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Sent by a new member that knows only the receiver's address.
    Hello,
    /// A membership message, encoded by the `foca` crate.
    Membership(Vec<u8>),
    /// The versions of the usage counters that the sender holds.
    UsageDigest(UsageDigest),
    /// Changes of usage counters.
    UsageDeltas(Vec<Delta>),
    /// The version of the receiver's own counters that the sender holds.
    UsageAcknowledged(u64),
    /// Requests units of a quota.
    LeaseRequest(LeaseRequest),
    /// Grants units of a quota.
    LeaseGrant(LeaseGrant),
    /// Observations of workers.
    Observations(Vec<Observation>),
}

/// A datagram without its header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The member that sent the datagram.
    pub sender: Member,
    /// The message.
    pub body: DatagramBody,
}

/// Why a datagram was rejected. The texts are keys of the JSON for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// Too short or too long.
    #[error("cut")]
    Truncated,
    /// From another fleet, or not a datagram of any fleet.
    #[error("foreign")]
    ForeignFleet,
    /// Another version of the format.
    #[error("version")]
    UnsupportedVersion(u8),
    /// The MAC does not match.
    #[error("spoilt")]
    BadMac,
    /// The body cannot be decoded, or one of its values is out of bounds.
    #[error("unreadable")]
    Malformed,
    /// From an earlier incarnation of the sender.
    #[error("earlier life")]
    StaleIncarnation,
    /// From a member whose clock is too far ahead.
    #[error("clock")]
    ClockAhead,
}

/// Encodes and decodes datagrams under the fleet's key.
#[derive(Clone)]
pub struct DatagramCodec {
    key: [u8; 32],
    fleet_tag: [u8; TAG_BYTES],
}

impl DatagramCodec {
    /// Creates the codec of the fleet with this key.
    pub fn new(key: [u8; 32]) -> DatagramCodec {
        let derived = blake3::derive_key("streamusher fleet mark 1", &key);
        let mut fleet_tag = [0; TAG_BYTES];
        fleet_tag.copy_from_slice(&derived[..TAG_BYTES]);
        DatagramCodec { key, fleet_tag }
    }

    fn mac(&self, version: u8, body: &[u8]) -> [u8; MAC_BYTES] {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(&[version]).update(body);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Encodes a datagram; returns `None` if it would be longer than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(datagram).ok()?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.extend_from_slice(MAGIC);
        bytes.push(PROTOCOL_VERSION);
        bytes.extend_from_slice(&self.fleet_tag);
        bytes.extend_from_slice(&self.mac(PROTOCOL_VERSION, &body));
        bytes.extend_from_slice(&body);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram. The body is decoded only after the length, the fleet tag, the MAC and the version
    /// have been checked.
    ///
    /// # Errors
    /// The first of these checks that fails, or [`DatagramError::Malformed`] for the body.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, DatagramError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Truncated);
        }
        let (header, body) = bytes.split_at(HEADER_BYTES);
        let tag = &header[TAG_START..MAC_START];
        if !header.starts_with(MAGIC) || tag != self.fleet_tag {
            return Err(DatagramError::ForeignFleet);
        }
        let version = header[MAGIC.len()];
        if !macs_match(&self.mac(version, body), &header[MAC_START..]) {
            return Err(DatagramError::BadMac);
        }
        if version != PROTOCOL_VERSION {
            return Err(DatagramError::UnsupportedVersion(version));
        }
        postcard::from_bytes(body)
            .ok()
            .filter(Datagram::is_within_bounds)
            .ok_or(DatagramError::Malformed)
    }
}

/// Compares two MACs by their hashes, because `blake3` compares hashes in constant time.
fn macs_match(expected: &[u8], found: &[u8]) -> bool {
    let hash = |mac| blake3::Hash::from_bytes(blake3::derive_key("streamusher mac", mac));
    hash(expected) == hash(found)
}

impl Datagram {
    /// Whether names and counts are within the bounds that the receiver relies on.
    fn is_within_bounds(&self) -> bool {
        is_valid_name(&self.sender.name) && self.body.is_within_bounds()
    }
}

impl DatagramBody {
    fn is_within_bounds(&self) -> bool {
        match self {
            DatagramBody::UsageDigest(digest) => {
                let after_is_valid = digest.after.iter().all(|name| is_valid_name(name));
                let mut summaries = digest.summaries.iter();
                after_is_valid && summaries.all(|summary| is_valid_name(&summary.name))
            }
            DatagramBody::UsageDeltas(deltas) => deltas.iter().all(is_delta_within_bounds),
            DatagramBody::Observations(observations) => {
                observations.iter().all(is_observation_within_bounds)
            }
            DatagramBody::Hello
            | DatagramBody::Membership(_)
            | DatagramBody::UsageAcknowledged(_)
            | DatagramBody::LeaseRequest(_)
            | DatagramBody::LeaseGrant(_) => true,
        }
    }
}

fn is_delta_within_bounds(delta: &Delta) -> bool {
    let is_valid_key = |key: &UsageKey| key.tenant.len() <= MAX_TENANT_BYTES;
    match delta {
        Delta::Incarnation {
            incarnation,
            after,
            up_to,
            rows,
        } => {
            is_valid_name(&incarnation.name)
                && after <= up_to
                && rows.iter().all(|row| is_valid_key(&row.key))
        }
        Delta::Base {
            name,
            rows,
            total_rows,
            ..
        } => {
            is_valid_name(name)
                && *total_rows < MAX_BASE_ROWS
                && rows.iter().all(|row| is_valid_key(&row.key))
        }
    }
}

fn is_observation_within_bounds(observation: &Observation) -> bool {
    let worker_name_bytes = observation.worker.name.len();
    is_valid_name(&observation.observer.name)
        && (1..=MAX_WORKER_NAME_BYTES).contains(&worker_name_bytes)
}
