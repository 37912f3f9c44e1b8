//! Three dispatchers that share one tally, with stand-in workers and clients: one is cut off and heals, another is killed
//! and begins again. Prints what is served and each member's tally as it goes.
//!
//!     cargo run --release --example fleet
//!
//! Ends with 0 where all tallies are one and equal the clients' receipts, otherwise with 1.

#[path = "../tests/support/mod.rs"]
mod support;

use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::fleet::{sum, Clients, Fleet, Plan};

fn show(fleet: &Fleet, clients: &Clients, what: &str, begun: Instant) {
    println!(
        "{:>5.1} s  {what}; {} served",
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

fn play() -> bool {
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
        "three dispatchers, each with its worker",
        begun,
    );
    fleet.part(&[2]);
    clients.more(500);
    show(
        &fleet,
        &clients,
        "m2 hears nobody: its answers wait for a copy, until their time is up",
        begun,
    );
    fleet.heal();
    clients.more(500);
    show(&fleet, &clients, "healed", begun);
    fleet.kill(1);
    clients.more(200);
    fleet.begin(1);
    fleet.joined();
    clients.more(500);
    show(
        &fleet,
        &clients,
        "m1 was killed and has begun again, from nothing",
        begun,
    );
    let got = clients.end();
    let tally = fleet.one_tally();
    let of = |unit| sum(&tally, unit, None);
    let (counted, doubtful) = (of("served") - of("unwritten"), of("doubtful"));
    println!(
        "{:>5.1} s  one tally at all members: {}",
        begun.elapsed().as_secs_f64(),
        tally["digest"]
    );
    println!(
        "         {} receipts; {counted} counted, {doubtful} of them in doubt, {} unsure",
        got.all(),
        of("unsure")
    );
    // What is in doubt was counted at a process that was killed: its client may have the answer or not.
    got.all() <= counted && got.all() + doubtful >= counted
}

fn main() -> ExitCode {
    // The dispatchers are this program again.
    let mut words = std::env::args().skip(1).peekable();
    if words.next_if(|w| w == support::AS_DISPATCHER).is_some() {
        return streamusher::program::main(words);
    }
    match play() {
        true => ExitCode::SUCCESS,
        false => {
            eprintln!("the tally and the receipts differ");
            ExitCode::FAILURE
        }
    }
}
