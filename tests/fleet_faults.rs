//! Several real processes of the program with faults between them: what they share holds.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` make the random part another run, or a longer one; a failing seed prints
//! its schedule.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::fleet::*;
use support::Files;

const NONE: Duration = Duration::ZERO;

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| {
        v.parse()
            .unwrap_or_else(|_| panic!("{name}: not a number: {v}"))
    })
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn three_members_have_one_tally_that_equals_the_receipts() {
    let fleet = Fleet::start(Plan::default());
    fleet.joined();
    let clients = Clients::start(&fleet, &[0, 1, 2], 2, &["t0", "t1"], NONE);
    clients.more(300);
    let got = clients.end();
    let tally = fleet.one_tally();
    for tenant in ["t0", "t1"] {
        assert_eq!(
            sum(&tally, "served", Some(tenant)),
            got.served[tenant],
            "{tally}"
        );
    }
    assert_eq!(sum(&tally, "written", None), got.all());
    assert_eq!(
        sum(&tally, "doubtful", None) + sum(&tally, "unsure", None),
        0
    );
    assert_eq!(sum(&tally, "refused", None), got.refused);
}

/// Case 1: Half of the fleet hears nothing under full load of one tenant.
#[test]
fn a_cut_off_half_serves_its_floor_and_the_budget_holds() {
    let plan = Plan {
        members: 4,
        limit: Some(24),
        deadline_ms: 500,
        work: ms(20),
        ..Plan::default()
    };
    let fleet = Fleet::start(plan);
    fleet.joined();
    fleet.seated();
    let clients = Clients::start(&fleet, &[0, 1, 2, 3], 12, &["t0"], NONE);
    clients.more(200);
    fleet.part(&[0, 1]);
    let served = clients.served.load(Ordering::Relaxed);
    let (from, mut shares) = (Instant::now(), Vec::new());
    while from.elapsed() < ms(number("STREAMUSHER_CUT_MS", 4_000)) {
        clients.more(20);
        let used: u64 = [0, 1]
            .iter()
            .map(|&i| {
                fleet.call(i, "fleet")["budgets"][0]["used"]
                    .as_u64()
                    .unwrap()
            })
            .sum();
        shares.push(used);
    }
    assert!(
        shares.iter().rev().take(5).any(|&used| used >= 2),
        "the half that is cut off serves: {shares:?}"
    );
    assert!(clients.served.load(Ordering::Relaxed) > served + 100);
    fleet.heal();
    let got = clients.end();
    let most = fleet.running.most.load(Ordering::SeqCst);
    assert!(most <= 24, "{most} jobs of a budget of 24 ran at once");
    assert!(got.refused > 0, "the budget was full");
    let tally = fleet.one_tally();
    assert_eq!(sum(&tally, "served", Some("t0")), got.all());
}

/// Case 2: Stopped past its lease with traffic waiting in its sockets: not one job on stale rights.
#[test]
fn a_process_that_wakes_spends_nothing_of_before() {
    let plan = Plan {
        members: 3,
        limit: Some(12),
        lease_ms: 600,
        deadline_ms: 400,
        work: ms(50),
        ..Plan::default()
    };
    let fleet = Fleet::start(plan);
    fleet.joined();
    fleet.seated();
    // Member 0 borrows all it can get.
    let first = Clients::start(&fleet, &[0], 12, &["t0"], NONE);
    fleet.wait("rights are borrowed", |f| {
        let held = &f.call(0, "fleet")["budgets"][0];
        if held["borrowed"].as_u64() >= Some(4) {
            Ok(())
        } else {
            Err(held.to_string())
        }
    });
    fleet.signal(0, "STOP");
    // The others have it back and use all of it, while clients wait at the one that is stopped.
    let others = Clients::start(&fleet, &[1, 2], 12, &["t0"], NONE);
    fleet.wait("rights have come back", |f| {
        let own: u64 = [1, 2]
            .iter()
            .map(|&i| f.call(i, "fleet")["budgets"][0]["own"].as_u64().unwrap())
            .sum();
        if own == 8 {
            Ok(())
        } else {
            Err(format!("{own} of 8"))
        }
    });
    others.more(100);
    fleet.signal(0, "CONT");
    others.more(100);
    first.end();
    others.end();
    let most = fleet.running.most.load(Ordering::SeqCst);
    assert!(most <= 12, "{most} jobs of a budget of 12 ran at once");
}

