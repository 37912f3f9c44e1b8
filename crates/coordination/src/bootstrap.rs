//! Initial witness state of a member with an empty disk.

use crate::acceptor::WitnessState;
use crate::record::{DiskId, EpochRecord, Member};
use crate::settings::CoordinatorSettings;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use streamusher_protocol::internal::CoreAddress;

/// Returns the witness state for an empty disk. At the first start of the system the seeds are the members of
/// epoch 0, with ids that every seed derives from the addresses. Any other machine draws a random id and is
/// not a member until a record names it: a member that lost its disk may have forgotten a promise and must
/// not make another one under the same id.
pub(crate) fn initial_witness_state(
    settings: &CoordinatorSettings,
    random: &mut Pcg64Mcg,
) -> WitnessState {
    let own_address = &settings.address.internal;
    let is_seed = settings
        .seeds
        .iter()
        .any(|seed| seed.internal == *own_address);
    let is_first_start = (settings.bootstrap || cfg!(feature = "mutant-wiped")) && is_seed;
    let random_id = DiskId(random.random::<u64>() ^ address_id(own_address).0.rotate_left(17));
    let (id, decided) = if is_first_start {
        (address_id(own_address), initial_record(&settings.seeds))
    } else {
        (random_id, EpochRecord::default())
    };
    WitnessState {
        id,
        decided: Arc::new(decided),
        ..WitnessState::default()
    }
}

/// Returns the record of epoch 0: all seeds are members and replicas, and there is no primary.
fn initial_record(seeds: &[CoreAddress]) -> EpochRecord {
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
        replicas,
        members,
        ..EpochRecord::default()
    }
}

/// Returns the disk id of a seed at the first start: the FNV-1a hash of its address.
fn address_id(address: &str) -> DiskId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = address.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    DiskId(hash)
}
