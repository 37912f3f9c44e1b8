//! The list's clock by row of its table, and played against discoveries that fail in every way: pure, in virtual time.

use rstest::rstest;
use streamusher::interface::Micros;
use streamusher::list_clock::*;

const S: Micros = 1_000_000;

#[rstest]
#[case::written_on_a_watch(Source::OnRequest, Event::Written(9 * S), 10 * S, 9 * S)]
#[case::written_by_the_agent(Source::Pushed, Event::Written(9 * S), 10 * S, 9 * S)]
#[case::reachable(Source::OnRequest, Event::Reachable(9 * S), 10 * S, 15 * S)]
#[case::the_agent_has_it(Source::Pushed, Event::Reachable(9 * S), 10 * S, 9 * S)]
#[case::unasked_for_long(Source::OnRequest, Event::Unreachable(9 * S, 1), 10 * S, 15 * S)]
#[case::unasked_for_a_short_time(Source::OnRequest, Event::Unreachable(9 * S, 1), 2 * S, 11 * S)]
#[case::a_failed_call_bears_no_more(Source::OnRequest, Event::Unreachable(9 * S, 4), 2 * S, 15 * S)]
#[case::a_failed_call_of_a_quick_site(Source::OnRequest, Event::Unreachable(9 * S, 4), S, 13 * S)]
#[case::settings_without_a_time(Source::OnRequest, Event::Unreachable(9 * S, 4), 0, 15 * S)]
#[case::unasked_but_pushed(Source::Pushed, Event::Unreachable(9 * S, 4), 10 * S, 9 * S)]
#[case::silent(Source::OnRequest, Event::Silent(9 * S), 10 * S, 15 * S)]
#[case::silent_agent(Source::Pushed, Event::Silent(9 * S), 10 * S, 15 * S)]
#[case::moved(Source::OnRequest, Event::Moved(9 * S), 10 * S, 13 * S)]
#[case::moved_agent(Source::Pushed, Event::Moved(9 * S), 10 * S, 13 * S)]
#[case::the_end_of_time(
    Source::OnRequest,
    Event::Unreachable(Micros::MAX, 4),
    Micros::MAX,
    Micros::MAX
)]
fn a_change_counts_as_told(
    #[case] source: Source,
    #[case] event: Event,
    #[case] within: Micros,
    #[case] want: Micros,
) {
    assert_eq!(effective_at(source, event, within), want);
}

#[rstest]
#[case(Source::OnRequest, 1, 10 * S, S)]
#[case(Source::OnRequest, 40, 10 * S, 1_600_000)]
#[case(Source::OnRequest, 300, 20 * S, 2 * S)]
#[case(Source::OnRequest, 300, 0, 2 * S)]
#[case(Source::OnRequest, 300, S, 500_000)]
#[case(Source::OnRequest, 0, 1, 100_000)]
#[case(Source::Pushed, 300, 20 * S, 100_000)]
fn the_longest_pause_follows_the_fleet_and_leaves_time_for_a_call(
    #[case] source: Source,
    #[case] fleet: u32,
    #[case] within: Micros,
    #[case] want: Micros,
) {
    let mut clock = ListClock::new(source, fleet, within, 1, 0);
    assert_eq!(clock.ceiling_us(), want);
    let mut now = clock.due();
    for _ in 0..40 {
        clock.call_started(now);
        let pause = clock.call_ended(now);
        assert!(pause <= want && pause > 0, "{pause}");
        now += pause;
    }
}

#[test]
fn failures_grow_the_pause_and_a_word_or_another_address_starts_it_anew() {
    let mut clock = ListClock::new(Source::OnRequest, 300, 10 * S, 7, 0);
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
    assert!(clock.call_ended(now) <= 100_000, "it had something to say");
    now = clock.due();
    assert!(fail(&mut clock, &mut now) <= clock.ceiling_us() / 4);
    for _ in 0..8 {
        fail(&mut clock, &mut now);
    }
    clock.moved(now);
    assert_eq!(clock.due(), now, "another address is called at once");
    assert!(fail(&mut clock, &mut now) <= clock.ceiling_us() / 4);
}

/// Guards against a fleet that calls as one: what a hundred ask of discovery in a second, once their calls fail, stays
/// far below a hundred.
#[test]
fn a_failing_fleet_spreads_its_calls() {
    let mut calls = vec![0u32; 60];
    let mut first = Vec::new();
    for seed in 0..100 {
        let mut clock = ListClock::new(Source::OnRequest, 100, 10 * S, seed, 0);
        first.push(clock.due());
        while clock.due() < 60 * S {
            let now = clock.due();
            clock.call_started(now);
            calls[(now / S) as usize] += 1;
            clock.call_ended(now + S); // discovery's own time-out
        }
    }
    assert!(
        first.iter().max().unwrap() - first.iter().min().unwrap() > S,
        "the first calls are spread"
    );
    let most = calls[20..50].iter().max().unwrap();
    assert!(*most < 75, "calls a second: {calls:?}");
}

