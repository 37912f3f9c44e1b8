//! Datagrams: encoded, decoded, and rejected each by its cause.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use proptest::prelude::*;
use streamusher_fleet::datagram::{
    Datagram, DatagramBody, DatagramCodec, DatagramError, PROTOCOL_VERSION,
};
use streamusher_fleet::membership::Member;

/// Bytes before the body: two letters, the version, the fleet's tag, the MAC.
const HEADER_BYTES: usize = 2 + 1 + 4 + 16;

/// The MAC as the format has it.
fn mac(key: [u8; 32], version: u8, body: &[u8]) -> [u8; 16] {
    let mut hash = blake3::Hasher::new_keyed(&key);
    hash.update(&[version]).update(body);
    hash.finalize().as_bytes()[..16]
        .try_into()
        .expect("sixteen bytes")
}

fn datagram() -> Datagram {
    let sender = Member::new("a", 7, "127.0.0.1:9".parse().expect("an address"));
    Datagram {
        sender,
        body: DatagramBody::UsageAcknowledged(3),
    }
}

#[test]
fn each_rejected_datagram_has_its_cause() {
    let (ours, remote) = (DatagramCodec::new([1; 32]), DatagramCodec::new([2; 32]));
    let good = ours.encode(&datagram()).expect("small");
    assert_eq!(ours.decode(&good), Ok(datagram()));
    assert_eq!(remote.decode(&good), Err(DatagramError::ForeignFleet));
    assert_eq!(ours.decode(&good[..10]), Err(DatagramError::Truncated));
    assert_eq!(
        ours.decode(&good[..good.len() - 1]),
        Err(DatagramError::BadMac)
    );
    let mut other = good.clone();
    other[2] = 9;
    assert_eq!(
        ours.decode(&other),
        Err(DatagramError::BadMac),
        "the version stands under the MAC"
    );
    other[7..23].copy_from_slice(&mac([1; 32], 9, &good[HEADER_BYTES..]));
    assert_eq!(
        ours.decode(&other),
        Err(DatagramError::UnsupportedVersion(9))
    );
}

proptest! {
    #[test]
    fn no_bytes_break_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..60, bit in 0u8..8) {
        let ours = DatagramCodec::new([1; 32]);
        prop_assert!(ours.decode(&bytes).is_err());
        let mut good = ours.encode(&datagram()).expect("small");
        let at = at % good.len();
        good[at] ^= 1 << bit;
        prop_assert!(ours.decode(&good).is_err());
        // Bytes under a true MAC, as a member gone wrong would send them.
        let mut sealed = ours.encode(&datagram()).expect("small")[..7].to_vec();
        sealed.extend(mac([1; 32], PROTOCOL_VERSION, &bytes));
        sealed.extend(&bytes);
        let _ = ours.decode(&sealed);
    }
}
