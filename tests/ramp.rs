//! Tests of the slow start over whole fleets: the requests that many instances of the pure slow start, and
//! many dispatchers, send to a worker that warms up, compared in the worst window with a stricter form of the
//! budget in the operators' documentation: N requests plus 2 x the square root of N, plus 2.

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

const START_SHARE: f64 = 0.34;
const WARM_UP_TIME: Micros = 9 * SECOND;

fn share(age: Micros) -> f64 {
    START_SHARE + (1.0 - START_SHARE) * (age as f64 / WARM_UP_TIME as f64).min(1.0)
}

/// Returns the highest ratio of requests to budget in any window. `sent` holds the send times; `calls_at`
/// gives N for the start of a window.
fn highest_budget_ratio(sent: &[Micros], window: Micros, calls_at: impl Fn(Micros) -> f64) -> f64 {
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let mut from = 0;
    let mut highest_ratio: f64 = 0.0;
    for (to, &at) in sent.iter().enumerate() {
        while sent[from] + window < at {
            from += 1;
        }
        let n = calls_at(sent[from]);
        highest_ratio = highest_ratio.max((to + 1 - from) as f64 / (n + 2.0 * n.sqrt() + 2.0));
    }
    highest_ratio
}

/// When a fleet's dispatchers have work for the cold worker.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Always, because the warm workers are full.
    Steady,
    /// No work until the given time; from then on always, in all dispatchers at once.
    QuietUntil(Micros),
    /// Occasionally, by each dispatcher's traffic.
    Sparse,
}

/// Hundreds of instances of the pure slow start that all learn of the worker's start at once. Dispatchers
/// with more traffic have served as much as the warm workers can do; those without traffic keep an even
/// share.
#[rstest]
fn sum_of_all_slow_starts_stays_within_the_budget(
    #[values(2, 20, 30, 300)] fleet: u32,
    #[values(
        Demand::Steady,
        Demand::QuietUntil(SECOND),
        Demand::QuietUntil(4 * SECOND),
        Demand::QuietUntil(8 * SECOND),
        Demand::Sparse
    )]
    demand: Demand,
    #[values(1.0, 4.0)] traffic_exponent: f64,
    #[values(2.5, 3.0)] overload_multiple: f64,
) {
    let (slots, call, window) = (5.0, 250_000.0, 1_500 * MS);
    let set = Settings {
        dispatchers: fleet,
        overload_multiple,
        overload_tolerance_us: window,
        ..settings()
    };
    let calls_at = |age| overload_multiple * slots * share(age) * window as f64 / call;
    for seed in 0..40u64 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let traffic: Vec<f64> = (0..fleet)
            .map(|_| rng.random::<f64>().powf(traffic_exponent))
            .collect();
        let total_traffic: f64 = traffic.iter().sum();
        let mut ramps: Vec<SlowStart> = (0..fleet)
            .map(|_| SlowStart::begin(0, START_SHARE, rng.random(), call))
            .collect();
        let mut sent = Vec::new();
        for now in (0..WARM_UP_TIME).step_by(5_000) {
            for (ramp, t) in ramps.iter_mut().zip(&traffic) {
                let wants = match demand {
                    Demand::Steady => true,
                    Demand::QuietUntil(end) => now >= end,
                    // The whole fleet sends 60 calls a second.
                    Demand::Sparse => rng.random::<f64>() < t / total_traffic * 60.0 * 0.005,
                };
                let usual = slots * t / total_traffic;
                let slow_start_share = SlowStartShare::new(&set, slots, share(now), usual, call);
                if wants && ramp.credit(now, slow_start_share) >= 0.0 {
                    ramp.spend(now, slow_start_share, call);
                    sent.push(now);
                }
            }
        }
        assert!(
            !sent.is_empty(),
            "the worker must get some work, or it never warms up"
        );
        let highest_ratio = highest_budget_ratio(&sent, window, calls_at);
        assert!(
            highest_ratio <= 1.0,
            "seed {seed}: {highest_ratio:.2} of the budget in the worst window, {} calls",
            sent.len()
        );
    }
}

/// Shares far below one request are sent by chance: a fleet of 300 sends about as many requests as its shares
/// add up to.
#[test]
fn shares_below_a_request_are_sent_by_chance() {
    let (slots, call, window, fleet) = (5.0, 250_000.0, 1_500 * MS, 300u32);
    let set = Settings {
        dispatchers: fleet,
        overload_multiple: 3.0,
        overload_tolerance_us: window,
        ..settings()
    };
    let (mut sent, mut expected) = (0u32, 0.0);
    for seed in 0..u64::from(fleet) {
        let mut ramp =
            SlowStart::begin(0, START_SHARE, Pcg64Mcg::seed_from_u64(seed).random(), call);
        for now in (0..2 * SECOND).step_by(5_000) {
            let slow_start_share = SlowStartShare::new(&set, slots, START_SHARE, 0.0, call);
            expected += 0.8 * slots * START_SHARE / f64::from(fleet) * 5_000.0 / call;
            if ramp.credit(now, slow_start_share) >= 0.0 {
                ramp.spend(now, slow_start_share, call);
                sent += 1;
            }
        }
    }
    assert!(expected > 5.0 && expected < 30.0, "{expected}");
    assert!(
        (f64::from(sent) - expected).abs() <= 2.0 * expected.sqrt() + 2.0,
        "{sent} calls sent, {expected} expected"
    );
}

/// Whole dispatchers: a fleet that served at full load pauses, learns of a cold worker all at once, and then
/// has more than enough work for it.
#[rstest]
fn idle_fleet_does_not_overload_a_worker_that_warms_up(
    #[values(20, 30, 300)] fleet: u64,
    #[values(2, 5)] pause_s: u64,
) {
    let (workers, cold) = (20u32, 2u32);
    let set = Settings {
        dispatchers: fleet as u32,
        ..settings_with_wide_targets()
    };
    // Of 200 jobs a second, four fifths arrive at a fifth of the dispatchers.
    let arrival_interval =
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
            dispatcher.now += arrival_interval(n).min(100 * MS);
            dispatcher.end_attempt(job, 0, AttemptOutcome::Succeeded);
            dispatcher.now = dispatcher.now.max(begin + (job + 1) * arrival_interval(n));
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
        // Unlimited work at all dispatchers at once: work for which the warm workers have no capacity goes to
        // the cold worker if the slow start permits it.
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
    // The worker has one slot, and a job takes 100 ms.
    let calls_at =
        |age| set.overload_multiple * share(age) * set.overload_tolerance_us as f64 / 100_000.0;
    let highest_ratio = highest_budget_ratio(&sent, set.overload_tolerance_us, calls_at);
    assert!(
        sent.len() > 3,
        "the worker must get some work: {}",
        sent.len()
    );
    assert!(
        highest_ratio <= 1.0,
        "{highest_ratio:.2} of the budget in the worst window, {} calls",
        sent.len()
    );
}
