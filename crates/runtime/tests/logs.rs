//! The logger of a process: what is written, and what is kept for the status. One test, as a process has one logger.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use log::LevelFilter;
use streamusher_runtime::logs;

#[test]
fn newest_warning_is_kept_and_libraries_are_quiet() {
    logs::start(Some(LevelFilter::Info));
    let none_yet = logs::last_error();

    log::warn!("first");
    log::error!("second {}", 2);
    log::info!("third");

    let kept = logs::last_error().unwrap();
    assert_eq!(none_yet, None);
    assert_eq!((kept.level, &*kept.text), ("ERROR", "second 2"));
    assert!(log::log_enabled!(target: "streamusher_scheduler", log::Level::Info));
    assert!(!log::log_enabled!(target: "fjall::journal", log::Level::Info));
    assert!(log::log_enabled!(target: "lsm_tree", log::Level::Warn));
}
