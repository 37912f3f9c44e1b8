//! Tests with several real dispatcher processes and faults between them: the shared budget and the shared
//! tally stay correct.
//!
//! `STREAMUSHER_SEED` and `STREAMUSHER_ROUNDS` select another or a longer run of the random test. It prints
//! its seed and schedule.

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
    let received = clients.end();
    let tally = fleet.one_tally();
    for tenant in ["t0", "t1"] {
        assert_eq!(
            sum(&tally, "served", Some(tenant)),
            received.served[tenant],
            "{tally}"
        );
    }
    assert_eq!(sum(&tally, "written", None), received.all());
    assert_eq!(
        sum(&tally, "doubtful", None) + sum(&tally, "unsure", None),
        0
    );
    assert_eq!(sum(&tally, "refused", None), received.refused);
}

/// Case 1: a network partition cuts off half of the fleet under full load of one tenant.
#[test]
fn partitioned_half_serves_its_minimum_and_the_budget_holds() {
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
        "the partitioned half must serve: {shares:?}"
    );
    assert!(clients.served.load(Ordering::Relaxed) > served + 100);
    fleet.heal();
    let received = clients.end();
    let peak_running = fleet.running.most.load(Ordering::SeqCst);
    assert!(
        peak_running <= 24,
        "{peak_running} jobs of a budget of 24 ran at once"
    );
    assert!(
        received.refused > 0,
        "operations must be refused when the budget is full"
    );
    let tally = fleet.one_tally();
    assert_eq!(sum(&tally, "served", Some("t0")), received.all());
}

/// Case 2: a process is stopped for longer than its lease with traffic waiting in its sockets. No job may run
/// on expired rights.
#[test]
fn resumed_process_uses_no_expired_rights() {
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
    // Member 0 borrows all rights that it can get.
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
    // The other members regain the rights and use all of them, while clients wait at the stopped member.
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
    let peak_running = fleet.running.most.load(Ordering::SeqCst);
    assert!(
        peak_running <= 12,
        "{peak_running} jobs of a budget of 12 ran at once"
    );
}

/// Case 3: a process that had lent rights and one that had borrowed some are killed at once and restarted.
#[test]
fn rights_of_killed_processes_return_exactly_once() {
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
    let peak_running = fleet.running.most.load(Ordering::SeqCst);
    assert!(
        peak_running <= 12,
        "{peak_running} jobs of a budget of 12 ran at once"
    );
}

/// Case 4: members are killed and restarted one after another, without a ledger and with two copies. The
/// tally equals the receipts exactly. An operation whose process was killed between the count and the answer
/// is reported as in doubt.
#[test]
fn successive_restarts_lose_no_operation() {
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
            // The next member is killed once the previous one has joined again, because `copies = 2`
            // tolerates two failures at once.
            fleet.joined();
        }
    }
    let received = clients.end();
    let tally = fleet.one_tally();
    let (served, unwritten) = (sum(&tally, "served", None), sum(&tally, "unwritten", None));
    let doubtful = sum(&tally, "doubtful", None);
    println!(
        "{} receipts, {served} served, {unwritten} unwritten, {doubtful} in doubt, {} unsure",
        received.all(),
        sum(&tally, "unsure", None)
    );
    assert_eq!(
        sum(&tally, "unsure", None),
        0,
        "no answer was sent before its copies were stored"
    );
    assert!(
        received.all() <= served - unwritten,
        "no answered operation is lost: {} {tally}",
        received.all()
    );
    assert!(
        received.all() + doubtful >= served - unwritten,
        "each difference is reported as in doubt: {} {tally}",
        received.all()
    );
}

/// Case 4b: members are shut down in order, one after another, without copies. The tally equals the receipts
/// exactly, with nothing in doubt.
#[test]
fn tally_equals_receipts_after_orderly_restarts() {
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
    let received = clients.end();
    let tally = fleet.one_tally();
    let (served, unwritten) = (sum(&tally, "served", None), sum(&tally, "unwritten", None));
    assert_eq!(
        (served - unwritten, sum(&tally, "doubtful", None)),
        (received.all(), 0),
        "{tally}"
    );
    assert_eq!(
        received.failed, 0,
        "operations that arrive after the last answers get a busy reply and have not run"
    );
}

/// Case 5: frames pass in only one direction between two members. The membership stays as it is.
#[test]
fn one_way_cut_does_not_change_membership_repeatedly() {
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
    fleet.wait("frames keep flowing", |f| {
        let n = f.members[1].relay.passed.load(Ordering::Relaxed) - from;
        if n > 600 {
            Ok(())
        } else {
            Err(n.to_string())
        }
    });
    for (after, before) in changes(&fleet).into_iter().zip(before) {
        assert!(
            after - before <= 2,
            "{before} membership changes before the cut, {after} after it"
        );
    }
}

/// Case 7: all members are killed at once and restarted. The tally starts anew and reports its new start
/// time.
#[test]
fn tally_reports_its_start_time_after_all_members_are_killed() {
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
    let received = clients.end();
    let after = fleet.one_tally();
    assert!(
        after["since_us"].as_u64() > before["since_us"].as_u64(),
        "{before} {after}"
    );
    assert_eq!(sum(&after, "served", None), received.all());
}

