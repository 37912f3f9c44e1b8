//! Runs three dispatchers that share one tally, with simulated workers and clients: one is partitioned and
//! reconnected, another is killed and restarted. Prints the served operations and each member's tally along
//! the way.
//!
//!     cargo run --release --example fleet
//!
//! Exits with 0 if all tallies are identical and agree with the clients' receipts, otherwise with 1.

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::fleet::{sum, Clients, Fleet, Plan};

fn show(fleet: &Fleet, clients: &Clients, label: &str, begun: Instant) {
    println!(
        "{:>5.1} s  {label}; {} served",
        begun.elapsed().as_secs_f64(),
        clients.served.load(Ordering::Relaxed)
    );
    for i in fleet.live() {
        let (seen, tally) = (fleet.call(i, "fleet"), fleet.call(i, "tally"));
        let others: Vec<String> = seen["members"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|m| {
                format!(
                    "{} {}",
                    m["name"].as_str().unwrap_or("?"),
                    m["standing"].as_str().unwrap_or("?")
                )
            })
            .collect();
        let digest = tally["digest"].as_str().unwrap_or("?");
        println!(
            "         m{i}: tally {digest}, {} served; sees {}",
            sum(&tally, "served", None),
            others.join(", ")
        );
    }
}

fn run_scenario() -> bool {
    let begun = Instant::now();
    let mut fleet = Fleet::start(Plan {
        copies: 1,
        ..Plan::default()
    });
    fleet.joined();
    let clients = Clients::start(
        &fleet,
        &[0, 1, 2],
        2,
        &["t0", "t1"],
        Duration::from_millis(2),
    );
    clients.more(500);
    show(
        &fleet,
        &clients,
        "three dispatchers, each with its own worker",
        begun,
    );
    fleet.part(&[2]);
    clients.more(500);
    show(
        &fleet,
        &clients,
        "m2 is partitioned: its answers wait for a copy until their time limit expires",
        begun,
    );
    fleet.heal();
    clients.more(500);
    show(&fleet, &clients, "m2 is connected again", begun);
    fleet.kill(1);
    clients.more(200);
    fleet.begin(1);
    fleet.joined();
    clients.more(500);
    show(
        &fleet,
        &clients,
        "m1 was killed and has restarted without state",
        begun,
    );
    let receipts = clients.end();
    let tally = fleet.one_tally();
    let of = |unit| sum(&tally, unit, None);
    let (counted, doubtful) = (of("served") - of("unwritten"), of("doubtful"));
    println!(
        "{:>5.1} s  identical tally at all members: {}",
        begun.elapsed().as_secs_f64(),
        tally["digest"]
    );
    println!(
        "         {} receipts; {counted} counted, {doubtful} of them in doubt, {} unsure",
        receipts.all(),
        of("unsure")
    );
    // An operation in doubt was counted by a process that was killed: its client may or may not have received
    // the answer.
    receipts.all() <= counted && receipts.all() + doubtful >= counted
}

fn main() -> ExitCode {
    // The dispatchers are further processes of this program.
    let mut arguments = std::env::args().skip(1).peekable();
    if arguments.next_if(|w| w == support::AS_DISPATCHER).is_some() {
        return streamusher::program::main(arguments);
    }
    match run_scenario() {
        true => ExitCode::SUCCESS,
        false => {
            eprintln!("the shared tally does not agree with the clients' receipts");
            ExitCode::FAILURE
        }
    }
}
