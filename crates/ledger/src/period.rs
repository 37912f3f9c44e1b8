//! Billing periods: hours, days or months in UTC. A period includes its start and excludes its end. Computed
//! from Unix time, without I/O.

use crate::entry::Micros;
use jiff::{civil, tz::TimeZone, Timestamp, Unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Length of the periods of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// From one full hour to the next.
    Hour,
    /// From midnight UTC to the next midnight.
    Day,
    /// From the first day of a month to the first day of the next.
    Month,
}

/// One period, given by its length and the Unix time in seconds at which it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Period {
    start_s: i64,
    span: Span,
}

/// Latest start of a period, in seconds of Unix time. Times are limited to the end of the year 9000 so that
/// calendar arithmetic cannot overflow.
const MAX_SECOND: i64 = 221_845_392_000;

impl Period {
    /// Returns the period that contains a point in time.
    pub fn of(span: Span, time_us: Micros) -> Period {
        let second = ((time_us / 1_000_000) as i64).min(MAX_SECOND);
        let start_s = match span {
            Span::Hour => second - second.rem_euclid(3_600),
            Span::Day => second - second.rem_euclid(86_400),
            Span::Month => {
                let day = utc_datetime(second).date().first_of_month();
                midnight_utc(day)
            }
        };
        Period { start_s, span }
    }

    /// Returns the period of this length that starts at `start_s`, or `None` if no period starts at that
    /// second.
    pub fn starting(span: Span, start_s: i64) -> Option<Period> {
        let start_us = u64::try_from(start_s).ok()?.checked_mul(1_000_000)?;
        Some(Period::of(span, start_us)).filter(|period| period.start_s == start_s)
    }

    /// Length of the period.
    pub fn span(self) -> Span {
        self.span
    }

    /// Start of the period, in seconds of Unix time.
    pub fn start_s(self) -> i64 {
        self.start_s
    }

    /// Returns the period that follows this one.
    pub fn next(self) -> Period {
        let start_s = match self.span {
            Span::Hour => self.start_s + 3_600,
            Span::Day => self.start_s + 86_400,
            Span::Month => {
                let day = utc_datetime(self.start_s).date().last_of_month();
                midnight_utc(day) + 86_400
            }
        };
        Period { start_s, ..self }
    }

    /// End of the period (exclusive), in microseconds of Unix time.
    pub fn end_us(self) -> Micros {
        self.next().start_s as u64 * 1_000_000
    }
}

fn utc_datetime(second: i64) -> civil::DateTime {
    let timestamp =
        Timestamp::from_second(second.clamp(0, MAX_SECOND)).unwrap_or(Timestamp::UNIX_EPOCH);
    TimeZone::UTC.to_datetime(timestamp)
}

fn midnight_utc(day: civil::Date) -> i64 {
    let timestamp = TimeZone::UTC.to_timestamp(day.at(0, 0, 0, 0));
    timestamp.map_or(0, Timestamp::as_second)
}

/// Formats a point in time according to RFC 3339, rounded to whole seconds.
pub fn format_timestamp(time_us: Micros) -> String {
    let timestamp = Timestamp::from_microsecond(i64::try_from(time_us).unwrap_or(i64::MAX));
    let timestamp = timestamp.and_then(|t| t.round(Unit::Second));
    timestamp.map_or_else(|_| "later than calendars go".into(), |t| t.to_string())
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let datetime = utc_datetime(self.start_s);
        match self.span {
            Span::Hour => write!(
                f,
                "{:04}-{:02}-{:02}T{:02}",
                datetime.year(),
                datetime.month(),
                datetime.day(),
                datetime.hour()
            ),
            Span::Day => write!(
                f,
                "{:04}-{:02}-{:02}",
                datetime.year(),
                datetime.month(),
                datetime.day()
            ),
            Span::Month => write!(f, "{:04}-{:02}", datetime.year(), datetime.month()),
        }
    }
}

impl From<Period> for String {
    fn from(period: Period) -> String {
        period.to_string()
    }
}

/// The text is not the name of a period.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a period: {0:?}; a month is 2026-12, a day 2026-12-01, an hour 2026-12-01T13")]
pub struct ParsePeriodError(String);

impl TryFrom<String> for Period {
    type Error = ParsePeriodError;

    fn try_from(text: String) -> Result<Period, ParsePeriodError> {
        text.parse()
    }
}

impl FromStr for Period {
    type Err = ParsePeriodError;

    /// Parses a month (`2026-12`), a day (`2026-12-01`) or an hour (`2026-12-01T13`).
    fn from_str(text: &str) -> Result<Period, ParsePeriodError> {
        let parse_error = || ParsePeriodError(text.to_string());
        let (span, timestamp_text) = match text.len() {
            7 => (Span::Month, format!("{text}-01T00:00:00Z")),
            10 => (Span::Day, format!("{text}T00:00:00Z")),
            13 => (Span::Hour, format!("{text}:00:00Z")),
            _ => return Err(parse_error()),
        };
        let start: Timestamp = timestamp_text.parse().map_err(|_| parse_error())?;
        let found = Period::starting(span, start.as_second());
        found
            .filter(|period| period.to_string() == text)
            .ok_or_else(parse_error)
    }
}
