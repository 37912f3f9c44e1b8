//! Timing of endpoint-list discovery: each row of the table in `list_clock`, and simulated discoveries that
//! fail in different ways. Runs in virtual time.

use rstest::rstest;
use streamusher::interface::Micros;
use streamusher::list_clock::*;

const SECOND: Micros = 1_000_000;

#[rstest]
#[case::written_on_a_watch(Source::OnRequest, Event::Written(9 * SECOND), 10 * SECOND, 9 * SECOND)]
#[case::written_by_the_agent(Source::Pushed, Event::Written(9 * SECOND), 10 * SECOND, 9 * SECOND)]
#[case::reachable(Source::OnRequest, Event::Reachable(9 * SECOND), 10 * SECOND, 15 * SECOND)]
#[case::reachable_agent(Source::Pushed, Event::Reachable(9 * SECOND), 10 * SECOND, 9 * SECOND)]
#[case::unreachable_for_a_long_interval(Source::OnRequest, Event::Unreachable(9 * SECOND, 1), 10 * SECOND, 15 * SECOND)]
#[case::unreachable_for_a_short_interval(Source::OnRequest, Event::Unreachable(9 * SECOND, 1), 2 * SECOND, 11 * SECOND)]
#[case::unreachable_for_four_intervals_is_capped(Source::OnRequest, Event::Unreachable(9 * SECOND, 4), 2 * SECOND, 15 * SECOND)]
#[case::unreachable_for_four_short_intervals(Source::OnRequest, Event::Unreachable(9 * SECOND, 4), SECOND, 13 * SECOND)]
#[case::unreachable_without_a_configured_interval(Source::OnRequest, Event::Unreachable(9 * SECOND, 4), 0, 15 * SECOND)]
#[case::unreachable_agent(Source::Pushed, Event::Unreachable(9 * SECOND, 4), 10 * SECOND, 9 * SECOND)]
#[case::silent(Source::OnRequest, Event::Silent(9 * SECOND), 10 * SECOND, 15 * SECOND)]
#[case::silent_agent(Source::Pushed, Event::Silent(9 * SECOND), 10 * SECOND, 15 * SECOND)]
#[case::moved(Source::OnRequest, Event::Moved(9 * SECOND), 10 * SECOND, 13 * SECOND)]
#[case::moved_agent(Source::Pushed, Event::Moved(9 * SECOND), 10 * SECOND, 13 * SECOND)]
#[case::saturates_at_the_maximum_time(
    Source::OnRequest,
    Event::Unreachable(Micros::MAX, 4),
    Micros::MAX,
    Micros::MAX
)]
fn a_change_is_effective_at(
    #[case] source: Source,
    #[case] event: Event,
    #[case] max_call_interval: Micros,
    #[case] expected: Micros,
) {
    assert_eq!(effective_at(source, event, max_call_interval), expected);
}

#[rstest]
#[case(Source::OnRequest, 1, 10 * SECOND, SECOND)]
#[case(Source::OnRequest, 40, 10 * SECOND, 1_600_000)]
#[case(Source::OnRequest, 300, 20 * SECOND, 2 * SECOND)]
#[case(Source::OnRequest, 300, 0, 2 * SECOND)]
#[case(Source::OnRequest, 300, SECOND, 500_000)]
#[case(Source::OnRequest, 0, 1, 100_000)]
#[case(Source::Pushed, 300, 20 * SECOND, 100_000)]
fn the_longest_pause_scales_with_the_fleet_and_leaves_time_for_a_call(
    #[case] source: Source,
    #[case] fleet: u32,
    #[case] max_call_interval: Micros,
    #[case] expected: Micros,
) {
    let mut clock = ListClock::new(source, fleet, max_call_interval, 1, 0);
    assert_eq!(clock.ceiling_us(), expected);
    let mut now = clock.due();
    for _ in 0..40 {
        clock.call_started(now);
        let pause = clock.call_ended(now);
        assert!(pause <= expected && pause > 0, "{pause}");
        now += pause;
    }
}

#[test]
fn failures_increase_the_pause_and_input_or_a_new_address_resets_it() {
    let mut clock = ListClock::new(Source::OnRequest, 300, 10 * SECOND, 7, 0);
    let mut now = clock.due();
    let fail = |clock: &mut ListClock, now: &mut Micros| {
        clock.call_started(*now);
        let pause = clock.call_ended(*now);
        *now += pause;
        pause
    };
    let pauses: Vec<Micros> = (0..12).map(|_| fail(&mut clock, &mut now)).collect();
    assert!(pauses[0] <= clock.ceiling_us() / 4, "{pauses:?}");
    assert!(
        pauses[6..].iter().any(|p| *p > clock.ceiling_us() / 2),
        "spread over all of it: {pauses:?}"
    );
    clock.call_started(now);
    clock.connected(now);
    clock.watch_opened(now);
    clock.received(now);
    assert!(
        clock.call_ended(now) <= 100_000,
        "the call received something"
    );
    now = clock.due();
    assert!(fail(&mut clock, &mut now) <= clock.ceiling_us() / 4);
    for _ in 0..8 {
        fail(&mut clock, &mut now);
    }
    clock.moved(now);
    assert_eq!(clock.due(), now, "a new address is called at once");
    assert!(fail(&mut clock, &mut now) <= clock.ceiling_us() / 4);
}

