//! Periods: hours, days or months in UTC, half-open. Pure arithmetic on Unix time.

use crate::entry::Micros;
use jiff::{civil, tz::TimeZone, Timestamp, Unit};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How long periods are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// From one full hour to the next.
    Hour,
    /// From one midnight to the next.
    Day,
    /// From the first of a month to that of the next.
    Month,
}

/// One period: a span and the second of Unix time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Period {
    start_s: i64,
    span: Span,
}

/// The last second that a period may hold: the end of the year 9000 guards the arithmetic of calendars.
const LAST_S: i64 = 221_845_392_000;

impl Period {
    /// The period that a moment falls into.
    pub fn of(span: Span, time_us: Micros) -> Period {
        let s = ((time_us / 1_000_000) as i64).min(LAST_S);
        let start_s = match span {
            Span::Hour => s - s.rem_euclid(3_600),
            Span::Day => s - s.rem_euclid(86_400),
            Span::Month => {
                let day = civil_of(s).date().first_of_month();
                seconds(day)
            }
        };
        Period { start_s, span }
    }

    /// The period of this span that begins at this second; none if none does.
    pub fn starting(span: Span, start_s: i64) -> Option<Period> {
        let at = u64::try_from(start_s).ok()?.checked_mul(1_000_000)?;
        Some(Period::of(span, at)).filter(|p| p.start_s == start_s)
    }

    /// Its length's name.
    pub fn span(self) -> Span {
        self.span
    }

    /// Its first second.
    pub fn start_s(self) -> i64 {
        self.start_s
    }

    /// The period after it.
    pub fn next(self) -> Period {
        let start_s = match self.span {
            Span::Hour => self.start_s + 3_600,
            Span::Day => self.start_s + 86_400,
            Span::Month => {
                let day = civil_of(self.start_s).date().last_of_month();
                seconds(day) + 86_400
            }
        };
        Period { start_s, ..self }
    }

    /// The first moment after it.
    pub fn end_us(self) -> Micros {
        self.next().start_s as u64 * 1_000_000
    }
}

fn civil_of(s: i64) -> civil::DateTime {
    let at = Timestamp::from_second(s.clamp(0, LAST_S)).unwrap_or(Timestamp::UNIX_EPOCH);
    TimeZone::UTC.to_datetime(at)
}

fn seconds(day: civil::Date) -> i64 {
    let at = TimeZone::UTC.to_timestamp(day.at(0, 0, 0, 0));
    at.map_or(0, Timestamp::as_second)
}

/// A moment in the form of RFC 3339, in whole seconds.
pub fn format_timestamp(time_us: Micros) -> String {
    let at = Timestamp::from_microsecond(i64::try_from(time_us).unwrap_or(i64::MAX));
    let at = at.and_then(|t| t.round(Unit::Second));
    at.map_or_else(|_| "later than calendars go".into(), |t| t.to_string())
}

impl fmt::Display for Period {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = civil_of(self.start_s);
        match self.span {
            Span::Hour => write!(
                f,
                "{:04}-{:02}-{:02}T{:02}",
                at.year(),
                at.month(),
                at.day(),
                at.hour()
            ),
            Span::Day => write!(f, "{:04}-{:02}-{:02}", at.year(), at.month(), at.day()),
            Span::Month => write!(f, "{:04}-{:02}", at.year(), at.month()),
        }
    }
}

impl From<Period> for String {
    fn from(p: Period) -> String {
        p.to_string()
    }
}

/// A text that names no period.
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

    /// `2026-12` is a month, `2026-12-01` a day, `2026-12-01T13` an hour.
    fn from_str(text: &str) -> Result<Period, ParsePeriodError> {
        let malformed = || ParsePeriodError(text.to_string());
        let (span, whole) = match text.len() {
            7 => (Span::Month, format!("{text}-01T00:00:00Z")),
            10 => (Span::Day, format!("{text}T00:00:00Z")),
            13 => (Span::Hour, format!("{text}:00:00Z")),
            _ => return Err(malformed()),
        };
        let start: Timestamp = whole.parse().map_err(|_| malformed())?;
        let found = Period::starting(span, start.as_second());
        found
            .filter(|period| period.to_string() == text)
            .ok_or_else(malformed)
    }
}
