//! The list's clock: when discovery is called, when a call or a watch that says nothing is broken, and by when a change
//! of the list counts as told. Pure: told the time and what happened, random from a seed; nothing else keeps such a
//! clock.
//!
//! | source | event | a change counts as told |
//! | --- | --- | --- |
//! | asked | it is written on the watch, or in an answer | when it is written |
//! | asked | no watch is open and no call succeeds, for whatever reason | [`EFFECTIVE_DELAY_US`] after discovery had it and could be reached; after `askWithinUs` if that is sooner |
//! | pushed | the agent has it, whether or not a watch is open, from a process's first moment | at once |
//! | pushed | discovery was down; the agent gets it at the return | at the return |
//! | both | the watch has fallen silent | [`EFFECTIVE_DELAY_US`] after it fell silent |
//! | both | SIGHUP names another discovery | [`MOVE_EFFECTIVE_DELAY_US`] after the signal |
//!
//! [`effective_at`] is that table. From [`DRAIN_GRACE_US`] after it no new work may go to a worker that leaves, so all waits below
//! are cut so that a call that can succeed has succeeded by then: a silent watch is broken after [`SILENCE_TIMEOUT_US`], a call
//! is given up after [`HEAD_TIMEOUT_US`], and the longest pause between two calls leaves room for one more.
//!
//! A new process knows the list that its earlier life had, which may name workers that left since and are back at their
//! addresses, not listed yet: the times above began with the change, not with the process. So operations wait for the
//! first list ([`ListClock::awaits_first`]), and the first call begins as soon as one waits. When that call ends without
//! a list the waiting is over: the old list is all that there is then.
//!
//! Where the list is asked for, discovery is one service for the whole fleet and works through its calls in turn. Each
//! dispatcher that asks again at once after a failed call is harmless alone; when a hundred do, the calls that time out
//! keep the queue full and none gets through. So the pause grows with each failure that heard nothing, up to a ceiling
//! that scales with the fleet, and is drawn at random below it (full jitter). Where it is pushed, the agent is this
//! dispatcher's own, what it has binds at once, and it is called again at once.

use crate::interface::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// After this long a change counts as told, whatever became of the calls.
pub const EFFECTIVE_DELAY_US: Micros = 6_000_000;
/// After this long a change counts as told that a new discovery has, from SIGHUP.
pub const MOVE_EFFECTIVE_DELAY_US: Micros = 4_000_000;
/// From so long after the telling no new work goes to a worker that leaves.
pub const DRAIN_GRACE_US: Micros = 1_000_000;
/// An empty line comes every 2 s: a watch that says nothing for longer is broken.
pub const SILENCE_TIMEOUT_US: Micros = 3_000_000;
/// Longest wait for a connection.
pub const CONNECT_TIMEOUT_US: Micros = 1_000_000;
/// Longest wait for an answer's head: past discovery's own time-out of a call, which then says 503, since a call given
/// up while queued there still takes its turn, and the next is queued behind it.
pub const HEAD_TIMEOUT_US: Micros = 3_000_000;
/// Longest wait for a connection to the agent, which is near; with a lost first packet a second try comes before the
/// system's own.
pub const AGENT_CONNECT_TIMEOUT_US: Micros = 250_000;
/// Longest wait for the agent's head: it answers from what it has and queues nobody. What it gets at the return from an
/// outage counts at once, so a call that hangs since before must be given up and made anew within the grace.
pub const AGENT_HEAD_TIMEOUT_US: Micros = 600_000;

/// The pause after a call that heard something, before it is spread.
const INITIAL_BACKOFF_US: Micros = 100_000;
/// The longest pause before the agent is called again.
const MAX_AGENT_BACKOFF_US: Micros = 100_000;
/// Time of discovery's that one dispatcher's call is reckoned to take: the fleet's ceiling is so many of them.
const CEILING_PER_DISPATCHER_US: Micros = 40_000;
/// The ceiling of a lone dispatcher, or a small fleet.
const MIN_CEILING_US: Micros = 1_000_000;
/// The longest ceiling, however large the fleet: a call that is given up, this pause and one more call stay within
/// [`EFFECTIVE_DELAY_US`].
const MAX_CEILING_US: Micros = 2_000_000;
/// Failures after which the pause stops doubling; far past any ceiling.
const MAX_DOUBLINGS: u32 = 16;
/// The first call of a fleet that is started at once is spread over this part of the time allowed for asking, and over
/// this long at most.
const FIRST_CALL_SPREAD_DIVISOR: Micros = 8;
const MAX_FIRST_CALL_SPREAD_US: Micros = 1_250_000;

/// How the list comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An agent of this dispatcher's own has it.
    Pushed,
    /// One service for the whole fleet, which must be asked.
    OnRequest,
}

/// What happened to a change of the list, or to the way by which it would come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was written to this dispatcher, on a watch or in an answer.
    Written(Micros),
    /// Discovery has it and can be reached since then; there is no watch, or none that says anything.
    Reachable(Micros),
    /// The last call began then and discovery could not be asked since; it was this many times the usual wait.
    Unreachable(Micros, u64),
    /// The watch fell silent then, and what was made later is not heard on it.
    Silent(Micros),
    /// A signal named another discovery then.
    Moved(Micros),
}

