//! The primary's rule of release, as a pure state machine that joins replication and scheduler.
//!
//! A reply rests on the appends made up to its own event. It is released when they are committed and the lease is valid
//! at that moment. A primary that is deposed before answers what surely did nothing with [`ControlOutcome::NotPrimary`], and a
//! call that may come into force all the same with [`ControlOutcome::Unknown`].

use crate::calls::{is_refusal, Outstanding};
pub use crate::calls::{ControlOutcome, ControlRequest};
use crate::early::EarlyCalls;
use crate::ports::{Replication, StateMachine};
use crate::publication::Publication;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use streamusher_configuration::relay::Published;
use streamusher_coordination::{Coordinator, DiskChange, Input, Message, Output, StateMap};
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{
    Effects, Event, RecoverError, RequestId, Scheduler, SchedulerResponse, SchedulerSettings,
};

/// What the program has to do.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a core machine; it may be lost.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Change the disk, and answer with [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Names the change.
        ticket: u64,
        /// The change.
        change: DiskChange,
    },
    /// Recover the scheduler from the replicated state, beside everything else, and hand it to [`Driver::recovered`].
    Recover(Recovery),
    /// Answer a call.
    Answer {
        /// The call.
        request: RequestId,
        /// The answer.
        answer: ControlOutcome,
    },
}

/// What a scheduler is recovered from. With a large state that takes seconds, in which keepalives must go on: otherwise the
/// replicas take the place of one new primary after the other.
#[derive(Debug)]
pub struct Recovery {
    /// The epoch in which this machine takes office.
    pub epoch: u64,
    /// When it was elected: leases of former primaries were granted before.
    pub now: Now,
    settings: SchedulerSettings,
    state: StateMap,
}

impl Recovery {
    /// Recovers; it takes long, and needs nothing else.
    ///
    /// # Errors
    /// The state can't be read.
    pub fn run<S: StateMachine>(self) -> Result<S, RecoverError> {
        S::recover(&self.settings, self.epoch, self.now, self.state)
    }
}

struct Held {
    /// Commits that the reply rests on.
    sequence: u64,
    request: RequestId,
    reply: SchedulerResponse,
}

/// One core machine: replication, and the scheduler while this is the primary.
pub struct Driver<R = Coordinator, S = Scheduler> {
    settings: SchedulerSettings,
    replication: R,
    scheduler: Option<S>,
    /// The epoch for which a scheduler is being recovered.
    recovering: Option<u64>,
    next_request: RequestId,
    /// Calls that came before this machine could act.
    early: EarlyCalls,
    outstanding: BTreeMap<RequestId, Outstanding>,
    held: VecDeque<Held>,
    publication: Publication,
    epoch: u64,
    actions: Vec<Action>,
}

impl<R: Replication, S: StateMachine> Driver<R, S> {
    /// A machine that is not primary yet.
    pub fn new(settings: SchedulerSettings, replication: R) -> Driver<R, S> {
        Driver {
            settings,
            replication,
            scheduler: None,
            recovering: None,
            next_request: 1,
            early: EarlyCalls::default(),
            outstanding: BTreeMap::new(),
            held: VecDeque::new(),
            publication: Publication::default(),
            epoch: 0,
            actions: Vec::new(),
        }
    }

    /// Takes a call; its number comes back in [`Action::Answer`], perhaps at once.
    pub fn call(&mut self, now: Now, call: ControlRequest) -> (RequestId, Vec<Action>) {
        let request = self.next_request;
        self.next_request += 1;
        if self.is_at_work(now) {
            self.carry_out(now, request, call);
        } else if self.replication.is_opening() && self.early.has_room() {
            self.early.push(now.steady_ms, request, call);
        } else {
            self.refuse(now, request);
        }
        (request, std::mem::take(&mut self.actions))
    }

    fn is_at_work(&self, now: Now) -> bool {
        self.scheduler.is_some() && self.may_answer(now.steady_ms)
    }

