//! Invalid messages, which no correct member sends, and outdated ones must do no harm.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::sync::Arc;
use streamusher_coordination::{
    Batch, Coordinator, CoordinatorSettings, DiskId, DiskImage, EpochRecord, Input, KeepaliveAck,
    LogPosition, Member, Message, Output, ProposalNumber, SnapshotPart,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;

fn address(index: u64) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{index}:1").into(),
        control: format!("10.0.0.{index}:2").into(),
    }
}

fn settings() -> CoordinatorSettings {
    CoordinatorSettings {
        address: address(0),
        bootstrap: true,
        seeds: (0..3).map(address).collect(),
        tolerance: 1,
        lease_ms: 800,
        random_seed: 1,
    }
}

/// A machine that may send messages: its first disk change is synced.
fn started_machine() -> Coordinator {
    let mut machine = Coordinator::new(settings(), DiskImage::default(), 1_000);
    let outputs = machine.handle(1_000, Input::Tick);
    sync_all(&mut machine, 1_001, outputs);
    machine
}

/// Completes all disk changes. Returns the messages that are sent.
fn sync_all(machine: &mut Coordinator, now: u64, outputs: Vec<Output>) -> Vec<Message> {
    let mut pending = outputs;
    let mut sent = Vec::new();
    while let Some(output) = pending.pop() {
        match output {
            Output::Persist { ticket, .. } => {
                pending.extend(machine.handle(now, Input::Persisted { ticket }));
            }
            Output::Send { message, .. } => sent.push(message),
            _ => {}
        }
    }
    sent
}

fn receive(machine: &mut Coordinator, now: u64, message: Message) -> Vec<Message> {
    let outputs = machine.handle(
        now,
        Input::Received {
            from: address(1).internal,
            message,
        },
    );
    sync_all(machine, now, outputs)
}

fn record(machine: &Coordinator, epoch: u64) -> Arc<EpochRecord> {
    let first = machine.status(1_000).record;
    let primary = first
        .members
        .iter()
        .find(|member| member.address == address(1))
        .map(|member| member.id);
    let replicas = first.replicas.clone();
    Arc::new(EpochRecord {
        epoch,
        term: epoch,
        primary,
        replicas,
        ..EpochRecord::clone(&first)
    })
}

#[test]
fn messages_of_an_older_epoch_are_answered_with_the_newest_record() {
    let mut machine = started_machine();
    let (old, new) = (record(&machine, 2), record(&machine, 5));
    receive(
        &mut machine,
        1_100,
        Message::Decided {
            record: new.clone(),
        },
    );
    let number = ProposalNumber {
        round: 9,
        ..ProposalNumber::default()
    };
    let newest = vec![Message::Decided {
        record: new.clone(),
    }];
    assert_eq!(
        receive(
            &mut machine,
            1_110,
            Message::Keepalive {
                record: old.clone(),
                sent_ms: 1
            }
        ),
        newest
    );
    assert_eq!(
        receive(
            &mut machine,
            1_110,
            Message::Prepare {
                base: old.clone(),
                number
            }
        ),
        newest
    );
    let accept = Message::Accept {
        base: old.clone(),
        number,
        value: record(&machine, 3),
    };
    assert_eq!(receive(&mut machine, 1_110, accept), newest);
    let member = old.members[1].clone();
    assert_eq!(
        receive(&mut machine, 1_110, Message::Hello { member, epoch: 2 }),
        newest
    );
    assert_eq!(machine.epoch(), 5);
}

#[test]
fn lower_proposal_number_is_rejected() {
    let mut machine = started_machine();
    let base = record(&machine, 5);
    let high = ProposalNumber {
        round: 9,
        ..ProposalNumber::default()
    };
    let low = ProposalNumber {
        round: 8,
        ..ProposalNumber::default()
    };
    let promised = receive(
        &mut machine,
        1_100,
        Message::Prepare {
            base: base.clone(),
            number: high,
        },
    );
    assert!(matches!(promised[..], [Message::Promised { number, .. }] if number == high));
    let rejected = vec![Message::Rejected {
        instance: 6,
        promise: high,
    }];
    assert_eq!(
        receive(
            &mut machine,
            1_110,
            Message::Prepare {
                base: base.clone(),
                number: low
            }
        ),
        rejected
    );
    let accept = Message::Accept {
        base: base.clone(),
        number: low,
        value: record(&machine, 6),
    };
    assert_eq!(receive(&mut machine, 1_110, accept), rejected);
}

