//! Command lines, clocks, signals and the bound on log lines.

use rstest::rstest;
use streamusher_runtime::clock;
use streamusher_runtime::logs::bound::SiteBounds;
use streamusher_runtime::logs::RateBound;
use streamusher_runtime::options::{parse, Chosen, Invocation, OptionsError, Program};
use streamusher_runtime::signals::{Signal, Signals};

const PROGRAM: Program = Program {
    name: "tool",
    summary: "Does things.",
    version: "1.2.3",
    commands: &[("one", "the first"), ("two", "the second")],
};

fn arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

#[rstest]
#[case("one", "one", false)]
#[case("--check two", "two", true)]
#[case("two --check", "two", true)]
fn given_a_command_when_parsed_then_it_is_chosen(
    #[case] line: &str,
    #[case] command: &str,
    #[case] check: bool,
) {
    let invocation = parse(&PROGRAM, &arguments(line)).unwrap();

    let Invocation::Run(chosen) = invocation else {
        panic!("{invocation:?}")
    };
    assert_eq!((chosen.command, chosen.check), (command, check));
}

#[rstest]
#[case("")]
#[case("three")]
#[case("one two")]
#[case("--fast one")]
fn given_a_wrong_line_when_parsed_then_the_error_says_what_to_do(#[case] line: &str) {
    let error: OptionsError = parse(&PROGRAM, &arguments(line)).unwrap_err();

    assert!(error.to_string().contains(": "), "{error}");
}

#[test]
fn given_help_when_parsed_then_every_command_and_option_is_named() {
    let Invocation::Print(text) = parse(&PROGRAM, &arguments("--help")).unwrap() else {
        panic!()
    };

    for word in [
        "one",
        "the second",
        "--check",
        "--version",
        "STREAMUSHER_SETTINGS",
    ] {
        assert!(text.contains(word), "{word}: {text}");
    }
}

#[test]
fn given_no_commands_when_parsed_then_none_is_wanted() {
    let program = Program {
        commands: &[],
        ..PROGRAM
    };

    let chosen = Chosen {
        command: "",
        check: true,
        log_level: None,
    };

    assert_eq!(
        parse(&program, &arguments("--check")).unwrap(),
        Invocation::Run(chosen)
    );
}

#[test]
fn given_a_bound_when_lines_come_often_then_one_passes_and_the_rest_are_counted() {
    let bound = RateBound::new(1_000);

    let allowed: Vec<_> = [0, 10, 999, 1_000, 1_500]
        .map(|now| bound.allow(now))
        .to_vec();

    assert_eq!(allowed, [Some(0), None, None, Some(2), None]);
}

#[test]
fn given_a_place_that_writes_often_then_twenty_lines_pass_and_the_next_span_tells_of_the_rest() {
    let mut bounds = SiteBounds::default();

    let passed = (0..50)
        .filter(|now| bounds.allow(*now, ("here", 1)).is_some())
        .count();
    let other = bounds.allow(50, ("here", 2));
    let later = [
        bounds.allow(10_000, ("here", 1)),
        bounds.allow(10_001, ("here", 1)),
    ];

    assert_eq!(passed, 20);
    assert_eq!(other, Some(0));
    assert_eq!(later, [Some(30), Some(0)]);
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00.000Z")]
#[case(1_772_323_199_999, "2026-02-28T23:59:59.999Z")]
#[case(4_107_542_400_000, "2100-03-01T00:00:00.000Z")]
fn given_a_time_when_written_in_a_line_then_it_is_the_calendars(
    #[case] unix_ms: u64,
    #[case] text: &str,
) {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(unix_ms);

    assert_eq!(streamusher_runtime::logs::layout::utc(time), text);
}

#[rstest]
#[case("one --log-level debug", Some(log::LevelFilter::Debug))]
#[case("one", None)]
fn given_a_level_of_logs_when_parsed_then_it_is_chosen(
    #[case] line: &str,
    #[case] level: Option<log::LevelFilter>,
) {
    let invocation = parse(&PROGRAM, &arguments(line)).unwrap();

    let Invocation::Run(chosen) = invocation else {
        panic!("{invocation:?}")
    };
    assert_eq!(chosen.log_level, level);
}

#[test]
fn given_a_level_that_does_not_exist_when_parsed_then_the_error_names_those_that_do() {
    let error = parse(&PROGRAM, &arguments("one --log-level loud")).unwrap_err();

    assert!(
        error.to_string().contains("loud") && error.to_string().contains("info"),
        "{error}"
    );
}

#[test]
fn given_the_clocks_when_read_twice_then_they_never_go_back_and_keep_their_distance() {
    let (first, second) = (clock::now(), clock::now());

    assert!(second.steady_ms >= first.steady_ms);
    assert_eq!(
        second.unix_ms - second.steady_ms,
        first.unix_ms - first.steady_ms
    );
}

#[test]
fn given_a_signal_when_raised_then_it_is_heard() {
    streamusher_runtime::runtime::block_on(async {
        let mut signals = Signals::new().unwrap();

        signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
        let first = signals.next().await.unwrap();
        signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
        let second = signals.next().await.unwrap();

        assert_eq!((first, second), (Signal::Reload, Signal::Terminate));
        assert!(second.ends() && !first.ends());
    })
    .unwrap();
}
