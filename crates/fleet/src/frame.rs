//! Frames: a version, the fleet's mark, a MAC, and a body in postcard. One UDP datagram each, 1,400 bytes at most.
//!
//! What is large goes in parts: each part of a [`Delta`] is of use by itself, and what got lost is sent again after the
//! next digest, so nothing here needs a stream.

use crate::counts::{Delta, Holds};
use crate::judge::Word;
use crate::life::is_name;
use crate::members::Member;
use crate::rights::{Ask, Grant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most bytes of a frame: what a path carries whole.
pub const MOST_BYTES: usize = 1_400;
/// The version that this program speaks. Another one is told by name and set aside.
pub const VERSION: u8 = 1;
const HEAD: usize = 2 + 1 + 4 + 16;

/// What a frame says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Somebody new, who knows an address only.
    Hello,
    /// Membership: foca's own words.
    Swim(Vec<u8>),
    /// What the sender holds of some names.
    Digest {
        /// The names come after this one.
        from: Option<Arc<str>>,
        /// They are all of them.
        last: bool,
        /// What is held.
        holds: Vec<Holds>,
        /// A digest of the receiver's is wanted too.
        answer: bool,
    },
    /// Rows.
    Rows(Vec<Delta>),
    /// How much of the receiver's own life the sender holds.
    Have(u64),
    /// Rights are wanted.
    Ask(Ask),
    /// Rights are lent.
    Grant(Grant),
    /// Observations of core workers.
    Words(Vec<Word>),
}

/// A frame that was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sent it.
    pub from: Member,
    /// What it says.
    pub body: Body,
}

/// Why a frame was set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Bad {
    /// Too short to be one, or too long.
    #[error("cut")]
    Cut,
    /// Of another fleet, or none of ours at all.
    #[error("foreign")]
    Foreign,
    /// Of another version.
    #[error("version")]
    Version(u8),
    /// Its MAC does not hold.
    #[error("spoilt")]
    Spoilt,
    /// Its body cannot be read, or a value in it is out of bounds.
    #[error("unreadable")]
    Unreadable,
    /// From an earlier life of its sender.
    #[error("earlier life")]
    EarlierLife,
    /// From a member whose clock is far ahead.
    #[error("clock")]
    Clock,
}

/// Seals and opens frames with the fleet's key.
#[derive(Clone)]
pub struct Sealer {
    key: [u8; 32],
    mark: [u8; 4],
}

impl Sealer {
    /// For the fleet with this key.
    pub fn new(key: [u8; 32]) -> Sealer {
        let mark = blake3::derive_key("streamusher fleet mark 1", &key);
        Sealer {
            key,
            mark: mark[..4].try_into().expect("four bytes"),
        }
    }

    fn mac(&self, version: u8, body: &[u8]) -> [u8; 16] {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        hash.update(&[version]).update(body);
        hash.finalize().as_bytes()[..16]
            .try_into()
            .expect("sixteen bytes")
    }

    /// A frame's bytes; none, if they are too many.
    pub fn seal(&self, frame: &Frame) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(frame).ok()?;
        let mut bytes = Vec::with_capacity(HEAD + body.len());
        bytes.extend_from_slice(b"SU");
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.mark);
        bytes.extend_from_slice(&self.mac(VERSION, &body));
        bytes.extend_from_slice(&body);
        (bytes.len() <= MOST_BYTES).then_some(bytes)
    }

    /// Reads a frame. What is not whole, of this fleet and true is refused before its body is looked at.
    pub fn open(&self, bytes: &[u8]) -> Result<Frame, Bad> {
        if bytes.len() < HEAD || bytes.len() > MOST_BYTES {
            return Err(Bad::Cut);
        }
        let (head, body) = bytes.split_at(HEAD);
        if &head[..2] != b"SU" || head[3..7] != self.mark {
            return Err(Bad::Foreign);
        }
        let version = head[2];
        // Compared as hashes, in constant time.
        let mac = |b: &[u8]| blake3::Hash::from_bytes(blake3::derive_key("streamusher mac", b));
        if mac(&self.mac(version, body)) != mac(&head[7..]) {
            return Err(Bad::Spoilt);
        }
        if version != VERSION {
            return Err(Bad::Version(version));
        }
        let frame: Frame = postcard::from_bytes(body).map_err(|_| Bad::Unreadable)?;
        if frame.is_sound() {
            Ok(frame)
        } else {
            Err(Bad::Unreadable)
        }
    }
}

impl Frame {
    fn is_sound(&self) -> bool {
        let tenant = |t: &Arc<str>| t.len() <= 128;
        let rows = |d: &Delta| match d {
            Delta::Life {
                life,
                after,
                upto,
                rows,
            } => {
                is_name(&life.name)
                    && after <= upto
                    && rows.iter().all(|(k, _, _)| tenant(&k.tenant))
            }
            Delta::Base {
                name, rows, total, ..
            } => is_name(name) && *total < 1 << 24 && rows.iter().all(|(k, _)| tenant(&k.tenant)),
        };
        is_name(&self.from.name)
            && match &self.body {
                Body::Digest { from, holds, .. } => {
                    from.iter().all(|f| is_name(f)) && holds.iter().all(|h| is_name(&h.name))
                }
                Body::Rows(deltas) => deltas.iter().all(rows),
                Body::Words(words) => words
                    .iter()
                    .all(|w| is_name(&w.author.name) && (1..=128).contains(&w.worker.0.len())),
                _ => true,
            }
    }
}
