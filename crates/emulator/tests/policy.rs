//! What decisions earn, on a few days of the experiments: the policy is no worse than the simplest one, whatever is urgent.

use rstest::rstest;
use std::sync::Arc;
use streamusher_emulator::experiment::{play_all, Estimate, Played, Trouble};
use streamusher_emulator::workload::{presets, Workload};
use streamusher_scheduler::{Mechanism, Policy};

/// Days of each kind.
const SEEDS: std::ops::Range<u64> = 1..5;
const THREADS: usize = 3;
/// What a few days' mean may be off by chance.
const CHANCE: f64 = 0.04;

fn played(workload: Workload, trouble: Trouble, policies: &[Policy]) -> Vec<Vec<Played>> {
    let played = play_all(&Arc::new(workload), trouble, policies, SEEDS, THREADS);
    for day in played.first().into_iter().flatten() {
        assert!(
            day.violations.is_empty(),
            "seed {}: {:?}",
            day.seed,
            day.violations
        );
    }
    played
}

fn figures(days: &[Played]) -> Vec<f64> {
    days.iter().map(|day| day.account.figure()).collect()
}

#[rstest]
fn given_any_workload_when_it_is_played_then_the_policy_earns_no_less_than_the_simplest(
    #[values(
        "short-first",
        "long-first",
        "level",
        "unlike-workers",
        "far-data",
        "gangs-only"
    )]
    name: &str,
) {
    let workload = presets::named(name).expect("a workload of ours");
    let days = played(
        workload,
        Trouble::Workers,
        &[Policy::default(), Policy::first_fit()],
    );
    let gain = Estimate::of_pairs(&figures(&days[1]), &figures(&days[0]));
    assert!(
        gain.mean > -CHANCE,
        "{name}: {gain} against the simplest policy"
    );
}

#[test]
fn given_long_work_that_is_most_urgent_when_short_work_cannot_wait_then_both_are_in_time() {
    let without = Policy::default().without(Mechanism::Headroom);
    let days = played(
        presets::long_first(),
        Trouble::Calm,
        &[Policy::default(), without],
    );
    let mean = |days: &[Played], class: usize| {
        Estimate::of(
            &days
                .iter()
                .map(|day| day.account.classes[class].value())
                .collect::<Vec<f64>>(),
        )
        .mean
    };
    let (short, long) = (mean(&days[0], 0), mean(&days[0], 1));
    assert!(
        short > 0.9,
        "short jobs earn {short:.3} ({:.3} without headroom)",
        mean(&days[1], 0)
    );
    assert!(long > 0.75, "long jobs earn {long:.3}");
}

#[test]
fn given_a_seed_when_its_day_is_played_twice_then_it_earns_the_same() {
    let workload = Arc::new(presets::short_first());
    let play = || {
        streamusher_emulator::experiment::play(&workload, Trouble::Failover, Policy::default(), 3)
    };
    let (first, second) = (play(), play());
    assert_eq!(first.account.figure(), second.account.figure());
    assert_eq!(first.starts, second.starts);
}
