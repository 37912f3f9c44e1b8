//! Timing of endpoint-list discovery: when discovery is called, when a call or a silent watch is abandoned,
//! and from when a change of the list counts as effective, that is, as known to this dispatcher. The module
//! is pure: its callers pass in the time and the events, and randomness comes from a seed. No other module
//! keeps these times.
//!
//! | source | event | the change is effective |
//! | --- | --- | --- |
//! | on request | it is written on the watch or in a response | when it is written |
//! | on request | no watch is open and no call succeeds, for whatever reason | [`EFFECTIVE_DELAY_US`] after discovery had it and was reachable; after `askWithinUs` if that is sooner |
//! | pushed | the agent has it, whether or not a watch is open, from the start of the process on | at once |
//! | pushed | discovery was down, and the agent receives the change when it recovers | at the recovery |
//! | both | the watch has become silent | [`EFFECTIVE_DELAY_US`] after it became silent |
//! | both | SIGHUP names another discovery | [`MOVE_EFFECTIVE_DELAY_US`] after the signal |
//!
//! [`effective_at`] implements this table. [`DRAIN_GRACE_US`] after that time no new work may go to a worker
//! that leaves. All timeouts below are short enough that a call that can succeed has succeeded by then: a
//! silent watch is closed after [`SILENCE_TIMEOUT_US`], a call is abandoned after [`HEAD_TIMEOUT_US`], and
//! the longest pause between two calls leaves time for one more call.
//!
//! A new process starts with the list of its previous run. That list may name workers that have left since
//! and whose addresses are in use again, by processes that are not listed yet: the times above begin with the
//! change, not with the start of the process. So operations wait for the first list
//! ([`ListClock::awaits_first`]), and the first call begins as soon as an operation waits. If that call ends
//! without a list, the wait ends too: the old list is then the only one available.
//!
//! A discovery that is called on request is one service for the whole fleet and processes its calls one after
//! the other. A dispatcher that retries immediately after a failed call does no harm alone; when a hundred
//! dispatchers do so, the calls that time out keep the queue full and none succeeds. So the pause grows with
//! each failed call that received nothing, up to a ceiling that scales with the fleet, and is drawn at random
//! below that value (full jitter). A pushed list comes from an agent that serves this dispatcher alone and
//! whose changes are effective at once, so the agent is called again with hardly any pause.

use crate::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Delay after which a change is effective even if every call has failed.
pub const EFFECTIVE_DELAY_US: Micros = 6_000_000;
/// Delay from SIGHUP after which a change at the newly configured discovery is effective.
pub const MOVE_EFFECTIVE_DELAY_US: Micros = 4_000_000;
/// Time from when a change is effective until new work to a leaving worker is forbidden.
pub const DRAIN_GRACE_US: Micros = 1_000_000;
/// Time without data after which a watch is abandoned. Discovery sends an empty line every 2 s.
pub const SILENCE_TIMEOUT_US: Micros = 3_000_000;
/// Time limit for connecting to an on-request discovery.
pub const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// Time limit for the head of a response. It is longer than the time after which discovery itself answers a
/// queued call with 503: a call abandoned while queued there is still processed in its turn, with the next
/// call queued behind it.
pub const HEAD_TIMEOUT_US: Micros = 3_000_000;
/// Time limit for connecting to the agent, which is nearby. If the first packet is lost, the dispatcher
/// connects again before the system retransmits.
pub const AGENT_CONNECT_TIMEOUT_US: Micros = 250_000;
/// Time limit for the head of the agent's response: the agent answers from what it has and queues no calls. A
/// change that it receives when discovery recovers is effective at once, so a call that has been hanging
/// since before the recovery must be abandoned and repeated within the grace period.
pub const AGENT_HEAD_TIMEOUT_US: Micros = 600_000;

