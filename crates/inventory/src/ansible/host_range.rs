//! Expands host ranges in Ansible's notation: `core[01:20]`, `core[a:f]`, with a step `[1:9:2]`, and several
//! in one name.

use thiserror::Error;

/// Maximum number of hosts in the expansion of one pattern.
const MAX_HOSTS_PER_PATTERN: usize = 20_000;

/// Maximum number of digits of a number in a range.
const MAX_DIGITS: usize = 9;

/// Reason why a host pattern cannot be expanded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HostRangeError {
    /// An opening bracket has no closing bracket.
    #[error("a range without its ']'")]
    Unclosed,
    /// A closing bracket has no opening bracket.
    #[error("a ']' without its range")]
    Unopened,
    /// The expansion exceeds the maximum number of hosts.
    #[error("more than {MAX_HOSTS_PER_PATTERN} hosts in one name")]
    TooManyHosts,
    /// The text between the brackets is not a range.
    #[error("not a range: [{0}]")]
    Invalid(String),
    /// The start has leading zeros, and the end has a different number of digits.
    #[error("its ends are not of one length: [{0}]")]
    UnequalWidths(String),
    /// The end is less than the start, or one is an upper-case and the other a lower-case letter.
    #[error("it runs backwards: [{0}]")]
    Reversed(String),
}

/// Returns the names to which a pattern expands. A pattern without a range expands to itself.
///
/// # Errors
/// If a range in the pattern is invalid, or the pattern expands to too many names.
pub fn expand_host_range(pattern: &str) -> Result<Vec<String>, HostRangeError> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some((literal, after_open)) = rest.split_once('[') {
        let (range, after_close) = after_open.split_once(']').ok_or(HostRangeError::Unclosed)?;
        let values = range_values(range)?;
        if names.len() * values.len() > MAX_HOSTS_PER_PATTERN {
            return Err(HostRangeError::TooManyHosts);
        }
        names = names
            .iter()
            .flat_map(|name| {
                values
                    .iter()
                    .map(move |value| format!("{name}{literal}{value}"))
            })
            .collect();
        rest = after_close;
    }
    if rest.contains(']') {
        return Err(HostRangeError::Unopened);
    }
    for name in &mut names {
        name.push_str(rest);
    }
    Ok(names)
}

/// Returns the values of a range, given without its brackets.
fn range_values(range: &str) -> Result<Vec<String>, HostRangeError> {
    let invalid = || HostRangeError::Invalid(range.to_owned());
    let mut parts = range.split(':');
    let first = parts.next().unwrap_or("");
    let last = parts.next().ok_or_else(invalid)?;
    let step = match parts.next() {
        Some(step) => step.parse().map_err(|_| invalid())?,
        None => 1,
    };
    if step == 0 || parts.next().is_some() {
        return Err(invalid());
    }
    // As in Ansible, the start defaults to 0 and the end is required.
    let first = if first.is_empty() { "0" } else { first };
    if is_number(first) && is_number(last) {
        return number_values(range, first, last, step);
    }
    letter_values(range, first, last, step)
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn number_values(
    range: &str,
    first: &str,
    last: &str,
    step: usize,
) -> Result<Vec<String>, HostRangeError> {
    let is_padded = first.len() > 1 && first.starts_with('0');
    if is_padded && first.len() != last.len() {
        return Err(HostRangeError::UnequalWidths(range.to_owned()));
    }
    let width = if is_padded { first.len() } else { 0 };
    let parse = |text: &str| {
        text.parse::<usize>()
            .map_err(|_| HostRangeError::Invalid(range.to_owned()))
    };
    let (first, last) = (parse(first)?, parse(last)?);
    if first > last {
        return Err(HostRangeError::Reversed(range.to_owned()));
    }
    if (last - first) / step >= MAX_HOSTS_PER_PATTERN {
        return Err(HostRangeError::TooManyHosts);
    }
    let numbers = (first..=last).step_by(step);
    Ok(numbers.map(|number| format!("{number:0width$}")).collect())
}

fn letter_values(
    range: &str,
    first: &str,
    last: &str,
    step: usize,
) -> Result<Vec<String>, HostRangeError> {
    let ([first], [last]) = (first.as_bytes(), last.as_bytes()) else {
        return Err(HostRangeError::Invalid(range.to_owned()));
    };
    if !first.is_ascii_alphabetic() || !last.is_ascii_alphabetic() {
        return Err(HostRangeError::Invalid(range.to_owned()));
    }
    if first > last || first.is_ascii_lowercase() != last.is_ascii_lowercase() {
        return Err(HostRangeError::Reversed(range.to_owned()));
    }
    let letters = (*first..=*last).step_by(step);
    Ok(letters
        .map(|letter| char::from(letter).to_string())
        .collect())
}