/// When a change counts as told. `max_call_interval_us`: what the settings allow between two calls; 0 where they say nothing.
pub fn effective_at(source: Source, event: Event, max_call_interval_us: Micros) -> Micros {
    match (source, event) {
        (_, Event::Written(at)) | (Source::Pushed, Event::Reachable(at)) => at,
        (Source::OnRequest, Event::Reachable(at)) => at.saturating_add(EFFECTIVE_DELAY_US),
        (Source::Pushed, Event::Unreachable(at, _)) => at,
        (Source::OnRequest, Event::Unreachable(at, times)) => {
            let within = if max_call_interval_us == 0 {
                EFFECTIVE_DELAY_US
            } else {
                max_call_interval_us.saturating_mul(times)
            };
            at.saturating_add(within.min(EFFECTIVE_DELAY_US))
        }
        (_, Event::Silent(at)) => at.saturating_add(EFFECTIVE_DELAY_US),
        (_, Event::Moved(at)) => at.saturating_add(MOVE_EFFECTIVE_DELAY_US),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Between calls: the next begins then.
    Waiting(Micros),
    /// A connection is being opened since then.
    Connecting(Micros),
    /// The call is written, its head has not come.
    AwaitingHead(Micros),
    /// The watch is open; something was heard then.
    Watching(Micros),
}

/// The clock of one dispatcher's list.
#[derive(Debug)]
pub struct ListClock {
    source: Source,
    state: State,
    ceiling_us: Micros,
    failures: u32,
    /// This call has brought something.
    received: bool,
    /// Nothing was heard yet, and no call has ended.
    awaiting_first: bool,
    rng: Pcg64Mcg,
}

impl ListClock {
    /// For one of `fleet` dispatchers that starts now, whose settings allow `max_call_interval_us` between two calls.
    pub fn new(
        source: Source,
        fleet: u32,
        max_call_interval_us: Micros,
        seed: u64,
        now: Micros,
    ) -> ListClock {
        let by_fleet = CEILING_PER_DISPATCHER_US * Micros::from(fleet.max(1));
        let in_time = if max_call_interval_us == 0 {
            MAX_CEILING_US
        } else {
            max_call_interval_us / 2
        };
        let ceiling_us = match source {
            Source::Pushed => MAX_AGENT_BACKOFF_US,
            Source::OnRequest => by_fleet
                .clamp(MIN_CEILING_US, MAX_CEILING_US)
                .min(in_time)
                .max(INITIAL_BACKOFF_US),
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15);
        let first_delay = match source {
            // What the agent has binds from the first moment.
            Source::Pushed => 0,
            // A fleet started at once does not call at once.
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

    /// When something is to be done: the next call begun, or this one given up.
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

    /// A call begins: a connection is opened.
    pub fn call_started(&mut self, now: Micros) {
        debug_assert!(
            matches!(self.state, State::Waiting(_)),
            "one call at a time: {self:?}"
        );
        (self.state, self.received) = (State::Connecting(now), false);
    }

    /// The connection is there, and the call goes out on it.
    pub fn connected(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::Connecting(_)), "{self:?}");
        self.state = State::AwaitingHead(now);
    }

    /// The call is answered, and its answer stays open.
    pub fn watch_opened(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::AwaitingHead(_)), "{self:?}");
        self.state = State::Watching(now);
    }

    /// A list came on the watch, or the empty line that stands for none.
    pub fn received(&mut self, now: Micros) {
        debug_assert!(matches!(self.state, State::Watching(_)), "{self:?}");
        (
            self.state,
            self.received,
            self.failures,
            self.awaiting_first,
        ) = (State::Watching(now), true, 0, false);
    }

    /// The call failed or was given up, or the watch broke; gives the pause until the next call.
    pub fn call_ended(&mut self, now: Micros) -> Micros {
        self.awaiting_first = false;
        let pause = if self.received {
            self.failures = 0;
            self.jittered(INITIAL_BACKOFF_US.min(self.ceiling_us), 0.5)
        } else {
            self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
            // The first pause is a quarter of the ceiling: a fleet whose calls fail together must spread at once.
            let grown = (self.ceiling_us / 4)
                .max(INITIAL_BACKOFF_US)
                .saturating_mul(1 << (self.failures - 1));
            self.jittered(grown.min(self.ceiling_us), 0.1)
        };
        debug_assert!(pause <= self.ceiling_us);
        self.state = State::Waiting(now.saturating_add(pause));
        pause
    }

    /// Discovery is elsewhere now: it is called at once, and its first failure counts as the first.
    pub fn moved(&mut self, now: Micros) {
        (self.state, self.failures, self.received) = (State::Waiting(now), 0, false);
    }

    /// Whether operations are to wait for the first list.
    pub fn awaits_first(&self) -> bool {
        self.awaiting_first
    }

    /// An operation waits for the first list: the first call begins now. Those of a fleet that starts as one are spread
    /// by what their clients ask then, and else by chance.
    pub fn expedite(&mut self, now: Micros) {
        if let (true, State::Waiting(until)) = (self.awaiting_first, self.state) {
            self.state = State::Waiting(until.min(now));
        }
    }

    /// The longest pause that this dispatcher takes.
    pub fn ceiling_us(&self) -> Micros {
        self.ceiling_us
    }

    /// Never quite at once, and never past what is given.
    fn jittered(&mut self, most: Micros, least_part: f64) -> Micros {
        (most as f64 * (least_part + (1.0 - least_part) * self.rng.random::<f64>())) as Micros
    }
}