/// How calls end before discovery is back, or answers again.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// A watch that stays open and says nothing, after its last line.
    Silence,
    /// Nobody answers a dial.
    NoDial,
    Refused,
    /// A dial comes up, and no head ever comes.
    NoHead,
    /// 503 after so long.
    Busy(Micros),
    /// The watch is answered, and nothing is said on it.
    Mute,
    /// The watch is answered and reset at once.
    Reset,
}

/// Whatever became of the calls before, once each call succeeds the list is there before new work to a worker that
/// leaves would break the rule.
#[rstest]
#[case(Trouble::Silence)]
#[case(Trouble::NoDial)]
#[case(Trouble::Refused)]
#[case(Trouble::NoHead)]
#[case(Trouble::Busy(S))]
#[case(Trouble::Busy(2 * S))]
#[case(Trouble::Mute)]
#[case(Trouble::Reset)]
fn the_list_is_heard_in_time(
    #[case] trouble: Trouble,
    #[values(Source::OnRequest, Source::Pushed)] source: Source,
    #[values(1, 30, 300)] fleet: u32,
    #[values(2 * S, 10 * S)] within: Micros,
) {
    for seed in 0..400u64 {
        let mut clock = ListClock::new(source, fleet, within, seed, 0);
        let (back, way) = (20 * S + seed * 23_456, 5_000);
        // A watch that falls silent at the moment of the change; the other troubles end at that moment.
        let event = match trouble {
            Trouble::Silence => Event::Silent(back),
            _ => Event::Reachable(back),
        };
        let heard = loop {
            let now = clock.due();
            clock.call_started(now);
            let silent_watch = matches!(trouble, Trouble::Silence) && now < back;
            if silent_watch || now >= back {
                clock.connected(now + way);
                clock.watch_opened(now + 2 * way);
                clock.received(now + 2 * way);
                if now >= back {
                    break now + 2 * way;
                }
                let mut at = now + 2 * way;
                while at + 2 * S < back {
                    at += 2 * S;
                    clock.received(at);
                }
                let due = clock.due();
                clock.call_ended(due);
                continue;
            }
            let ends = match trouble {
                Trouble::Silence | Trouble::NoDial => clock.due(),
                Trouble::Refused => now + way,
                Trouble::NoHead => {
                    clock.connected(now + way);
                    clock.due()
                }
                Trouble::Busy(after) => {
                    clock.connected(now + way);
                    clock.due().min(now + way + after)
                }
                Trouble::Mute => {
                    clock.connected(now + way);
                    clock.watch_opened(now + 2 * way);
                    clock.due()
                }
                Trouble::Reset => {
                    clock.connected(now + way);
                    clock.watch_opened(now + 2 * way);
                    now + 3 * way
                }
            };
            clock.call_ended(ends);
        };
        // A mute watch is opened before discovery is back and breaks by its silence, which has its own row.
        let told = match trouble {
            Trouble::Mute => effective_at(source, Event::Silent(back), within),
            _ => effective_at(source, event, within),
        };
        // Eight tenths of the grace: the strictest that any deployment here names.
        let by = told + DRAIN_GRACE_US / 10 * 8;
        assert!(
            heard <= by,
            "{trouble:?} {source:?} seed {seed}: heard {} us after {by}",
            heard - by
        );
    }
}

#[rstest]
fn operations_wait_for_the_first_list_and_hurry_its_call(
    #[values(Source::OnRequest, Source::Pushed)] source: Source,
    #[values(true, false)] comes: bool,
) {
    let mut clock = ListClock::new(source, 300, 10 * S, 7, S);
    assert!(clock.awaits_first());
    clock.expedite(S + 1);
    assert!(clock.due() <= S + 1, "the first call begins at once");
    clock.call_started(S + 1);
    clock.connected(S + 2);
    clock.expedite(S + 2);
    assert!(clock.due() > S + 2, "a call in hand is not given up");
    if comes {
        clock.watch_opened(S + 3);
        assert!(clock.awaits_first(), "an open watch has said nothing yet");
        clock.received(S + 4);
        assert!(!clock.awaits_first());
    }
    let pause = clock.call_ended(S + 5);
    assert!(
        !clock.awaits_first(),
        "there is a list, or none is to be had"
    );
    clock.expedite(S + 6);
    assert_eq!(clock.due(), S + 5 + pause, "a later call takes its pause");
}
