//! The agent itself: events in, actions out.

use super::orders::{OrdersBook, Taken};
use super::syncs::Syncs;
use super::worker::{longest_hold, silence, Worker};
use super::{answers, AgentAction, AgentEvent, AgentSettings, AgentStatus};
use std::collections::VecDeque;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, WorkerState};
use streamusher_protocol::internal::{AgentCommands, AgentSync};
use streamusher_protocol::Millis;

/// How long an idle worker's call is held for orders: with the way there and back within the second that it waits.
const HELD_MS: Millis = 650;

/// How long the primary may hold a sync: checkpoints are reported so often, and its silence is noticed that soon.
const SYNC_WAIT_MS: Millis = 350;

/// Earlier instances remembered, so that a late call of one is not taken for a new worker.
const MOST_EARLIER: usize = 8;

/// A call that waits for orders.
#[derive(Clone, Copy, Debug)]
struct Held {
    request: u64,
    until: Millis,
}

/// The state machine of one agent.
#[derive(Debug)]
pub struct Agent {
    settings: AgentSettings,
    started_at: Millis,
    worker: Option<Worker>,
    earlier: VecDeque<Arc<str>>,
    book: OrdersBook,
    syncs: Syncs,
    held: Option<Held>,
}

impl Agent {
    /// An agent that has just started: no lease, no worker.
    pub fn new(settings: AgentSettings, now: Millis) -> Agent {
        Agent {
            settings,
            started_at: now,
            worker: None,
            earlier: VecDeque::new(),
            book: OrdersBook::default(),
            syncs: Syncs::default(),
            held: None,
        }
    }

    /// Takes what happened at `now`, which never goes back, and says what is to be done.
    pub fn handle(&mut self, now: Millis, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        match event {
            AgentEvent::Heartbeat {
                request_id: request,
                instance,
                heartbeat,
            } => {
                self.heartbeat(now, request, instance, heartbeat, &mut actions);
            }
            AgentEvent::Deregister {
                request_id: request,
                instance,
            } => self.deregister(now, request, instance, &mut actions),
            AgentEvent::SyncResponse { sequence, commands } => self.orders(sequence, commands),
            AgentEvent::SyncFailed { sequence } => self.syncs.failed(now, sequence),
            AgentEvent::Tick => {}
        }
        self.look_for_silence(now);
        self.answer_held(now, &mut actions);
        self.sync(now, &mut actions);
        actions
    }

