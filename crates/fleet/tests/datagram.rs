//! Encoding and decoding of datagrams, and the error for each kind of invalid datagram.
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

/// Bytes before the body: the two magic bytes, the version, the fleet tag and the MAC.
const HEADER_BYTES: usize = 2 + 1 + 4 + 16;

/// Computes the MAC as the format specifies it.
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
fn invalid_datagrams_are_rejected_with_their_error() {
    let (codec, foreign_codec) = (DatagramCodec::new([1; 32]), DatagramCodec::new([2; 32]));
    let valid = codec.encode(&datagram()).expect("small");
    assert_eq!(codec.decode(&valid), Ok(datagram()));
    assert_eq!(
        foreign_codec.decode(&valid),
        Err(DatagramError::ForeignFleet)
    );
    assert_eq!(codec.decode(&valid[..10]), Err(DatagramError::Truncated));
    assert_eq!(
        codec.decode(&valid[..valid.len() - 1]),
        Err(DatagramError::BadMac)
    );
    let mut altered = valid.clone();
    altered[2] = 9;
    assert_eq!(
        codec.decode(&altered),
        Err(DatagramError::BadMac),
        "the MAC covers the version"
    );
    altered[7..23].copy_from_slice(&mac([1; 32], 9, &valid[HEADER_BYTES..]));
    assert_eq!(
        codec.decode(&altered),
        Err(DatagramError::UnsupportedVersion(9))
    );
}

proptest! {
    #[test]
    fn decoder_handles_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..60, bit in 0u8..8) {
        let codec = DatagramCodec::new([1; 32]);
        prop_assert!(codec.decode(&bytes).is_err());
        let mut valid = codec.encode(&datagram()).expect("small");
        let at = at % valid.len();
        valid[at] ^= 1 << bit;
        prop_assert!(codec.decode(&valid).is_err());
        // Arbitrary bytes with a valid MAC, as a faulty member would send them.
        let mut authenticated = codec.encode(&datagram()).expect("small")[..7].to_vec();
        authenticated.extend(mac([1; 32], PROTOCOL_VERSION, &bytes));
        authenticated.extend(&bytes);
        let _ = codec.decode(&authenticated);
    }
}