/// Case 3: A life that had lent and one that had borrowed are killed, both at once, and begin again.
#[test]
fn rights_of_killed_processes_come_back_and_never_twice() {
    let plan = Plan {
        members: 3,
        limit: Some(12),
        lease_ms: 500,
        deadline_ms: 300,
        work: ms(30),
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan);
    fleet.joined();
    fleet.seated();
    let clients = Clients::start(&fleet, &[0], 12, &["t0"], NONE);
    clients.more(50);
    fleet.kill(0);
    fleet.kill(1);
    clients.end();
    let all = Clients::start(&fleet, &[0, 1, 2], 8, &["t0"], NONE);
    all.more(20);
    fleet.begin(0);
    fleet.begin(1);
    all.more(50);
    fleet.seated();
    fleet.wait("all of the budget is used again", |f| {
        let held = |i| f.call(i, "fleet")["budgets"][0].clone();
        let (own, lent): (u64, u64) = (0..3).fold((0, 0), |sum, i| {
            let h = held(i);
            let lent: u64 = h["lent"]
                .as_array()
                .unwrap()
                .iter()
                .filter_map(|l| l[1].as_u64())
                .sum();
            (sum.0 + h["own"].as_u64().unwrap(), sum.1 + lent)
        });
        if own + lent == 12 {
            Ok(())
        } else {
            Err(format!("{own} own, {lent} lent"))
        }
    });
    all.more(100);
    all.end();
    let most = fleet.running.most.load(Ordering::SeqCst);
    assert!(most <= 12, "{most} jobs of a budget of 12 ran at once");
}

/// Case 4: Members restarted one after another, no ledger, two copies: the tally equals the receipts to the unit. Where a
/// process was killed between the count and the answer, the unit is named as in doubt.
#[test]
fn restarts_one_after_another_lose_no_unit() {
    let (members, rounds) = (6, number("STREAMUSHER_ROUNDS", 2));
    let mut fleet = Fleet::start(Plan {
        members,
        copies: 2,
        hold_ms: 2_500,
        ..Plan::default()
    });
    fleet.joined();
    let all: Vec<usize> = (0..members).collect();
    let clients = Clients::start(&fleet, &all, 1, &["t0", "t1"], ms(2));
    for _ in 0..rounds {
        for i in 0..members {
            clients.more(30);
            fleet.kill(i);
            fleet.begin(i);
            // The next is killed once the one before is there again, as copies = 2 bear two at once.
            fleet.joined();
        }
    }
    let got = clients.end();
    let tally = fleet.one_tally();
    let (served, unwritten) = (sum(&tally, "served", None), sum(&tally, "unwritten", None));
    let doubtful = sum(&tally, "doubtful", None);
    println!(
        "{} receipts, {served} served, {unwritten} unwritten, {doubtful} in doubt, {} unsure",
        got.all(),
        sum(&tally, "unsure", None)
    );
    assert_eq!(
        sum(&tally, "unsure", None),
        0,
        "no answer went out before its copies were there"
    );
    assert!(
        got.all() <= served - unwritten,
        "nothing that was answered is lost: {} {tally}",
        got.all()
    );
    assert!(
        got.all() + doubtful >= served - unwritten,
        "and each difference is named: {} {tally}",
        got.all()
    );
}

/// Case 4b: Stopped in order, one after another: equal to the unit, with nothing in doubt, and without copies.
#[test]
fn orderly_restarts_are_equal_to_the_unit() {
    let mut fleet = Fleet::start(Plan {
        members: 3,
        deadline_ms: 400,
        ..Plan::default()
    });
    fleet.joined();
    let clients = Clients::start(&fleet, &[0, 1, 2], 2, &["t0", "t1", "t2"], ms(1));
    for i in 0..3 {
        clients.more(50);
        fleet.stop(i);
        fleet.begin(i);
        fleet.joined();
    }
    let got = clients.end();
    let tally = fleet.one_tally();
    let (served, unwritten) = (sum(&tally, "served", None), sum(&tally, "unwritten", None));
    assert_eq!(
        (served - unwritten, sum(&tally, "doubtful", None)),
        (got.all(), 0),
        "{tally}"
    );
    assert_eq!(
        got.failed, 0,
        "what comes after the last answers gets a busy reply: nothing of it has run"
    );
}

