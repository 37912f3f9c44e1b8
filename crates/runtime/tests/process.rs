//! The clocks and signals of a process.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use streamusher_runtime::clock;
use streamusher_runtime::signals::{Signal, Signals};

#[test]
fn clocks_are_monotonic_and_their_difference_is_constant() {
    let (first, second) = (clock::now(), clock::now());

    assert!(second.steady_ms >= first.steady_ms);
    assert_eq!(
        second.unix_ms - second.steady_ms,
        first.unix_ms - first.steady_ms
    );
}

#[test]
fn raised_signals_are_received() {
    streamusher_runtime::event_loop::block_on(async {
        let mut signals = Signals::new().unwrap();

        signal_hook::low_level::raise(signal_hook::consts::SIGHUP).unwrap();
        let first = signals.next().await.unwrap();
        signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
        let second = signals.next().await.unwrap();

        assert_eq!((first, second), (Signal::Reload, Signal::Terminate));
        assert!(second.is_shutdown() && !first.is_shutdown());
    })
    .unwrap();
}