/// Guards against synchronised retries: once the calls of a hundred dispatchers fail, the number of calls per
/// second must stay well below a hundred.
#[test]
fn a_failing_fleet_spreads_its_calls() {
    let mut calls = vec![0u32; 60];
    let mut first = Vec::new();
    for seed in 0..100 {
        let mut clock = ListClock::new(Source::OnRequest, 100, 10 * SECOND, seed, 0);
        first.push(clock.due());
        while clock.due() < 60 * SECOND {
            let now = clock.due();
            clock.call_started(now);
            calls[(now / SECOND) as usize] += 1;
            clock.call_ended(now + SECOND); // the timeout of discovery itself
        }
    }
    assert!(
        first.iter().max().unwrap() - first.iter().min().unwrap() > SECOND,
        "the first calls are spread"
    );
    let most = calls[20..50].iter().max().unwrap();
    assert!(*most < 75, "calls a second: {calls:?}");
}

/// Failure of the calls before discovery recovers.
#[derive(Clone, Copy, Debug)]
enum CallFailure {
    /// The watch stays open and sends nothing after its last line.
    Silence,
    /// Connection attempts are not answered.
    ConnectTimeout,
    Refused,
    /// The connection is established, but no response head arrives.
    HeadTimeout,
    /// Discovery responds 503 after this time.
    Busy(Micros),
    /// The watch is opened, but nothing arrives on it.
    Mute,
    /// The watch is opened and reset immediately.
    Reset,
}

/// Regardless of how earlier calls failed, once calls succeed the list arrives before new work for a leaving
/// worker would violate the drain grace period.
#[rstest]
#[case(CallFailure::Silence)]
#[case(CallFailure::ConnectTimeout)]
#[case(CallFailure::Refused)]
#[case(CallFailure::HeadTimeout)]
#[case(CallFailure::Busy(SECOND))]
#[case(CallFailure::Busy(2 * SECOND))]
#[case(CallFailure::Mute)]
#[case(CallFailure::Reset)]
fn the_list_arrives_within_the_drain_grace(
    #[case] failure: CallFailure,
    #[values(Source::OnRequest, Source::Pushed)] source: Source,
    #[values(1, 30, 300)] fleet: u32,
    #[values(2 * SECOND, 10 * SECOND)] max_call_interval: Micros,
) {
    for seed in 0..400u64 {
        let mut clock = ListClock::new(source, fleet, max_call_interval, seed, 0);
        let (recovery, latency) = (20 * SECOND + seed * 23_456, 5_000);
        // Silence starts at the moment of the change; all other faults end at that moment.
        let event = match failure {
            CallFailure::Silence => Event::Silent(recovery),
            _ => Event::Reachable(recovery),
        };
        let received_at = loop {
            let now = clock.due();
            clock.call_started(now);
            let silent_watch = matches!(failure, CallFailure::Silence) && now < recovery;
            if silent_watch || now >= recovery {
                clock.connected(now + latency);
                clock.watch_opened(now + 2 * latency);
                clock.received(now + 2 * latency);
                if now >= recovery {
                    break now + 2 * latency;
                }
                let mut at = now + 2 * latency;
                while at + 2 * SECOND < recovery {
                    at += 2 * SECOND;
                    clock.received(at);
                }
                let due = clock.due();
                clock.call_ended(due);
                continue;
            }
            let ended_at = match failure {
                CallFailure::Silence | CallFailure::ConnectTimeout => clock.due(),
                CallFailure::Refused => now + latency,
                CallFailure::HeadTimeout => {
                    clock.connected(now + latency);
                    clock.due()
                }
                CallFailure::Busy(after) => {
                    clock.connected(now + latency);
                    clock.due().min(now + latency + after)
                }
                CallFailure::Mute => {
                    clock.connected(now + latency);
                    clock.watch_opened(now + 2 * latency);
                    clock.due()
                }
                CallFailure::Reset => {
                    clock.connected(now + latency);
                    clock.watch_opened(now + 2 * latency);
                    now + 3 * latency
                }
            };
            clock.call_ended(ended_at);
        };
        // A mute watch is opened before discovery recovers and fails by silence, which has its own row in the
        // table.
        let effective = match failure {
            CallFailure::Mute => effective_at(source, Event::Silent(recovery), max_call_interval),
            _ => effective_at(source, event, max_call_interval),
        };
        // Eight tenths of the grace period: the strictest limit in any deployment here.
        let deadline = effective + DRAIN_GRACE_US / 10 * 8;
        assert!(
            received_at <= deadline,
            "{failure:?} {source:?} seed {seed}: heard {} us after {deadline}",
            received_at - deadline
        );
    }
}

#[rstest]
fn operations_wait_for_the_first_list_and_expedite_its_call(
    #[values(Source::OnRequest, Source::Pushed)] source: Source,
    #[values(true, false)] list_arrives: bool,
) {
    let mut clock = ListClock::new(source, 300, 10 * SECOND, 7, SECOND);
    assert!(clock.awaits_first());
    clock.expedite(SECOND + 1);
    assert!(clock.due() <= SECOND + 1, "the first call begins at once");
    clock.call_started(SECOND + 1);
    clock.connected(SECOND + 2);
    clock.expedite(SECOND + 2);
    assert!(
        clock.due() > SECOND + 2,
        "a call in progress is not abandoned"
    );
    if list_arrives {
        clock.watch_opened(SECOND + 3);
        assert!(
            clock.awaits_first(),
            "nothing has arrived on the open watch yet"
        );
        clock.received(SECOND + 4);
        assert!(!clock.awaits_first());
    }
    let pause = clock.call_ended(SECOND + 5);
    assert!(
        !clock.awaits_first(),
        "a list has arrived, or the first call has failed"
    );
    clock.expedite(SECOND + 6);
    assert_eq!(
        clock.due(),
        SECOND + 5 + pause,
        "a later call waits for its pause"
    );
}
