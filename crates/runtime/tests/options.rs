//! Parsing of command lines.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use streamusher_runtime::options::{
    parse, CommandDescription, OptionsError, ParsedCommandLine, ProgramDescription, RunOptions,
};

const PROGRAM: ProgramDescription = ProgramDescription {
    name: "tool",
    summary: "Does things.",
    version: "1.2.3",
    commands: &[
        CommandDescription {
            name: "one",
            summary: "the first",
        },
        CommandDescription {
            name: "two",
            summary: "the second",
        },
    ],
};

fn arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

#[rstest]
#[case("one", "one", false)]
#[case("--check two", "two", true)]
#[case("two --check", "two", true)]
fn command_and_check_are_parsed(#[case] line: &str, #[case] command: &str, #[case] check: bool) {
    let parsed = parse(&PROGRAM, &arguments(line)).unwrap();

    let ParsedCommandLine::Run(options) = parsed else {
        panic!("{parsed:?}")
    };
    assert_eq!((options.command, options.check), (Some(command), check));
}

#[rstest]
#[case("")]
#[case("three")]
#[case("one two")]
#[case("--fast one")]
fn invalid_command_line_is_an_error_with_a_remedy(#[case] line: &str) {
    let error: OptionsError = parse(&PROGRAM, &arguments(line)).unwrap_err();

    assert!(error.to_string().contains(": "), "{error}");
}

#[test]
fn help_names_every_command_and_option() {
    let ParsedCommandLine::Print(text) = parse(&PROGRAM, &arguments("--help")).unwrap() else {
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
fn program_without_commands_runs_without_a_command() {
    let program = ProgramDescription {
        commands: &[],
        ..PROGRAM
    };

    let options = RunOptions {
        command: None,
        check: true,
        log_level: None,
    };

    assert_eq!(
        parse(&program, &arguments("--check")).unwrap(),
        ParsedCommandLine::Run(options)
    );
}

#[rstest]
#[case("one --log-level debug", Some(log::LevelFilter::Debug))]
#[case("one", None)]
fn log_level_is_parsed(#[case] line: &str, #[case] level: Option<log::LevelFilter>) {
    let parsed = parse(&PROGRAM, &arguments(line)).unwrap();

    let ParsedCommandLine::Run(options) = parsed else {
        panic!("{parsed:?}")
    };
    assert_eq!(options.log_level, level);
}

#[test]
fn unknown_log_level_is_an_error_naming_the_known_ones() {
    let error = parse(&PROGRAM, &arguments("one --log-level loud")).unwrap_err();

    assert!(
        error.to_string().contains("loud") && error.to_string().contains("info"),
        "{error}"
    );
}