/// Case 5: A hears B, B does not hear A: membership stays as it is.
#[test]
fn a_one_way_cut_does_not_flap() {
    let fleet = Fleet::start(Plan {
        members: 4,
        ..Plan::default()
    });
    fleet.joined();
    let changes = |f: &Fleet| -> Vec<u64> {
        (0..4)
            .map(|i| f.call(i, "fleet")["membership_changes"].as_u64().unwrap())
            .collect()
    };
    let before = changes(&fleet);
    fleet.link(
        0,
        1,
        Link {
            cut: true,
            ..Link::default()
        },
    );
    let from = fleet.members[1].relay.passed.load(Ordering::Relaxed);
    fleet.wait("frames go on", |f| {
        let n = f.members[1].relay.passed.load(Ordering::Relaxed) - from;
        if n > 600 {
            Ok(())
        } else {
            Err(n.to_string())
        }
    });
    for (after, before) in changes(&fleet).into_iter().zip(before) {
        assert!(after - before <= 2, "{before} changes, then {after}");
    }
}

/// Case 7: All killed at once and begun again: the tally starts anew and says so.
#[test]
fn a_fleet_killed_whole_says_since_when_it_counts() {
    let mut fleet = Fleet::start(Plan::default());
    fleet.joined();
    let clients = Clients::start(&fleet, &[0, 1, 2], 1, &["t0"], NONE);
    clients.more(30);
    clients.end();
    let before = fleet.one_tally();
    (0..3).for_each(|i| fleet.kill(i));
    (0..3).for_each(|i| fleet.begin(i));
    fleet.joined();
    let clients = Clients::start(&fleet, &[0, 1, 2], 1, &["t0"], NONE);
    clients.more(30);
    let got = clients.end();
    let after = fleet.one_tally();
    assert!(
        after["since_us"].as_u64() > before["since_us"].as_u64(),
        "{before} {after}"
    );
    assert_eq!(sum(&after, "served", None), got.all());
}

/// Case 8: A member whose frames are all 3 s late does not slow the others.
#[test]
fn a_slow_peer_does_not_slow_the_others() {
    let fleet = Fleet::start(Plan {
        members: 4,
        ..Plan::default()
    });
    fleet.joined();
    for i in 0..3 {
        let late = Link {
            late: ms(3_000),
            ..Link::default()
        };
        fleet.link(3, i, late);
        fleet.link(i, 3, late);
    }
    let clients = Clients::start(&fleet, &[0, 1, 2], 1, &["t0"], NONE);
    clients.more(100);
    let got = clients.end();
    let from = Instant::now();
    fleet.wait("the three have one tally", |f| {
        let served: Vec<u64> = (0..3)
            .map(|i| sum(&f.call(i, "tally"), "served", None))
            .collect();
        if served.iter().all(|s| *s == got.all()) {
            Ok(())
        } else {
            Err(format!("{served:?}"))
        }
    });
    let slow = sum(&fleet.call(3, "tally"), "served", None);
    assert!(
        slow < got.all() || from.elapsed() > ms(2_900),
        "the slow one cannot know yet: the links are slow"
    );
}

/// Case 9: Garbage, a foreign fleet's frames, and a flood of them: they are counted by cause, and work goes on.
#[test]
fn garbage_and_foreign_frames_are_dropped_and_counted() {
    let fleet = Fleet::start(Plan {
        members: 3,
        ..Plan::default()
    });
    fleet.joined();
    let clients = Clients::start(&fleet, &[0], 2, &["t0"], NONE);
    clients.more(50);
    let (socket, to) = (
        std::net::UdpSocket::bind("127.0.0.1:0").unwrap(),
        fleet.members[0].udp,
    );
    for n in 0..10_000u32 {
        let bytes: Vec<u8> = match n % 4 {
            0 => vec![0; 7],
            1 => b"SU\x01xxxx0123456789abcdef and so on".to_vec(),
            2 => vec![n as u8; 1_300],
            _ => vec![b'S'; 3_000],
        };
        let _ = socket.send_to(&bytes, to);
    }
    clients.more(50);
    fleet.wait("they are counted", |f| {
        let bad = &f.call(0, "fleet")["bad"];
        if bad["foreign"].as_u64() > Some(100) && bad["cut"].as_u64() > Some(100) {
            Ok(())
        } else {
            Err(bad.to_string())
        }
    });
    let got = clients.end();
    assert_eq!(sum(&fleet.one_tally(), "served", None), got.all());
}

