//! Frames: sealed, opened, and refused each by its cause.

use proptest::prelude::*;
use streamusher_fleet::frame::*;
use streamusher_fleet::members::Member;

/// What stands before the body: two letters, the version, the fleet's mark, the MAC.
const HEAD: usize = 2 + 1 + 4 + 16;

/// The MAC as the format has it.
fn mac(key: [u8; 32], version: u8, body: &[u8]) -> [u8; 16] {
    let mut hash = blake3::Hasher::new_keyed(&key);
    hash.update(&[version]).update(body);
    hash.finalize().as_bytes()[..16]
        .try_into()
        .expect("sixteen bytes")
}

fn frame() -> Frame {
    let from = Member::new("a", 7, "127.0.0.1:9".parse().expect("an address"));
    Frame {
        from,
        body: Body::Have(3),
    }
}

#[test]
fn each_bad_frame_is_told_by_its_cause() {
    let (ours, theirs) = (Sealer::new([1; 32]), Sealer::new([2; 32]));
    let good = ours.seal(&frame()).expect("small");
    assert_eq!(ours.open(&good), Ok(frame()));
    assert_eq!(theirs.open(&good), Err(Bad::Foreign));
    assert_eq!(ours.open(&good[..10]), Err(Bad::Cut));
    assert_eq!(ours.open(&good[..good.len() - 1]), Err(Bad::Spoilt));
    let mut other = good.clone();
    other[2] = 9;
    assert_eq!(
        ours.open(&other),
        Err(Bad::Spoilt),
        "the version stands under the MAC"
    );
    other[7..23].copy_from_slice(&mac([1; 32], 9, &good[HEAD..]));
    assert_eq!(ours.open(&other), Err(Bad::Version(9)));
}

proptest! {
    #[test]
    fn no_bytes_break_the_reader(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..60, bit in 0u8..8) {
        let ours = Sealer::new([1; 32]);
        prop_assert!(ours.open(&bytes).is_err());
        let mut good = ours.seal(&frame()).expect("small");
        let at = at % good.len();
        good[at] ^= 1 << bit;
        prop_assert!(ours.open(&good).is_err());
        // Bytes under a true MAC, as a member gone wrong would send them.
        let mut sealed = ours.seal(&frame()).expect("small")[..7].to_vec();
        sealed.extend(mac([1; 32], VERSION, &bytes));
        sealed.extend(&bytes);
        let _ = ours.open(&sealed);
    }
}
