//! New seeds while the process runs, as after a change of the settings file.

use std::sync::Arc;
use streamusher_coordination::{
    Coordinator, CoordinatorSettings, DiskImage, Input, Message, Output,
};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

fn core(number: u8) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{number}:1").into(),
        control: format!("10.0.0.{number}:2").into(),
    }
}

/// A machine with an empty disk that is no member yet.
fn joining_machine(seeds: Vec<CoreAddress>) -> Coordinator {
    let settings = CoordinatorSettings {
        address: core(9),
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

/// The addresses that the machine sends hellos to between two times.
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
    let mut machine = joining_machine(vec![core(1)]);
    let before = hello_receivers(&mut machine, 20, 5_000);

    machine.set_seeds(vec![core(2), core(3), core(9)]);
    let after = hello_receivers(&mut machine, 5_000, 10_000);

    assert_eq!(before, [core(1).internal]);
    assert_eq!(
        after,
        [core(2).internal, core(3).internal],
        "itself is never asked"
    );
    assert_eq!(machine.seeds().len(), 3);
}