/// Pause after a call that received something, before jitter.
const INITIAL_BACKOFF_US: Micros = 100_000;
/// Longest pause before the agent is called again.
const MAX_AGENT_BACKOFF_US: Micros = 100_000;
/// Share of the backoff ceiling for each dispatcher of the fleet: the assumed processing time of one call at
/// discovery.
const CEILING_PER_DISPATCHER_US: Micros = 40_000;
/// Smallest backoff ceiling, for a single dispatcher or a small fleet.
const MIN_CEILING_US: Micros = 1_000_000;
/// Largest backoff ceiling, however large the fleet: an abandoned call, this pause and one more call fit into
/// [`EFFECTIVE_DELAY_US`].
const MAX_CEILING_US: Micros = 2_000_000;
/// Number of failures after which the pause stops doubling; the ceiling is reached long before.
const MAX_DOUBLINGS: u32 = 16;
/// The first calls of a fleet whose dispatchers start together are spread over the permitted call interval
/// divided by this value, at most over `MAX_FIRST_CALL_SPREAD_US`.
const FIRST_CALL_SPREAD_DIVISOR: Micros = 8;
const MAX_FIRST_CALL_SPREAD_US: Micros = 1_250_000;

/// How the endpoint list reaches the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From an agent that serves this dispatcher alone and receives the list from discovery.
    Pushed,
    /// From one discovery service for the whole fleet, which the dispatcher has to call.
    OnRequest,
}

/// What happened to a change of the list or to the connection to discovery. Times are on the dispatcher's
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The change was written to this dispatcher, on a watch or in a response, at this time.
    Written(Micros),
    /// Discovery has had the change and has been reachable since this time; no watch is open, or the open
    /// one is silent.
    Reachable(Micros),
    /// The last call began at this time and discovery has been unreachable since. The permitted call interval
    /// is multiplied by the second value.
    Unreachable(Micros, u64),
    /// The watch became silent at this time and does not deliver later changes.
    Silent(Micros),
    /// A signal named another discovery at this time.
    Moved(Micros),
}