#[test]
fn promise_is_sent_only_when_synced() {
    let mut machine = started_machine();
    let message = Message::Prepare {
        base: record(&machine, 5),
        number: ProposalNumber {
            round: 9,
            ..ProposalNumber::default()
        },
    };
    let outputs = machine.handle(
        1_100,
        Input::Received {
            from: address(1).internal,
            message,
        },
    );
    let sent = outputs
        .iter()
        .filter(|output| matches!(output, Output::Send { .. }))
        .count();
    let tickets: Vec<u64> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Persist { ticket, .. } => Some(*ticket),
            _ => None,
        })
        .collect();
    assert_eq!((sent, tickets.len()), (0, 1));
    let failed = machine.handle(1_110, Input::PersistFailed { ticket: tickets[0] });
    assert!(failed.is_empty(), "{failed:?}");
    let retried = machine.handle(1_300, Input::Tick);
    assert!(
        retried
            .iter()
            .any(|output| matches!(output, Output::Persist { .. })),
        "{retried:?}"
    );
    let sent = sync_all(&mut machine, 1_310, retried);
    assert!(
        sent.iter()
            .any(|message| matches!(message, Message::Promised { .. })),
        "{sent:?}"
    );
}

#[test]
fn append_at_a_member_that_is_not_primary_is_dropped() {
    let mut machine = started_machine();
    let (sequence, outputs) = machine.append(1_100, vec![Write::set("key", "value")]);
    assert!(outputs.is_empty());
    assert_eq!(
        (sequence, machine.appended(), machine.committed()),
        (1, 1, 0)
    );
    assert!(machine.state().is_empty());
    assert!(!machine.may_act(1_100));
}

#[test]
fn messages_survive_encoding() -> Result<(), serde_json::Error> {
    let machine = started_machine();
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..500 {
        let message = any_message(&mut random, &machine);
        let text = serde_json::to_string(&message)?;
        assert_eq!(serde_json::from_str::<Message>(&text)?, message);
    }
    Ok(())
}

#[rstest]
fn arbitrary_messages_do_not_panic(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..40 {
        let mut machine = started_machine();
        let mut now = 1_002;
        for _ in 0..200 {
            now += random.random_range(0..60);
            let message = any_message(&mut random, &machine);
            receive(&mut machine, now, message);
            let outputs = machine.handle(now, Input::Tick);
            sync_all(&mut machine, now, outputs);
            let ticket = random.random_range(0..5);
            machine.handle(now, Input::PersistFailed { ticket });
            let (_, outputs) = machine.append(now, vec![Write::set("key", "value")]);
            sync_all(&mut machine, now, outputs);
            let status = machine.status(now);
            machine.view(now);
            assert!(status.record.epoch <= 1 << 53);
        }
        machine.handle(u64::MAX / 4, Input::Leave);
        machine.handle(u64::MAX / 2, Input::Tick);
        machine.handle(5, Input::Tick);
    }
}

/// A number that may be small, large or the maximum.
fn any_number(random: &mut Pcg64Mcg) -> u64 {
    match random.random_range(0..8) {
        0 => u64::MAX,
        1 => 1 << 53,
        2 => random.random(),
        _ => random.random_range(0..12),
    }
}

fn any_id(random: &mut Pcg64Mcg, machine: &Coordinator) -> DiskId {
    let members = machine.status(0).record.members.clone();
    match random.random_range(0..8) {
        0 => DiskId(random.random()),
        index => members
            .get(index % members.len().max(1))
            .map_or(DiskId(1), |member| member.id),
    }
}

fn any_proposal_number(random: &mut Pcg64Mcg, machine: &Coordinator) -> ProposalNumber {
    ProposalNumber {
        round: any_number(random),
        disk: any_id(random, machine),
        start: any_number(random),
    }
}

fn any_position(random: &mut Pcg64Mcg) -> LogPosition {
    LogPosition {
        epoch: any_number(random),
        sequence: any_number(random),
    }
}

fn any_record(random: &mut Pcg64Mcg, machine: &Coordinator) -> Arc<EpochRecord> {
    let known = machine.status(0).record;
    if random.random_bool(0.4) {
        return known;
    }
    let next = known.epoch.saturating_add(random.random_range(0..3));
    let epoch = if random.random_bool(0.9) {
        next
    } else {
        any_number(random)
    };
    let term = if random.random_bool(0.6) {
        epoch
    } else {
        any_number(random)
    };
    let primary = random.random_bool(0.9).then(|| any_id(random, machine));
    let count = random.random_range(0..5);
    let replicas = (0..count).map(|_| any_id(random, machine)).collect();
    let count = random.random_range(0..12);
    let members = if random.random_bool(0.7) {
        known.members.clone()
    } else {
        (0..count)
            .map(|index| any_member(random, machine, index))
            .collect()
    };
    Arc::new(EpochRecord {
        epoch,
        term,
        primary,
        replicas,
        members,
        proposer: any_id(random, machine),
    })
}

fn any_member(random: &mut Pcg64Mcg, machine: &Coordinator, index: u64) -> Member {
    Member {
        id: any_id(random, machine),
        address: address(index),
    }
}

