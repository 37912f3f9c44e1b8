//! Format of a log line, for example:
//!
//! ```text
//! 2026-12-02T05:52:34.123Z INFO streamusher_scheduler::operator_requests: configuration 1 taken
//! ```

use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a record as time of day in UTC, level, module and text.
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
        // Each record is one line, so line breaks in its text are replaced by spaces.
        let text = record.payload().to_string().replace('\n', " ");
        Ok(format!("{time} {level} {}: {text}", record.target()).into_bytes())
    }
}

/// Formats a time as ISO 8601 in UTC with milliseconds. A time before 1970 is formatted as the start of 1970.
pub fn utc(time: SystemTime) -> String {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = since_epoch.as_secs();
    let Date { year, month, day } = date_of(seconds / SECONDS_PER_DAY);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    let millis = since_epoch.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

struct Date {
    year: u64,
    month: u64,
    day: u64,
}

/// Returns the Gregorian date of a day, given as the number of days since 1970-01-01.
///
/// The computation uses eras of 400 years and years that begin in March, so that a leap day is the last day
/// of its year (H. Hinnant, "chrono-Compatible Low-Level Date Algorithms").
fn date_of(days_since_1970: u64) -> Date {
    const DAYS_PER_ERA: u64 = 146_097;
    const DAYS_FROM_MARCH_0000_TO_1970: u64 = 719_468;
    let days = days_since_1970.saturating_add(DAYS_FROM_MARCH_0000_TO_1970);
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    Date { year, month, day }
}
