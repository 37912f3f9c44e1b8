//! Validation of JSON and TOML configuration files by the same checks as changes.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::path::PathBuf;
use streamusher_configuration::{check_file, ConfigurationError};
use support::sample;

/// Writes a file into the temporary folder of the tests.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a writable temporary folder");
    path
}

const TOML: &str = r#"
version = 5
note = "kept"

[[services]]
name = "cores"
health_path = "/health"

[[routes]]
name = "r-one"
host = "host.example"
path_prefix = "/one/"
timeout_ms = 3000
service = "cores"
stretch = 2.5
kind = "unsafe"

[limits]
max_body_bytes = 1000
"#;

#[test]
fn json_file_is_read() {
    let read = check_file(&file("valid.json", &sample(5).to_string())).expect("a valid file");
    assert_eq!(
        read,
        serde_json::from_value(sample(5)).expect("a valid configuration")
    );
}

#[test]
fn toml_file_is_read() {
    let read = check_file(&file("valid.toml", TOML)).expect("a valid file");
    assert_eq!(
        (read.version, &*read.routes[0].name, read.routes[0].stretch),
        (5, "r-one", 2.5)
    );
    assert_eq!(
        (read.limits.max_body_bytes, read.limits.max_header_bytes),
        (1000, 16_384)
    );
    assert_eq!(read.other["note"], "kept");
    assert_eq!(read.routes[0].other["kind"], "unsafe");
}

#[rstest]
#[case(
    "timeout_ms = 3000",
    "timeout_ms = 0",
    "routes[0].timeout_ms is 0: it must be at least 1;"
)]
#[case("timeout_ms = 3000", "timeout_ms = -1", "routes[0].timeout_ms is -1: ")]
#[case(
    "timeout_ms = 3000",
    "timeout_ms = \"long\"",
    "routes[0].timeout_ms is \"long\": "
)]
#[case("timeout_ms = 3000", "", "routes[0] is {")]
#[case(
    "stretch = 2.5",
    "stretch = inf",
    "routes[0].stretch is inf: it must be a finite number"
)]
#[case(
    "stretch = 2.5",
    "stretch = nan",
    "routes[0].stretch is NaN: it must be a finite number"
)]
#[case(
    "service = \"cores\"",
    "service = \"none\"",
    "routes[0].service is \"none\": there is no such service;"
)]
#[case(
    "\"/one/\"",
    "\"one\"",
    "routes[0].path_prefix is \"one\": it must begin with '/';"
)]
#[case("version = 5", "version = 0", "version is 0: it must be above")]
#[case("version = 5", "version = \"5\"", "version is \"5\": ")]
#[case(
    "max_body_bytes = 1000",
    "max_body_bytes = -1",
    "limits.max_body_bytes is -1: "
)]
#[case("[limits]", "[limits", "cannot be read: ")]
fn invalid_toml_field_is_named(#[case] valid: &str, #[case] invalid: &str, #[case] message: &str) {
    let name = format!(
        "invalid-{}.toml",
        invalid
            .bytes()
            .fold(7u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte))
    );
    let error = check_file(&file(&name, &TOML.replace(valid, invalid)))
        .expect_err("an invalid file")
        .to_string();
    assert!(error.starts_with(message), "{error}");
}

#[test]
fn invalid_json_field_is_named() {
    let mut invalid = sample(5);
    invalid["routes"][1]["priority"] = serde_json::json!("high");
    let error = check_file(&file("invalid.json", &invalid.to_string()))
        .expect_err("an invalid file")
        .to_string();
    assert!(
        error.starts_with("routes[1].priority is \"high\": "),
        "{error}"
    );
    for text in ["", "[]", "[5]", "5", "{\"version\":5", "null"] {
        assert!(check_file(&file("malformed.json", text)).is_err(), "{text}");
    }
}

#[test]
fn errors_for_missing_file_and_unknown_format_state_the_remedy() {
    let missing = check_file(&PathBuf::from("no-such-folder/x.toml")).expect_err("a missing file");
    assert!(matches!(missing, ConfigurationError::UnreadableFile { .. }));
    assert!(
        missing
            .to_string()
            .contains("name a file that this user can read"),
        "{missing}"
    );
    let unknown =
        check_file(&file("configuration.yaml", "version: 5")).expect_err("an unknown format");
    assert!(matches!(
        unknown,
        ConfigurationError::UnknownFileFormat { .. }
    ));
    assert!(
        unknown.to_string().contains("name it *.json or *.toml"),
        "{unknown}"
    );
}
