//! What an empty disk begins with.

use crate::types::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use streamusher_protocol::internal::CoreAddress;

/// The seeds of the first start are the members of epoch 0; anybody else is a stranger
/// with an id of its own.
pub(crate) fn first_witness(settings: &CoordinatorSettings, random: &mut Pcg64Mcg) -> WitnessState {
    let is_seed = settings
        .seeds
        .iter()
        .any(|seed| seed.internal == settings.address.internal);
    let keeps_id = (settings.bootstrap || cfg!(feature = "mutant-wiped")) && is_seed;
    let drawn =
        DiskId(random.random::<u64>() ^ address_id(&settings.address.internal).0.rotate_left(17));
    let id = if keeps_id {
        address_id(&settings.address.internal)
    } else {
        drawn
    };
    let decided = if keeps_id {
        first_record(&settings.seeds)
    } else {
        EpochRecord::default()
    };
    WitnessState {
        id,
        decided: Arc::new(decided),
        ..WitnessState::default()
    }
}

fn first_record(seeds: &[CoreAddress]) -> EpochRecord {
    let mut members: Vec<Member> = Vec::new();
    for seed in seeds {
        let member = Member {
            id: address_id(&seed.internal),
            address: seed.clone(),
        };
        if members.iter().all(|known| known.id != member.id) {
            members.push(member);
        }
    }
    let replicas = members.iter().map(|member| member.id).collect();
    EpochRecord {
        members,
        replicas,
        ..EpochRecord::default()
    }
}

/// The disk id of a seed at the first start (FNV-1a of its address).
fn address_id(address: &str) -> DiskId {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    DiskId(address.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }))
}