    fn refuse(&mut self, now: Now, request: RequestId) {
        let answer = ControlOutcome::NotPrimary(self.replication.view(now.steady_ms));
        self.actions.push(Action::Answer { request, answer });
    }

    /// Carries out the calls that came before this machine could act; those whose time is over are refused.
    fn take_early(&mut self, now: Now) {
        loop {
            let is_opening = !self.is_at_work(now) && self.replication.is_opening();
            let Some(early) = self.early.pop(now.steady_ms, is_opening) else {
                return;
            };
            if self.is_at_work(now) && !early.is_over(now.steady_ms) {
                self.carry_out(now, early.request, early.call);
            } else {
                self.refuse(now, early.request);
            }
        }
    }

    fn carry_out(&mut self, now: Now, request: RequestId, call: ControlRequest) {
        self.outstanding.insert(request, Outstanding::of(&call));
        let event = match call {
            ControlRequest::Client(call) => Event::Client { request, call },
            ControlRequest::Agent(sync) => Event::Agent { request, sync },
            ControlRequest::Operator(order) => Event::Operator { request, order },
        };
        self.run(now, event, Some(request));
    }

    /// The caller has left.
    pub fn abandon(&mut self, now: Now, request: RequestId) -> Vec<Action> {
        self.early.abandon(request);
        if self.outstanding.remove(&request).is_some() {
            self.run(now, Event::Abandoned { request }, None);
        }
        std::mem::take(&mut self.actions)
    }

    /// Takes an input of replication.
    pub fn input(&mut self, now: Now, input: Input) -> Vec<Action> {
        let outputs = self.replication.handle(now.steady_ms, input);
        self.follow(now, outputs);
        self.release(now);
        self.take_early(now);
        std::mem::take(&mut self.actions)
    }

    /// Time has passed; wanted about every 20 ms.
    pub fn tick(&mut self, now: Now) -> Vec<Action> {
        let outputs = self.replication.handle(now.steady_ms, Input::Tick);
        self.follow(now, outputs);
        if self.replication.may_act(now.steady_ms) {
            self.run(now, Event::Tick, None);
        }
        self.release(now);
        self.take_early(now);
        std::mem::take(&mut self.actions)
    }

    /// The replication, for its status.
    pub fn replication(&self) -> &R {
        &self.replication
    }

    /// The scheduler, while this is the primary.
    pub fn scheduler(&self) -> Option<&S> {
        self.scheduler.as_ref()
    }

    /// The epoch of which this is the primary, while it may act as such.
    pub fn reign(&self, now: Millis) -> Option<u64> {
        let acts = self.scheduler.is_some() && self.replication.may_act(now);
        acts.then_some(self.epoch)
    }

    /// Configurations of this reign that were committed since the last call, in their order, with its epoch. They are kept
    /// while this may not act as primary.
    pub fn take_published(&mut self, now: Millis) -> Option<(u64, Vec<Published>)> {
        if !self.publication.is_ready() {
            return None;
        }
        let epoch = self.reign(now)?;
        Some((epoch, self.publication.take()))
    }

    /// Calls handed to the scheduler and not answered yet.
    pub fn outstanding(&self) -> usize {
        self.outstanding.len()
    }