    /// When [`AgentEvent::Tick`] is wanted at the latest.
    pub fn next_wakeup(&self) -> Option<Millis> {
        let held = self.held.map(|held| held.until);
        [held, self.syncs.due_at(), self.silent_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Answers the call that is held, without starts: the process is about to end.
    pub fn shut_down(&mut self, now: Millis) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        if let (Some(held), Some(worker)) = (self.held.take(), &mut self.worker) {
            let answer = answers::answer(&self.settings, &self.book, worker, now, false);
            actions.push(AgentAction::Respond {
                request_id: held.request,
                response: answer,
            });
        }
        actions
    }

    /// What an operator sees.
    pub fn status(&self, now: Millis) -> AgentStatus {
        let worker = self.worker.as_ref();
        AgentStatus {
            name: Arc::clone(&self.settings.name),
            boot: self.settings.boot,
            epoch: self.book.epoch(),
            revision: self.book.revision(),
            lease_left_ms: self.book.lease_until().saturating_sub(now),
            instance: worker.map(|worker| Arc::clone(&worker.instance)),
            gone: worker.is_some_and(Worker::is_gone),
            running: worker.map_or(0, |worker| worker.heartbeat.running.len()),
            offered: worker.map_or(0, |worker| worker.offered().len()),
            syncs_under_way: self.syncs.under_way(),
            syncs: self.syncs.count(),
        }
    }

    fn heartbeat(
        &mut self,
        now: Millis,
        request: u64,
        instance: Arc<str>,
        heartbeat: Heartbeat,
        actions: &mut Vec<AgentAction>,
    ) {
        self.answer_superseded(actions);
        if self.is_late(&instance, heartbeat.sequence) {
            let answer = answers::plain(&self.book);
            actions.push(AgentAction::Respond {
                request_id: request,
                response: answer,
            });
            return;
        }
        self.take_heartbeat(now, instance, heartbeat);
        let until = if self.may_hold(now) {
            now.saturating_add(HELD_MS)
        } else {
            now
        };
        self.held = Some(Held { request, until });
    }

    fn is_late(&self, instance: &Arc<str>, sequence: u64) -> bool {
        if self.earlier.contains(instance) {
            return true;
        }
        let same = self
            .worker
            .as_ref()
            .filter(|worker| worker.instance == *instance);
        same.is_some_and(|worker| {
            worker.has_deregistered() || sequence <= worker.heartbeat.sequence
        })
    }

    fn take_heartbeat(&mut self, now: Millis, instance: Arc<str>, heartbeat: Heartbeat) {
        let news = match self
            .worker
            .as_mut()
            .filter(|worker| worker.instance == instance)
        {
            Some(worker) => worker.take(now, heartbeat),
            None => {
                let earlier_hold_over_at = self.earlier_hold_over_at();
                self.replace_worker(Worker::new(instance, heartbeat, now, earlier_hold_over_at));
                true
            }
        };
        if news {
            self.syncs.note_news();
        }
    }

    /// Until when a hold of an earlier start of this agent may last.
    fn earlier_hold_over_at(&self) -> Millis {
        self.started_at
            .saturating_add(longest_hold(self.settings.longest_grant_ms()))
    }

    fn replace_worker(&mut self, worker: Worker) {
        let Some(before) = self.worker.replace(worker) else {
            return;
        };
        self.earlier.push_back(before.instance);
        if self.earlier.len() > MOST_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Whether the newest call may wait for orders: nothing is at work there, and orders can come.
    fn may_hold(&self, now: Millis) -> bool {
        let idle = |worker: &Worker| {
            worker.heartbeat.state == WorkerState::Ready && worker.heartbeat.running.is_empty()
        };
        self.worker.as_ref().is_some_and(idle) && self.book.lease_until() > now
    }

    fn deregister(
        &mut self,
        now: Millis,
        request: u64,
        instance: Arc<str>,
        actions: &mut Vec<AgentAction>,
    ) {
        actions.push(AgentAction::AcknowledgeDeregistration {
            request_id: request,
        });
        if self.earlier.contains(&instance) {
            return;
        }
        self.answer_superseded(actions);
        match self
            .worker
            .as_mut()
            .filter(|worker| worker.instance == instance)
        {
            Some(worker) => worker.deregister(),
            None => {
                let hold_over_at = self.earlier_hold_over_at();
                self.replace_worker(Worker::only_leaving(instance, now, hold_over_at));
            }
        }
        self.note_gone();
    }

    fn note_gone(&mut self) {
        self.book.forget_starts(self.syncs.next_sequence());
        self.syncs.note_news();
    }

    fn orders(&mut self, sequence: u64, orders: AgentCommands) {
        let Some(sent_at) = self.syncs.answered(sequence) else {
            return;
        };
        let taken = self.book.take(sent_at, sequence, orders);
        if taken == (Taken::Applied { withdrew: true }) {
            self.syncs.note_news();
        }
        if let Some(worker) = &mut self.worker {
            worker.keep_stops_told(self.book.stops(&worker.instance));
        }
    }

    /// When the worker is called gone if nothing comes from it.
    fn silent_at(&self) -> Option<Millis> {
        match &self.worker {
            Some(worker) => worker.silent_at(self.settings.heartbeat_ms),
            None => {
                // The primary names a worker that has not called since this agent started.
                self.book.instance()?;
                let missed = self
                    .started_at
                    .saturating_add(silence(self.settings.heartbeat_ms));
                Some(self.earlier_hold_over_at().max(missed).saturating_add(1))
            }
        }
    }

    fn look_for_silence(&mut self, now: Millis) {
        if self.silent_at().is_none_or(|at| now < at) {
            return;
        }
        match (&mut self.worker, self.book.instance()) {
            (Some(worker), _) => worker.note_silent(),
            (None, Some(instance)) => {
                self.worker = Some(Worker::only_gone(Arc::clone(instance), now))
            }
            (None, None) => return,
        }
        self.note_gone();
    }

    /// The held call is answered when its time is over or there is something to do.
    fn answer_held(&mut self, now: Millis, actions: &mut Vec<AgentAction>) {
        let (Some(held), Some(worker)) = (self.held, &mut self.worker) else {
            return;
        };
        if now < held.until && !answers::has_orders(&self.settings, &self.book, worker, now) {
            return;
        }
        self.held = None;
        let answer = answers::answer(&self.settings, &self.book, worker, now, true);
        actions.push(AgentAction::Respond {
            request_id: held.request,
            response: answer,
        });
    }

    /// A newer call has come: the one that is held gets nothing to do.
    fn answer_superseded(&mut self, actions: &mut Vec<AgentAction>) {
        if let Some(held) = self.held.take() {
            let answer = answers::plain(&self.book);
            actions.push(AgentAction::Respond {
                request_id: held.request,
                response: answer,
            });
        }
    }

    fn sync(&mut self, now: Millis, actions: &mut Vec<AgentAction>) {
        if self.syncs.due_at().is_none_or(|at| now < at) {
            return;
        }
        let sequence = self.syncs.begin(now);
        actions.push(AgentAction::SendSync(AgentSync {
            agent: Arc::clone(&self.settings.name),
            boot: self.settings.boot,
            sequence,
            epoch: self.book.epoch(),
            revision: self.book.revision(),
            wait_ms: SYNC_WAIT_MS,
            worker: self.worker.as_ref().map(|worker| worker.report(now)),
        }));
    }
}
