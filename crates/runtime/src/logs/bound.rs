//! Bounds on how often lines are written.

use std::cell::Cell;
use std::collections::HashMap;
use streamusher_protocol::Millis;

/// A place in the source that writes lines: its file and line.
pub type Site = (&'static str, u32);

/// Lines that one place may write within [`SITE_SPAN_MS`]: a burst of real changes passes, a storm does not.
const MOST_OF_SITE: u32 = 20;
/// The span in which a place's lines are counted.
const SITE_SPAN_MS: Millis = 10_000;

/// Bounds the lines of each place in the source, so that a storm of one kind costs little and hides no other kind.
#[derive(Debug, Default)]
pub struct SiteBounds {
    sites: HashMap<Site, Span>,
}

#[derive(Debug, Default)]
struct Span {
    ends_at: Millis,
    written: u32,
    left_out: u64,
}

impl SiteBounds {
    /// Whether a line of `site` may be written at `now`, and how many were left out since its last one.
    pub fn allow(&mut self, now: Millis, site: Site) -> Option<u64> {
        let span = self.sites.entry(site).or_default();
        if now >= span.ends_at {
            span.ends_at = now.saturating_add(SITE_SPAN_MS);
            span.written = 0;
        }
        if span.written >= MOST_OF_SITE {
            span.left_out = span.left_out.saturating_add(1);
            return None;
        }
        span.written += 1;
        Some(std::mem::take(&mut span.left_out))
    }
}

/// Bounds how often one kind of line is written, and counts those left out.
#[derive(Debug)]
pub struct RateBound {
    interval_ms: Millis,
    next_at: Cell<Millis>,
    left_out: Cell<u64>,
}

impl RateBound {
    /// At most one line in `interval_ms`.
    pub const fn new(interval_ms: Millis) -> RateBound {
        RateBound {
            interval_ms,
            next_at: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Whether a line may be written at `now`, and how many were left out since the last one.
    pub fn allow(&self, now: Millis) -> Option<u64> {
        if now < self.next_at.get() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.next_at.set(now.saturating_add(self.interval_ms));
        Some(self.left_out.replace(0))
    }
}
