//! Changes of the seeds while the process runs, for example after a change of the settings file.

use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskImage, Input, Message, Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

fn core_address(number: u8) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{number}:1").into(),
        control: format!("10.0.0.{number}:2").into(),
    }
}

/// A machine with an empty disk that is not a member yet.
fn joining_machine(seeds: Vec<CoreAddress>) -> Coordinator {
    let settings = CoordinatorSettings {
        address: core_address(9),
        bootstrap: false,
        seeds,
        tolerance: 1,
        lease_ms: 800,
        random_seed: 7,
    };
    let mut machine = Coordinator::new(settings, DiskImage::default(), 0);
    for output in machine.handle(0, Input::Tick) {
        if let Output::Persist { ticket, .. } = output {
            machine.handle(0, Input::Persisted { ticket });
        }
    }
    machine
}

/// The addresses to which the machine sends `Hello` messages between two times.
fn hello_receivers(machine: &mut Coordinator, from: Millis, to: Millis) -> Vec<Arc<str>> {
    let outputs = (from..to)
        .step_by(20)
        .flat_map(|now| machine.handle(now, Input::Tick))
        .collect::<Vec<_>>();
    let hello = |output: Output| match output {
        Output::Send {
            to,
            message: Message::Hello { .. },
        } => Some(to),
        _ => None,
    };
    let mut hello_receivers: Vec<Arc<str>> = outputs.into_iter().filter_map(hello).collect();
    hello_receivers.sort();
    hello_receivers.dedup();
    hello_receivers
}

#[test]
fn joining_machine_asks_changed_seeds() {
    let mut machine = joining_machine(vec![core_address(1)]);
    let before = hello_receivers(&mut machine, 20, 5_000);

    machine.set_seeds(vec![core_address(2), core_address(3), core_address(9)]);
    let after = hello_receivers(&mut machine, 5_000, 10_000);

    assert_eq!(before, [core_address(1).internal]);
    assert_eq!(
        after,
        [core_address(2).internal, core_address(3).internal],
        "the machine sends no `Hello` to itself"
    );
    assert_eq!(machine.seeds().len(), 3);
}
