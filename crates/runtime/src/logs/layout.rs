//! How a line looks: `2026-12-02T05:52:34.123Z INFO streamusher_scheduler::operators: configuration 1 taken`.

use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time of day in UTC, level, module, text.
#[derive(Debug)]
pub(super) struct LineLayout;

impl Layout for LineLayout {
    fn format(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<Vec<u8>, Error> {
        let time = utc(record.time());
        let level = record.level().name();
        // Lines of one process are told apart by their ends: a text must not bring any of its own.
        let text = record.payload().to_string().replace('\n', " ");
        Ok(format!("{time} {level} {}: {text}", record.target()).into_bytes())
    }
}

/// A time as ISO 8601 in UTC, with milliseconds; a time before 1970 as 1970.
pub fn utc(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since.as_secs();
    let (year, month, day) = date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    let millis = since.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// The date of a day counted from 1970-01-01. Years are counted from March here, so that a leap day is a year's last.
fn date(day: u64) -> (u64, u64, u64) {
    const DAYS_OF_400_YEARS: u64 = 146_097;
    // From 0000-03-01 to 1970-01-01.
    let day = day.saturating_add(719_468);
    let (era, day) = (day / DAYS_OF_400_YEARS, day % DAYS_OF_400_YEARS);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day_of_month = day - (153 * month + 2) / 5 + 1;
    let calendar_month = if month < 10 { month + 3 } else { month - 9 };
    let calendar_year = era * 400 + year + u64::from(calendar_month <= 2);
    (calendar_year, calendar_month, day_of_month)
}
