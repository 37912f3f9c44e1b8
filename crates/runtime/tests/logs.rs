//! The logger of a process: which lines it writes, and which line it keeps for the status document. There is
//! only one test, because a process has only one logger.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use log::LevelFilter;
use streamusher_runtime::logs;

#[test]
fn last_error_is_the_most_recent_one_and_library_info_lines_are_disabled() {
    logs::start(Some(LevelFilter::Info));
    let before_any_error = logs::last_error();

    log::warn!("first");
    log::error!("second {}", 2);
    log::info!("third");

    let most_recent = logs::last_error().unwrap();
    assert_eq!(before_any_error, None);
    assert_eq!(
        (most_recent.level, &*most_recent.text),
        ("ERROR", "second 2")
    );
    assert!(log::log_enabled!(target: "streamusher_scheduler", log::Level::Info));
    assert!(!log::log_enabled!(target: "fjall::journal", log::Level::Info));
    assert!(log::log_enabled!(target: "lsm_tree", log::Level::Warn));
}
