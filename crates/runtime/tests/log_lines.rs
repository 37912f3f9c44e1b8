//! Rate limits and time format of log lines.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use streamusher_runtime::logs::rate_limit::{CallSite, CallSiteLimiter, RateLimiter};

fn call_site(line: u32) -> CallSite {
    CallSite {
        module: "here",
        line,
    }
}

#[test]
fn rate_limiter_passes_one_line_and_counts_the_rest() {
    let limiter = RateLimiter::new(1_000);

    let allowed: Vec<_> = [0, 10, 999, 1_000, 1_500]
        .map(|now| limiter.allow(now))
        .to_vec();

    assert_eq!(allowed, [Some(0), None, None, Some(2), None]);
}

#[test]
fn call_site_limiter_passes_twenty_lines_and_reports_the_rest_in_the_next_window() {
    let mut limiter = CallSiteLimiter::default();

    let passed = (0..50)
        .filter(|now| limiter.allow(*now, call_site(1)).is_some())
        .count();
    let other = limiter.allow(50, call_site(2));
    let later = [
        limiter.allow(10_000, call_site(1)),
        limiter.allow(10_001, call_site(1)),
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
fn time_is_written_in_utc(#[case] unix_ms: u64, #[case] text: &str) {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(unix_ms);

    assert_eq!(streamusher_runtime::logs::utc(time), text);
}
