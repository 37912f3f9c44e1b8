//! Slow start of whole fleets: what many instances of the pure slow start, and many dispatchers, send a worker that warms
//! up, in the worst window, against the budget of the operators' page made stricter: N requests plus 2 x root of N + 2.

mod common;

use common::{
    endpoint, sends, settings, settings_with_wide_targets, TestDispatcher, AT_MOST_ONCE,
    IDEMPOTENT, MS, SECOND,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use streamusher::interface::{AttemptOutcome, Endpoint, Micros, Settings};
use streamusher::{SlowStart, SlowStartShare};

const START: f64 = 0.34;
const WARM: Micros = 9 * SECOND;

fn share(age: Micros) -> f64 {
    START + (1.0 - START) * (age as f64 / WARM as f64).min(1.0)
}

/// How far calls at these moments go beyond the budget in the worst window, as a part of it; `calls_at` gives N then.
fn worst(sent: &[Micros], window: Micros, calls_at: impl Fn(Micros) -> f64) -> f64 {
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let mut from = 0;
    let mut most: f64 = 0.0;
    for (to, &at) in sent.iter().enumerate() {
        while sent[from] + window < at {
            from += 1;
        }
        let n = calls_at(sent[from]);
        most = most.max((to + 1 - from) as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    most
}

/// When a fleet's dispatchers have work for the cold worker.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Always: the warm ones are full.
    Steady,
    /// Not until then; from then on always, all at once.
    QuietUntil(Micros),
    /// Now and then, by each one's traffic.
    Sparse,
}

/// Hundreds of instances of the pure ramp, all told of the start at once: those with more traffic have served as much as
/// the warm workers can do, and those with none keep their even parts.
#[rstest]
fn the_sum_of_all_slow_starts_stays_within_the_budget(
    #[values(2, 20, 30, 300)] fleet: u32,
    #[values(
        Demand::Steady,
        Demand::QuietUntil(SECOND),
        Demand::QuietUntil(4 * SECOND),
        Demand::QuietUntil(8 * SECOND),
        Demand::Sparse
    )]
    demand: Demand,
    #[values(1.0, 4.0)] unevenness: f64,
    #[values(2.5, 3.0)] tip: f64,
) {
    let (slots, call, window) = (5.0, 250_000.0, 1_500 * MS);
    let set = Settings {
        dispatchers: fleet,
        overload_multiple: tip,
        overload_tolerance_us: window,
        ..settings()
    };
    let calls_at = |age| tip * slots * share(age) * window as f64 / call;
    for seed in 0..40u64 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let traffic: Vec<f64> = (0..fleet)
            .map(|_| rng.random::<f64>().powf(unevenness))
            .collect();
        let all: f64 = traffic.iter().sum();
        let mut ramps: Vec<SlowStart> = (0..fleet)
            .map(|_| SlowStart::begin(0, START, rng.random(), call))
            .collect();
        let mut sent = Vec::new();
        for now in (0..WARM).step_by(5_000) {
            for (ramp, t) in ramps.iter_mut().zip(&traffic) {
                let wants = match demand {
                    Demand::Steady => true,
                    Demand::QuietUntil(end) => now >= end,
                    // 60 calls a second of the whole fleet.
                    Demand::Sparse => rng.random::<f64>() < t / all * 60.0 * 0.005,
                };
                let usual = slots * t / all;
                let part = SlowStartShare::new(&set, slots, share(now), usual, call);
                if wants && ramp.credit(now, part) >= 0.0 {
                    ramp.spend(now, part, call);
                    sent.push(now);
                }
            }
        }
        assert!(!sent.is_empty(), "it must get some work, or it never warms");
        let most = worst(&sent, window, calls_at);
        assert!(
            most <= 1.0,
            "seed {seed}: {most:.2} of the budget in the worst window, {} calls",
            sent.len()
        );
    }
}