/// Time from which a change is effective. `max_call_interval_us` is the longest time between two calls that
/// the settings permit; 0 if they set none.
pub fn effective_at(source: Source, event: Event, max_call_interval_us: Micros) -> Micros {
    match (source, event) {
        (_, Event::Written(at)) | (Source::Pushed, Event::Reachable(at)) => at,
        (Source::OnRequest, Event::Reachable(at)) => at.saturating_add(EFFECTIVE_DELAY_US),
        (Source::Pushed, Event::Unreachable(at, _)) => at,
        (Source::OnRequest, Event::Unreachable(at, multiple)) => {
            let within = if max_call_interval_us == 0 {
                EFFECTIVE_DELAY_US
            } else {
                max_call_interval_us.saturating_mul(multiple)
            };
            at.saturating_add(within.min(EFFECTIVE_DELAY_US))
        }
        (_, Event::Silent(at)) => at.saturating_add(EFFECTIVE_DELAY_US),
        (_, Event::Moved(at)) => at.saturating_add(MOVE_EFFECTIVE_DELAY_US),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Between calls, until this time.
    Waiting(Micros),
    /// Connecting since this time.
    Connecting(Micros),
    /// The request is being sent or has been sent, and its response head is awaited, since this time.
    AwaitingHead(Micros),
    /// The watch is open, and its last input arrived at this time.
    Watching(Micros),
}

/// State and timers of one dispatcher's calls to discovery.
#[derive(Debug)]
pub struct ListClock {
    source: Source,
    state: State,
    ceiling_us: Micros,
    failures: u32,
    /// The current call has received a list or an empty line.
    received: bool,
    /// No call has received anything or ended so far.
    awaiting_first: bool,
    rng: Pcg64Mcg,
}

impl ListClock {
    /// Starts the timers of one of `fleet` dispatchers, whose settings permit `max_call_interval_us` between
    /// two calls.
    pub fn new(
        source: Source,
        fleet: u32,
        max_call_interval_us: Micros,
        seed: u64,
        now: Micros,
    ) -> ListClock {
        let fleet_ceiling = CEILING_PER_DISPATCHER_US * Micros::from(fleet.max(1));
        let interval_ceiling = if max_call_interval_us == 0 {
            MAX_CEILING_US
        } else {
            max_call_interval_us / 2
        };
        let ceiling_us = match source {
            Source::Pushed => MAX_AGENT_BACKOFF_US,
            Source::OnRequest => fleet_ceiling
                .clamp(MIN_CEILING_US, MAX_CEILING_US)
                .min(interval_ceiling)
                .max(INITIAL_BACKOFF_US),
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
        let first_delay = match source {
            // A change that the agent has is effective from the start of the process on.
            Source::Pushed => 0,
            // Dispatchers that start together do not call discovery at the same moment.
            Source::OnRequest => {
                let allowed = if max_call_interval_us == 0 {
                    MAX_FIRST_CALL_SPREAD_US
                } else {
                    max_call_interval_us / FIRST_CALL_SPREAD_DIVISOR
                };
                let spread = allowed.min(MAX_FIRST_CALL_SPREAD_US);
                rng.random_range(spread / 8..=spread)
            }
        };
        let state = State::Waiting(now.saturating_add(first_delay));
        ListClock {
            source,
            state,
            ceiling_us,
            failures: 0,
            received: false,
            awaiting_first: true,
            rng,
        }
    }

    /// Time of the next timer: the start of the next call, or the timeout of the current one.
    pub fn due(&self) -> Micros {
        match self.state {
            State::Waiting(until) => until,
            State::Connecting(since) => since.saturating_add(match self.source {
                Source::Pushed => AGENT_CONNECT_TIMEOUT_US,
                Source::OnRequest => CONNECT_TIMEOUT_US,
            }),
            State::AwaitingHead(since) => since.saturating_add(match self.source {
                Source::Pushed => AGENT_HEAD_TIMEOUT_US,
                Source::OnRequest => HEAD_TIMEOUT_US,
            }),
            State::Watching(received) => received.saturating_add(SILENCE_TIMEOUT_US),
        }
    }

    /// Starts a call, which first connects to discovery.
    pub fn call_started(&mut self, now: Micros) {
        debug_assert!(
            matches!(self.state, State::Waiting(_)),
            "one call at a time: {self:?}"
        );
        (self.state, self.received) = (State::Connecting(now), false);
    }

    /// The connection is established, and the request can be sent.
    pub fn connected(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::Connecting(_)), "{self:?}");
        self.state = State::AwaitingHead(now);
    }

    /// The response head has arrived, and the response stays open as a watch.
    pub fn watch_opened(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::AwaitingHead(_)), "{self:?}");
        self.state = State::Watching(now);
    }

    /// A list arrived on the watch, or an empty line, which means that nothing has changed.
    pub fn received(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::Watching(_)), "{self:?}");
        (
            self.state,
            self.received,
            self.failures,
            self.awaiting_first,
        ) = (State::Watching(now), true, 0, false);
    }

    /// The call failed or was abandoned, or the watch broke. Returns the pause until the next call.
    pub fn call_ended(&mut self, now: Micros) -> Micros {
        self.awaiting_first = false;
        let pause = if self.received {
            self.failures = 0;
            self.jittered(INITIAL_BACKOFF_US.min(self.ceiling_us), 0.5)
        } else {
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
            // The first pause is a quarter of the ceiling: the calls of a fleet that fail together must be
            // spread at once.
            let grown = (self.ceiling_us / 4)
                .max(INITIAL_BACKOFF_US)
                .saturating_mul(1 << (self.failures - 1));
            self.jittered(grown.min(self.ceiling_us), 0.1)
        };
        debug_assert!(pause <= self.ceiling_us);
        self.state = State::Waiting(now.saturating_add(pause));
        pause
    }

    /// Discovery has another address now: it is called at once, and the backoff starts again.
    pub fn moved(&mut self, now: Micros) {
        (self.state, self.failures, self.received) = (State::Waiting(now), 0, false);
    }

    /// Whether operations have to wait for the first list.
    pub fn awaits_first(&self) -> bool {
        self.awaiting_first
    }

    /// An operation is waiting for the first list, so the first call begins now. In a fleet whose dispatchers
    /// start together these calls are spread by the arrival times of the clients' operations, and the others
    /// by jitter.
    pub fn expedite(&mut self, now: Micros) {
        if let (true, State::Waiting(until)) = (self.awaiting_first, self.state) {
            self.state = State::Waiting(until.min(now));
        }
    }

    /// Longest pause between two calls of this dispatcher, in microseconds.
    pub fn ceiling_us(&self) -> Micros {
        self.ceiling_us
    }

    /// A random value between `min_share` of `max_us` and `max_us`.
    fn jittered(&mut self, max_us: Micros, min_share: f64) -> Micros {
        (max_us as f64 * (min_share + (1.0 - min_share) * self.rng.random::<f64>())) as Micros
    }
}