/// Case 8: a member whose frames are all delayed by 3 s does not slow down the others.
#[test]
fn slow_peer_does_not_slow_the_others() {
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
    let received = clients.end();
    let from = Instant::now();
    fleet.wait("the three have one tally", |f| {
        let served: Vec<u64> = (0..3)
            .map(|i| sum(&f.call(i, "tally"), "served", None))
            .collect();
        if served.iter().all(|s| *s == received.all()) {
            Ok(())
        } else {
            Err(format!("{served:?}"))
        }
    });
    let slow = sum(&fleet.call(3, "tally"), "served", None);
    assert!(
        slow < received.all() || from.elapsed() > ms(2_900),
        "the slow member cannot have the tally yet because its links are delayed"
    );
}

/// Case 9: invalid frames, frames of a foreign fleet, and a flood of both are counted by cause, and the fleet
/// keeps working.
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
    fleet.wait("invalid frames are counted", |f| {
        let bad = &f.call(0, "fleet")["bad"];
        if bad["foreign"].as_u64() > Some(100) && bad["cut"].as_u64() > Some(100) {
            Ok(())
        } else {
            Err(bad.to_string())
        }
    });
    let received = clients.end();
    assert_eq!(sum(&fleet.one_tally(), "served", None), received.all());
}

/// A worker fails all jobs. Once three members have observed it, each member has the verdict, including the
/// one that has observed nothing; observations of two members do not suffice.
#[test]
fn observations_of_several_members_give_a_verdict_at_all_members() {
    let fleet = Fleet::start(Plan {
        members: 4,
        shared: true,
        bad: Some(1),
        work: ms(20),
        ..Plan::default()
    });
    fleet.joined();
    let observations =
        |f: &Fleet, i: usize| f.call(i, "fleet")["observations"].as_u64().unwrap_or(0);
    let first_two_clients = Clients::start(&fleet, &[0, 1], 16, &["t0"], NONE);
    fleet.wait("two members have observed the failures", |f| {
        let n = observations(f, 3);
        if n >= 2 {
            Ok(())
        } else {
            Err(format!("{n} observations"))
        }
    });
    assert_eq!(
        fleet.call(3, "fleet")["verdicts"],
        serde_json::json!([]),
        "observations of two members do not suffice"
    );
    let third_clients = Clients::start(&fleet, &[2], 16, &["t0"], NONE);
    fleet.wait("all members have the verdict", |f| {
        let verdicts = f.call(3, "fleet")["verdicts"].clone();
        let known = verdicts[0]["worker"] == "shed-1" && verdicts[0]["fault"] == "failing";
        if known && verdicts[0]["authors"].as_u64() >= Some(3) {
            Ok(())
        } else {
            Err(verdicts.to_string())
        }
    });
    first_two_clients.end();
    third_clients.end();
}

/// With the ledger enabled too, ledger and tally count the same answers exactly.
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
    let received = clients.end();
    let tally = fleet.one_tally();
    (0..3).for_each(|i| fleet.stop(i));
    let key = fleet.files.0.join("ledger.key");
    let mut recorded = 0;
    for i in 0..3 {
        let arguments = ["show", "--json", "--key-file", key.to_str().unwrap()];
        let (code, text) = support::ledger(&fleet.files.0.join(format!("ledger-m{i}")), &arguments);
        assert_eq!(code, 0, "{text}");
        let shown: serde_json::Value = serde_json::from_str(&text).expect("json");
        recorded += served_in(&shown);
    }
    assert_eq!(
        (recorded, sum(&tally, "served", None)),
        (received.all(), received.all())
    );
}

/// Returns the sum of all fields named `served` in the output of `ledger show`.
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

/// Errors in `[fleet]` terminate the program with one line that names file and key.
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
fn configuration_errors_name_file_and_key(#[case] table: &str, #[case] expected_error: &str) {
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
        last.starts_with("streamusher:") && last.contains(expected_error),
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

fn random_fault(rng: &mut Pcg64, members: usize) -> Fault {
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

/// Injects random faults from a seed, one after another under load: the budget is kept at the workers, and at
/// the end there is one tally, in which each receipt is counted and each difference is reported.
#[test]
fn random_faults_keep_budget_and_tally() {
    let (seed, rounds) = (
        number("STREAMUSHER_SEED", 7),
        number("STREAMUSHER_ROUNDS", 6),
    );
    let (members, limit) = (5, 30);
    let mut rng = Pcg64::seed_from_u64(seed);
    let schedule: Vec<Fault> = (0..rounds)
        .map(|_| random_fault(&mut rng, members))
        .collect();
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
                std::thread::sleep(ms(time)); // duration of the fault
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
        // `copies = 1` tolerates one kill at a time: the next fault is injected once the copies have spread.
        fleet.joined();
        let peak_running = fleet.running.most.load(Ordering::SeqCst);
        assert!(
            peak_running <= limit,
            "seed {seed}, round {round}, {fault:?}: {peak_running} jobs ran at once"
        );
    }
    let received = clients.end();
    let tally = fleet.one_tally();
    let of = |unit| sum(&tally, unit, None);
    let (counted, doubtful, unsure) =
        (of("served") - of("unwritten"), of("doubtful"), of("unsure"));
    println!(
        "seed {seed}, {rounds} rounds: {} receipts, {counted} counted, {doubtful} in doubt, {unsure} unsure, {} refused, {} failed",
        received.all(),
        received.refused,
        received.failed
    );
    // An answer that was sent as unsure may be lost with its process; no other answer may be lost.
    assert!(
        received.all() <= counted + unsure,
        "seed {seed}: {} receipts, {tally}",
        received.all()
    );
    assert!(
        received.all() + doubtful >= counted,
        "seed {seed}: {} receipts, {tally}",
        received.all()
    );
}