/// Shares far below a call go by chance: over a fleet of 300 about as many calls come as its parts add up to.
#[test]
fn shares_below_a_request_are_sent_by_chance() {
    let (slots, call, window, fleet) = (5.0, 250_000.0, 1_500 * MS, 300u32);
    let set = Settings {
        dispatchers: fleet,
        overload_multiple: 3.0,
        overload_tolerance_us: window,
        ..settings()
    };
    let (mut sent, mut parts) = (0u32, 0.0);
    for seed in 0..u64::from(fleet) {
        let mut ramp = SlowStart::begin(0, START, Pcg64Mcg::seed_from_u64(seed).random(), call);
        for now in (0..2 * SECOND).step_by(5_000) {
            let part = SlowStartShare::new(&set, slots, START, 0.0, call);
            parts += 0.8 * slots * START / f64::from(fleet) * 5_000.0 / call;
            if ramp.credit(now, part) >= 0.0 {
                ramp.spend(now, part, call);
                sent += 1;
            }
        }
    }
    assert!(parts > 5.0 && parts < 30.0, "{parts}");
    assert!(
        (f64::from(sent) - parts).abs() <= 2.0 * parts.sqrt() + 2.0,
        "{sent} calls, {parts} by right"
    );
}

/// Whole dispatchers: a fleet that served at full load, pauses, is told of a cold worker all at once, and then has more
/// than enough for it.
#[rstest]
fn a_fleet_that_was_idle_does_not_overload_a_worker_that_warms_up(
    #[values(20, 30, 300)] fleet: u64,
    #[values(2, 5)] pause_s: u64,
) {
    let (workers, cold) = (20u32, 2u32);
    let set = Settings {
        dispatchers: fleet as u32,
        ..settings_with_wide_targets()
    };
    // Of 200 jobs a second, four in five come to a fifth of the dispatchers.
    let pause_of =
        |n: u64| (fleet * 5_000 / if n.is_multiple_of(5) { 800 } else { 50 }).max(1) * MS;
    let mut sent = Vec::new();
    for n in 0..fleet {
        let mut dispatcher = TestDispatcher::new(set.clone(), workers);
        dispatcher.balancer = streamusher::Balancer::new(set.clone(), n, dispatcher.now);
        dispatcher.update_endpoints(true, (0..workers).map(endpoint).collect());
        let begin = dispatcher.now;
        let mut job = 0;
        while dispatcher.now < begin + 10 * SECOND {
            dispatcher.arrive(job, AT_MOST_ONCE);
            dispatcher.now += pause_of(n).min(100 * MS);
            dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
            dispatcher.now = dispatcher.now.max(begin + (job + 1) * pause_of(n));
            job += 1;
        }
        let since = begin + 11 * SECOND;
        dispatcher.now = since;
        dispatcher.update_endpoints(
            false,
            vec![Endpoint {
                started_at_us: since,
                ..endpoint(cold)
            }],
        );
        dispatcher.now += pause_s * SECOND;
        let mut running = std::collections::VecDeque::new();
        // Work without end, all at once: what the warm ones have no room for goes to the cold one if it may.
        for job in (1_000_000..).take_while(|j| (j - 1_000_000) * 20 < 8_000 - pause_s * 1_000) {
            let (mut actions, mut tried) = (dispatcher.arrive(job, IDEMPOTENT), 0);
            while let Some(&w) = sends(&actions).first() {
                if w == cold {
                    sent.push(dispatcher.now - since);
                    running.push_back((dispatcher.now + 100 * MS, job, tried));
                    break;
                }
                actions = dispatcher.end_attempt(job, tried, AttemptOutcome::Shed);
                tried += 1;
            }
            dispatcher.now += 20 * MS;
            while let Some((_, job, tried)) = running.pop_front_if(|r| r.0 <= dispatcher.now) {
                dispatcher.end_attempt(job, tried, AttemptOutcome::Succeeded);
            }
        }
    }
    let share = |age: Micros| 0.3 + 0.7 * (age as f64 / 8e6).min(1.0);
    // One slot, 100 ms a job.
    let calls_at =
        |age| set.overload_multiple * share(age) * set.overload_tolerance_us as f64 / 100_000.0;
    let most = worst(&sent, set.overload_tolerance_us, calls_at);
    assert!(sent.len() > 3, "it must get some work: {}", sent.len());
    assert!(
        most <= 1.0,
        "{most:.2} of the budget in the worst window, {} calls",
        sent.len()
    );
}
