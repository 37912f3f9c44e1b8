//! Series of disruptions. Each disruption affects a random instance. Several series run concurrently, on
//! different instances and, if a disruption does not need the process, on the same one.

use super::super::Program;
use super::instance::Instance;
use super::Shared;
use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::Value;
use std::time::Duration;

/// Longest lock of a store: longer than the `hold_ms` of the instances and shorter than a client's deadline.
const MAX_LOCK_MS: u64 = 900;
/// Longest pause within a disruption and between two disruptions of a series.
const MAX_PAUSE_MS: u64 = 250;
/// Longest time between the end of a process and the start of the next one.
const MAX_DOWN_MS: u64 = 200;

/// Runs one series of disruptions until the soak is over.
pub(super) fn run(shared: &Shared, mut random: Pcg64) {
    while !shared.is_over() {
        let instance = &shared.instances[random.random_range(0..shared.instances.len())];
        match random.random_range(0..8) {
            0 => lock_store(instance, &mut random),
            1 => reload(instance, &mut random),
            2 => kill(shared, instance, &mut random),
            3 => kill_while_locked(shared, instance, &mut random),
            4 => terminate(shared, instance, &mut random),
            5 => terminate_while_locked(shared, instance, &mut random),
            6 => terminate_and_kill(shared, instance, &mut random),
            _ => replace(shared, instance, &mut random),
        }
        pause(&mut random, MAX_PAUSE_MS);
    }
}

fn pause(random: &mut Pcg64, longest_ms: u64) {
    std::thread::sleep(Duration::from_millis(random.random_range(0..longest_ms)));
}

/// Locks the store so that the process cannot write; other series may disrupt the process meanwhile.
fn lock_store(instance: &Instance, random: &mut Pcg64) {
    let lock = instance.lock_store();
    pause(random, MAX_LOCK_MS);
    drop(lock);
}

/// Sends signals that change nothing or reload the configuration, which may be unusable.
fn reload(instance: &Instance, random: &mut Pcg64) {
    let Some(program) = instance.try_lock() else {
        return;
    };
    let Some(program) = program.as_ref() else {
        return;
    };
    for _ in 0..random.random_range(1..4) {
        signal(instance, program, random);
        pause(random, MAX_PAUSE_MS);
    }
}

fn signal(instance: &Instance, program: &Program, random: &mut Pcg64) {
    match random.random_range(0..3) {
        0 => program.signal("USR1"),
        1 => program.reload("{ this is no configuration"),
        _ => program.reload(&changed_configuration(instance, random).to_string()),
    }
}

fn changed_configuration(instance: &Instance, random: &mut Pcg64) -> Value {
    let (_, mut config) = instance.configuration();
    let on_time_us: u64 = random.random_range(20_000_000..40_000_000);
    for class in config["settings"]["requestClasses"].as_array_mut().unwrap() {
        class["onTimeUs"] = on_time_us.into();
    }
    config
}

fn kill(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let mut process = instance.lock();
    if let Some(program) = process.take() {
        instance.kill(shared, program);
    }
    pause(random, MAX_DOWN_MS);
    *process = Some(instance.start_program());
}

fn kill_while_locked(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let lock = instance.lock_store();
    pause(random, MAX_LOCK_MS);
    kill(shared, instance, random);
    drop(lock);
}

/// Terminates the process and sends further signals while it shuts down.
fn terminate(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let mut process = instance.lock();
    if let Some(program) = process.take() {
        instance.terminate(&program);
        for _ in 0..random.random_range(0..3) {
            pause(random, MAX_PAUSE_MS);
            signal(instance, &program, random);
        }
        if random.random_bool(0.3) {
            program.signal("TERM");
        }
        instance.wait(shared, program);
    }
    pause(random, MAX_DOWN_MS);
    *process = Some(instance.start_program());
}

fn terminate_while_locked(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let lock = instance.lock_store();
    let mut process = instance.lock();
    if let Some(program) = process.take() {
        instance.terminate(&program);
        pause(random, MAX_LOCK_MS);
        drop(lock);
        instance.wait(shared, program);
    }
    *process = Some(instance.start_program());
}

/// Kills a process during its shutdown.
fn terminate_and_kill(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let mut process = instance.lock();
    if let Some(program) = process.take() {
        instance.terminate(&program);
        pause(random, MAX_LOCK_MS);
        instance.kill(shared, program);
    }
    *process = Some(instance.start_program());
}

/// Starts a successor next to the running process and sends SIGTERM to that process. With probability 0.2 the
/// process is then killed instead of awaited; with the same probability the successor is killed and restarted
/// at the end.
fn replace(shared: &Shared, instance: &Instance, random: &mut Pcg64) {
    let mut process = instance.lock();
    let successor = instance.start_program();
    if let Some(program) = process.take() {
        pause(random, MAX_PAUSE_MS);
        instance.terminate(&program);
        pause(random, MAX_PAUSE_MS);
        if random.random_bool(0.2) {
            instance.kill(shared, program);
        } else {
            instance.wait(shared, program);
        }
    }
    *process = Some(successor);
    drop(process);
    if random.random_bool(0.2) {
        kill(shared, instance, random);
    }
}