/// A worker at which all fails: once three members have seen it, each knows, also the one that has seen nothing; two are
/// not believed.
#[test]
fn what_several_have_seen_of_a_worker_all_know() {
    let fleet = Fleet::start(Plan {
        members: 4,
        shared: true,
        bad: Some(1),
        work: ms(20),
        ..Plan::default()
    });
    fleet.joined();
    let seen = |f: &Fleet, i: usize| f.call(i, "fleet")["observations"].as_u64().unwrap_or(0);
    let two = Clients::start(&fleet, &[0, 1], 16, &["t0"], NONE);
    fleet.wait("two have seen it", |f| {
        let n = seen(f, 3);
        if n >= 2 {
            Ok(())
        } else {
            Err(format!("{n} observations"))
        }
    });
    assert_eq!(
        fleet.call(3, "fleet")["verdicts"],
        serde_json::json!([]),
        "two are not believed"
    );
    let third = Clients::start(&fleet, &[2], 16, &["t0"], NONE);
    fleet.wait("all know", |f| {
        let verdicts = f.call(3, "fleet")["verdicts"].clone();
        let known = verdicts[0]["worker"] == "shed-1" && verdicts[0]["fault"] == "failing";
        if known && verdicts[0]["authors"].as_u64() >= Some(3) {
            Ok(())
        } else {
            Err(verdicts.to_string())
        }
    });
    two.end();
    third.end();
}

/// With the ledger on as well both have the same answers, to the unit.
#[test]
fn the_ledger_and_the_tally_agree() {
    let mut fleet = Fleet::start(Plan {
        ledger: true,
        copies: 1,
        ..Plan::default()
    });
    fleet.joined();
    let clients = Clients::start(&fleet, &[0, 1, 2], 1, &["t0", "t1"], NONE);
    clients.more(60);
    let got = clients.end();
    let tally = fleet.one_tally();
    (0..3).for_each(|i| fleet.stop(i));
    let key = fleet.files.0.join("ledger.key");
    let mut booked = 0;
    for i in 0..3 {
        let words = ["show", "--json", "--key-file", key.to_str().unwrap()];
        let (code, text) = support::ledger(&fleet.files.0.join(format!("ledger-m{i}")), &words);
        assert_eq!(code, 0, "{text}");
        let shown: serde_json::Value = serde_json::from_str(&text).expect("json");
        booked += served_in(&shown);
    }
    assert_eq!(
        (booked, sum(&tally, "served", None)),
        (got.all(), got.all())
    );
}

/// The sum of all that is called `served` in what the ledger shows.
fn served_in(shown: &serde_json::Value) -> u64 {
    match shown {
        serde_json::Value::Object(map) => map
            .iter()
            .map(|(k, v)| {
                if k == "served" {
                    v.as_u64().unwrap_or(0)
                } else {
                    served_in(v)
                }
            })
            .sum(),
        serde_json::Value::Array(all) => all.iter().map(served_in).sum(),
        _ => 0,
    }
}

/// Mistakes in `[fleet]` end the program with one line that names file and key.
#[rstest::rstest]
#[case("listen = 'x'\nkey_file = 'k'", "fleet.listen: not an address")]
#[case("listen = '127.0.0.1:0'", "missing field `key_file`")]
#[case("listen = '127.0.0.1:0'\nkey_file = 'none'", "fleet.key_file")]
#[case(
    "listen = '127.0.0.1:0'\nkey_file = 'k'\ncopies = 99",
    "fleet.copies: must lie between 0 and 16"
)]
#[case(
    "listen = '127.0.0.1:0'\nkey_file = 'k'\n[fleet.limits]\nt0 = 5",
    "fleet.seats: missing"
)]
#[case(
    "listen = '127.0.0.1:0'\nkey_file = 'k'\nseats = ['a', 'a']",
    "fleet.seats[1]"
)]
#[case(
    "listen = '127.0.0.1:0'\nkey_file = 'k'\nseats = ['x']\n[fleet.limits]\nt0 = 5",
    "fleet.seats: \"n1\" is not among them"
)]
#[case(
    "listen = '127.0.0.1:0'\nkey_file = 'k'\ngossip = 5",
    "unknown field `gossip`"
)]
fn mistakes_are_named(#[case] table: &str, #[case] why: &str) {
    let files = Files::new();
    files.add("k", &"a7".repeat(32));
    let mut config = support::config(&[]);
    config["operators"] = format!("[fleet]\n{table}\n").into();
    let done = support::command(&files, &config, None)
        .output()
        .expect("the program starts");
    let text = String::from_utf8(done.stderr).expect("text");
    let last = text.lines().last().unwrap_or_default();
    assert_eq!(done.status.code(), Some(1), "{text}");
    assert!(
        last.starts_with("streamusher:") && last.contains(why),
        "{last}"
    );
}

