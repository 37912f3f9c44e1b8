//! A logger that captures the log lines of each test's thread.

use std::cell::RefCell;
use std::sync::Once;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

/// Installs the logger. Must be called at the start of each test that reads lines.
pub(crate) fn install() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&Capture).expect("no other logger is installed");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns the lines that this thread has logged.
pub(crate) fn lines() -> Vec<String> {
    LINES.with_borrow(Clone::clone)
}