fn any_message(random: &mut Pcg64Mcg, machine: &Coordinator) -> Message {
    let from = any_id(random, machine);
    let (epoch, term) = if random.random_bool(0.8) {
        (machine.epoch(), machine.status(0).record.term)
    } else {
        (any_number(random), any_number(random))
    };
    match random.random_range(0..14) {
        kind @ 0..7 => any_proposal_message(random, machine, kind, from, epoch),
        7 => Message::Keepalive {
            record: any_record(random, machine),
            sent_ms: any_number(random),
        },
        kind => any_replication_message(random, kind, from, epoch, term),
    }
}

/// A message of the kinds that decide and announce records.
fn any_proposal_message(
    random: &mut Pcg64Mcg,
    machine: &Coordinator,
    kind: i32,
    from: DiskId,
    epoch: u64,
) -> Message {
    match kind {
        0 => {
            let index = random.random_range(0..6);
            Message::Hello {
                member: any_member(random, machine, index),
                epoch: any_number(random),
            }
        }
        1 => Message::Decided {
            record: any_record(random, machine),
        },
        2 => Message::Prepare {
            base: any_record(random, machine),
            number: any_proposal_number(random, machine),
        },
        3 => Message::Promised {
            from,
            instance: epoch.saturating_add(1),
            number: any_proposal_number(random, machine),
            accepted: Some((
                any_proposal_number(random, machine),
                any_record(random, machine),
            )),
            position: any_position(random),
        },
        4 => Message::Accept {
            base: any_record(random, machine),
            number: any_proposal_number(random, machine),
            value: any_record(random, machine),
        },
        5 => Message::Accepted {
            from,
            instance: epoch.saturating_add(1),
            number: any_proposal_number(random, machine),
        },
        _ => Message::Rejected {
            instance: epoch.saturating_add(1),
            promise: any_proposal_number(random, machine),
        },
    }
}

/// A message of the kinds that a primary and a replica exchange.
fn any_replication_message(
    random: &mut Pcg64Mcg,
    kind: i32,
    from: DiskId,
    epoch: u64,
    term: u64,
) -> Message {
    let writes = vec![Write::set("key", "value"), Write::remove("other")];
    match kind {
        8 => Message::KeepaliveAck(KeepaliveAck {
            from,
            term,
            sent_ms: any_number(random),
            position: any_position(random),
            leaving: random.random(),
            recorded_epoch: any_number(random),
        }),
        9 => {
            let (previous, position) = (any_position(random), any_position(random));
            Message::Append {
                from,
                epoch,
                term,
                batch: Batch {
                    previous,
                    position,
                    writes: Arc::new(writes),
                },
            }
        }
        10 => Message::Synced {
            from,
            term,
            position: any_position(random),
        },
        11 => Message::SnapshotPart(SnapshotPart {
            from,
            epoch,
            term,
            snapshot: any_number(random),
            index: any_number(random),
            last: random.random(),
            position: any_position(random),
            writes,
        }),
        12 => Message::SnapshotAck {
            from,
            snapshot: any_number(random),
            next: any_number(random),
        },
        _ => Message::TermEnded { from, term },
    }
}

fn proposal_numbers(messages: &[Message]) -> Vec<ProposalNumber> {
    let number = |message: &Message| match message {
        Message::Prepare { number, .. } | Message::Accept { number, .. } => Some(*number),
        _ => None,
    };
    messages.iter().filter_map(number).collect()
}

/// Ticks the machine until `end_ms`. Returns the numbers of all proposals that it sends.
fn proposals_until(
    machine: &mut Coordinator,
    now_ms: &mut u64,
    end_ms: u64,
) -> Vec<ProposalNumber> {
    let mut numbers = Vec::new();
    while *now_ms < end_ms {
        *now_ms += 20;
        let outputs = machine.handle(*now_ms, Input::Tick);
        numbers.extend(proposal_numbers(&sync_all(machine, *now_ms, outputs)));
    }
    numbers
}

/// A proposer that was rejected because of a higher number continues only with a number above that.
#[test]
fn rejected_proposal_number_is_not_used_again() {
    let mut machine = started_machine();
    let mut now_ms = 1_001;
    let first = proposals_until(&mut machine, &mut now_ms, 1_500);
    let rejected = *first.last().expect("a proposal");
    let promise = ProposalNumber {
        round: rejected.round + 5,
        ..rejected
    };
    let rejection = Message::Rejected {
        instance: 1,
        promise,
    };
    receive(&mut machine, now_ms, rejection);
    let end_ms = now_ms + 3_000;
    let later = proposals_until(&mut machine, &mut now_ms, end_ms);
    assert!(!later.is_empty(), "the proposer starts no further proposal");
    assert!(later.iter().all(|number| *number > promise), "{later:?}");
}