/// A fault of the random schedule.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Stop(usize),
    Pause(usize, u64),
    Part(usize, usize),
    OneWay(usize, usize),
    Rough(usize, Link),
}

fn draw(rng: &mut Pcg64, members: usize) -> Fault {
    let (i, j) = (rng.random_range(0..members), rng.random_range(0..members));
    match rng.random_range(0..7) {
        0 => Fault::Kill(i),
        1 => Fault::Stop(i),
        2 => Fault::Pause(i, rng.random_range(100..2_500)),
        3 => Fault::Part(i, j),
        4 => Fault::OneWay(i, j),
        5 => Fault::Rough(
            i,
            Link {
                slow: true,
                ..Link::default()
            },
        ),
        _ => {
            let (lost, twice) = (rng.random_range(0..400), rng.random_range(0..400));
            let (late, jitter) = (ms(rng.random_range(0..300)), ms(rng.random_range(0..300)));
            Fault::Rough(
                i,
                Link {
                    lost,
                    twice,
                    late,
                    jitter,
                    ..Link::default()
                },
            )
        }
    }
}

/// Random faults from a seed, one after another under load: the budget holds at the workers, and at the end there is one
/// tally, in which each receipt is counted and each difference named.
#[test]
fn random_faults_keep_budget_and_tally() {
    let (seed, rounds) = (
        number("STREAMUSHER_SEED", 7),
        number("STREAMUSHER_ROUNDS", 6),
    );
    let (members, limit) = (5, 30);
    let mut rng = Pcg64::seed_from_u64(seed);
    let schedule: Vec<Fault> = (0..rounds).map(|_| draw(&mut rng, members)).collect();
    println!("seed {seed}: {schedule:?}");
    let plan = Plan {
        members,
        copies: 1,
        limit: Some(limit),
        lease_ms: 500,
        deadline_ms: 400,
        hold_ms: 300,
        work: ms(10),
        seed,
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan);
    fleet.joined();
    fleet.seated();
    let all: Vec<usize> = (0..members).collect();
    let clients = Clients::start(&fleet, &all, 4, &["t0"], ms(2));
    for (round, fault) in schedule.into_iter().enumerate() {
        clients.more(30);
        match fault {
            Fault::Kill(i) => {
                fleet.kill(i);
                clients.more(rng.random_range(0..30));
                fleet.begin(i);
            }
            Fault::Stop(i) => {
                fleet.stop(i);
                fleet.begin(i);
            }
            Fault::Pause(i, time) => {
                fleet.signal(i, "STOP");
                std::thread::sleep(ms(time)); // the fault's own length
                fleet.signal(i, "CONT");
            }
            Fault::Part(i, j) => fleet.part(&[i, j]),
            Fault::OneWay(i, j) => fleet.link(
                i,
                j,
                Link {
                    cut: true,
                    ..Link::default()
                },
            ),
            Fault::Rough(i, link) => (0..members).for_each(|j| {
                fleet.link(i, j, link);
                fleet.link(j, i, link);
            }),
        }
        clients.more(60);
        fleet.heal();
        // Copies = 1 bear one kill at a time: the next comes when what there is has spread.
        fleet.joined();
        let most = fleet.running.most.load(Ordering::SeqCst);
        assert!(
            most <= limit,
            "seed {seed}, round {round}, {fault:?}: {most} jobs at once"
        );
    }
    let got = clients.end();
    let tally = fleet.one_tally();
    let of = |unit| sum(&tally, unit, None);
    let (counted, doubtful, unsure) =
        (of("served") - of("unwritten"), of("doubtful"), of("unsure"));
    println!(
        "seed {seed}, {rounds} rounds: {} receipts, {counted} counted, {doubtful} in doubt, {unsure} unsure, {} refused, {} failed",
        got.all(),
        got.refused,
        got.failed
    );
    // An answer that went out unsure may be lost with its process; no other may.
    assert!(
        got.all() <= counted + unsure,
        "seed {seed}: {} receipts, {tally}",
        got.all()
    );
    assert!(
        got.all() + doubtful >= counted,
        "seed {seed}: {} receipts, {tally}",
        got.all()
    );
}