    fn run(&mut self, now: Now, event: Event, cause: Option<RequestId>) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let Effects { writes, replies } = scheduler.handle(now, event);
        let wrote = !writes.is_empty();
        let mut outputs = Vec::new();
        if wrote {
            outputs = self.replication.append(now.steady_ms, writes).1;
        }
        let sequence = self.replication.appended();
        self.publication
            .taken(sequence, scheduler.version(), || scheduler.newest());
        for (request, reply) in replies {
            let may_refuse = !(wrote && cause == Some(request));
            self.hold(sequence, request, reply, may_refuse);
        }
        self.follow(now, outputs);
        self.release(now);
    }

    fn hold(
        &mut self,
        sequence: u64,
        request: RequestId,
        reply: SchedulerResponse,
        may_refuse: bool,
    ) {
        let Some(outstanding) = self.outstanding.get_mut(&request) else {
            return;
        };
        outstanding.refused = may_refuse && is_refusal(&reply);
        self.held.push_back(Held {
            sequence,
            request,
            reply,
        });
    }

    fn follow(&mut self, now: Now, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.actions.push(Action::Send { to, message }),
                Output::Persist { ticket, change } => {
                    self.actions.push(Action::Persist { ticket, change })
                }
                Output::Committed { .. } => self.release(now),
                Output::Elected { epoch } => self.take_office(now, epoch),
                Output::Deposed => self.leave_office(now),
            }
        }
    }

    fn take_office(&mut self, now: Now, epoch: u64) {
        self.leave_office(now);
        log::info!("primary from epoch {epoch} on");
        self.recovering = Some(epoch);
        let (settings, state) = (self.settings.clone(), self.replication.state());
        self.actions.push(Action::Recover(Recovery {
            epoch,
            now,
            settings,
            state,
        }));
    }

    /// A recovery has ended; one of an office that was left meanwhile counts no more.
    pub fn recovered(
        &mut self,
        now: Now,
        epoch: u64,
        scheduler: Result<S, RecoverError>,
    ) -> Vec<Action> {
        if self.recovering == Some(epoch) {
            self.recovering = None;
            match scheduler {
                Ok(scheduler) => self.begin_work(epoch, scheduler),
                Err(error) => log::error!("epoch {epoch}: the state can't be recovered: {error}"),
            }
            self.release(now);
        }
        self.take_early(now);
        std::mem::take(&mut self.actions)
    }

    /// Nothing was appended since the election, as only the scheduler writes.
    fn begin_work(&mut self, epoch: u64, scheduler: S) {
        let sequence = self.replication.appended();
        self.publication
            .taken(sequence, scheduler.version(), || scheduler.newest());
        self.epoch = epoch;
        self.scheduler = Some(scheduler);
    }

    fn leave_office(&mut self, now: Now) {
        self.recovering = None;
        if self.scheduler.take().is_some() {
            log::info!(
                "no longer primary; {} calls are answered so",
                self.outstanding.len()
            );
        }
        self.held.clear();
        self.publication = Publication::default();
        let view = self.replication.view(now.steady_ms);
        for (request, outstanding) in std::mem::take(&mut self.outstanding) {
            let answer = match outstanding.mutating && !outstanding.refused {
                true => ControlOutcome::Unknown,
                false => ControlOutcome::NotPrimary(view.clone()),
            };
            self.actions.push(Action::Answer { request, answer });
        }
    }

    /// Whether calls may be read and answers may leave: judged when a call has been read, and again at its release.
    fn may_answer(&self, now: Millis) -> bool {
        self.replication.may_act(now) || cfg!(feature = "mutant-release")
    }

    fn release(&mut self, now: Now) {
        let waits = !self.held.is_empty() || self.publication.is_pending();
        if !waits || !self.may_answer(now.steady_ms) {
            return;
        }
        let committed = self.replication.committed();
        self.publication.committed(committed);
        while self
            .held
            .front()
            .is_some_and(|held| held.sequence <= committed)
        {
            let Some(held) = self.held.pop_front() else {
                return;
            };
            self.answer(now, held);
        }
    }

    fn answer(&mut self, now: Now, held: Held) {
        let Some(outstanding) = self.outstanding.remove(&held.request) else {
            return;
        };
        let mut reply = held.reply;
        if let SchedulerResponse::Agent(orders) = &mut reply {
            // An agent that knows an older epoch may know older members.
            let is_behind = outstanding
                .agent_epoch
                .is_some_and(|epoch| epoch < orders.epoch);
            if is_behind && orders.view.is_none() {
                orders.view = Some(self.replication.view(now.steady_ms));
            }
        }
        self.actions.push(Action::Answer {
            request: held.request,
            answer: ControlOutcome::Reply(reply),
        });
    }
}

impl<S> Driver<Coordinator, S> {
    /// Replaces the seeds, as after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.replication.set_seeds(seeds);
    }
}
