//! Clients: they hand jobs in, ask for them, and cancel some.

use super::event::Event;
use super::jobs::{self, Kind};
use super::Fleet;
use crate::catalog::KnownJob;
use crate::network::MachineId;
use crate::workload::{draw_job, Workload};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, ClientResponse};
use streamusher_protocol::job::{JobState, JobStatus};
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// How long clients wait.
const PATIENCE_MS: Millis = 3_000;
/// Times that a job is sent.
const MOST_TRIES: u32 = 10;
/// How long a job is asked for at the end of the day.
pub(crate) const FINAL_TRIES_MS: Millis = 4_000;
/// Between two questions at the end of the day.
const FINAL_PAUSE_MS: Millis = 400;
/// Between two questions of a job.
const POLL_EVERY_MS: Millis = 900;
/// Share of the jobs that are sent to two gates at once.
const SENT_TWICE: f64 = 0.25;
/// Share of the jobs that are sent once more after they were accepted, and how long after at most.
const SENT_AGAIN: f64 = 0.1;
const LATEST_AGAIN_MS: Millis = 6_000;
/// Share of the jobs that are cancelled.
const CANCELLED: f64 = 0.1;
/// Failures that no queue allows.
const ALWAYS: u32 = u32::MAX;

/// What a client does.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// Hands in a job of the ordinary traffic, or one that can never be done.
    New { poison: bool },
    /// Hands in a job of a workload's class.
    OfClass { class: usize },
    /// Sends a job, perhaps again.
    Submit { job: usize },
    /// A call reaches a gate.
    Arrives { call: u64 },
    /// A call was answered; none if its connection broke.
    Answer {
        call: u64,
        reply: Option<ClientResponse>,
    },
    /// The client waits no longer.
    Silence { call: u64 },
    /// Sends a job once more, seconds after it was accepted.
    Again { job: usize },
    /// Asks for a job.
    Poll { job: usize },
    /// Cancels a job.
    Cancel { job: usize },
    /// Asks for a job at the end of the day.
    Last { job: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Submit,
    Poll,
    Cancel,
    Last,
}

#[derive(Debug)]
struct ClientJob {
    id: JobId,
    path: Arc<str>,
    body: Arc<str>,
    prefix: Arc<str>,
    lasting: bool,
    tries: u32,
    accepted: bool,
    cancelled: bool,
    polling: bool,
    ended: bool,
    settled: bool,
}

#[derive(Debug)]
struct OpenClientCall {
    job: usize,
    purpose: Purpose,
    gate: MachineId,
    sent: Millis,
    call: ClientRequest,
}

/// All clients of a day.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    jobs: Vec<ClientJob>,
    open: BTreeMap<u64, OpenClientCall>,
    next_call: u64,
    /// Calls refused with 503.
    pub(crate) refused: u64,
}

impl Fleet {
    /// Plans the ordinary traffic.
    pub(crate) fn plan_traffic(&mut self) {
        if let Some(workload) = self.workload.clone() {
            return self.plan_workload(&workload);
        }
        for _ in 0..self.setup.jobs {
            let at = self
                .random
                .between(self.setup.traffic_from, self.setup.traffic_until);
            self.queue
                .push(at, Event::Client(ClientEvent::New { poison: false }));
        }
    }

    /// Plans a workload's traffic: each class's jobs come independently of each other.
    fn plan_workload(&mut self, workload: &Workload) {
        for (class, shape) in workload.classes.iter().enumerate() {
            let mut at = self.setup.traffic_from as f64;
            loop {
                at += 1_000.0 * self.random.pause(shape.rate);
                if at >= self.setup.traffic_until as f64 {
                    break;
                }
                self.queue
                    .push(at as Millis, Event::Client(ClientEvent::OfClass { class }));
            }
        }
    }

    fn new_of_class(&mut self, class: usize) {
        let Some(workload) = self.workload.clone() else {
            return;
        };
        let known = draw_job(&workload, class, &mut self.random, self.now, jobs::HOST);
        self.hand_in(known);
    }

    pub(crate) fn client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::New { poison } => self.new_job(poison),
            ClientEvent::OfClass { class } => self.new_of_class(class),
            ClientEvent::Submit { job } => self.submit(job),
            ClientEvent::Arrives { call } => self.client_call_arrives(call),
            ClientEvent::Answer { call, reply } => self.client_answered(call, reply),
            ClientEvent::Silence { call } => self.client_answered(call, None),
            ClientEvent::Again { job } => self.send_again(job),
            ClientEvent::Poll { job } => self.poll(job),
            ClientEvent::Cancel { job } => self.cancel(job),
            ClientEvent::Last { job } => self.ask_last(job),
        }
    }

    fn new_job(&mut self, poison: bool) {
        let kind = Kind::draw(&mut self.random);
        let extra = if self.random.chance(0.15) {
            self.operator.some_extra_prefix(&mut self.random)
        } else {
            None
        };
        let (kind, prefix) = match extra {
            Some(prefix) => (Kind::Quick, prefix),
            None => (kind, kind.prefix().into()),
        };
        let mut known = jobs::draw(&mut self.random, kind, prefix, self.now);
        if poison {
            known.own_failures = ALWAYS;
        }
        self.hand_in(known);
    }

    /// Hands in a job; it is sent, asked for, and perhaps cancelled. Returns its identifier.
    pub fn hand_in(&mut self, known: KnownJob) -> JobId {
        let digits = format!("{:016x}", self.random.word());
        let Ok(id) = digits.parse::<JobId>() else {
            unreachable!("16 hexadecimal digits")
        };
        let lasting = known.request.steps.iter().any(|step| step.long_running);
        self.clients.jobs.push(ClientJob {
            id: id.clone(),
            path: format!("{}{id}", known.prefix).into(),
            body: serde_json::to_string(&*known.request)
                .unwrap_or_default()
                .into(),
            prefix: known.prefix.clone(),
            lasting,
            tries: 0,
            accepted: false,
            cancelled: false,
            polling: false,
            ended: false,
            settled: false,
        });
        let job = self.clients.jobs.len() - 1;
        self.catalog.add(id.clone(), known);
        self.submit(job);
        if self.random.chance(SENT_TWICE) {
            self.submit(job);
        }
        let last = self.setup.traffic_until + self.setup.bounds.finish_ms;
        self.queue
            .push(last.max(self.now), Event::Client(ClientEvent::Last { job }));
        id
    }

    fn submit(&mut self, job: usize) {
        let state = &mut self.clients.jobs[job];
        if state.accepted || state.tries >= MOST_TRIES {
            return;
        }
        state.tries += 1;
        let (id, body) = (state.id.clone(), state.body.clone());
        let hopeless = self
            .catalog
            .job(&id)
            .is_some_and(|known| known.own_failures == ALWAYS);
        self.checker.submit_sent(&id, hopeless);
        self.send(job, Purpose::Submit, ClientMethod::Post, body);
    }

    fn send_again(&mut self, job: usize) {
        let (id, body) = (
            self.clients.jobs[job].id.clone(),
            self.clients.jobs[job].body.clone(),
        );
        let hopeless = self
            .catalog
            .job(&id)
            .is_some_and(|known| known.own_failures == ALWAYS);
        self.checker.submit_sent(&id, hopeless);
        self.send(job, Purpose::Submit, ClientMethod::Post, body);
    }

    fn poll(&mut self, job: usize) {
        let state = &self.clients.jobs[job];
        if !state.ended && self.now < self.setup.traffic_until + self.setup.bounds.finish_ms {
            self.send(job, Purpose::Poll, ClientMethod::Get, "".into());
        }
    }

    fn cancel(&mut self, job: usize) {
        let id = self.clients.jobs[job].id.clone();
        self.clients.jobs[job].cancelled = true;
        self.checker.cancel_sent(self.now, &id);
        self.send(job, Purpose::Cancel, ClientMethod::Delete, "".into());
    }

    /// Cancels some of the jobs that are not over.
    pub(crate) fn cancel_some(&mut self, count: usize) {
        let open = |(_, job): &(usize, &ClientJob)| job.accepted && !job.cancelled && !job.ended;
        let jobs: Vec<usize> = self
            .clients
            .jobs
            .iter()
            .enumerate()
            .filter(open)
            .map(|(index, _)| index)
            .collect();
        for job in jobs.into_iter().rev().take(count) {
            self.cancel(job);
        }
    }

    fn ask_last(&mut self, job: usize) {
        if self.clients.jobs[job].settled {
            return;
        }
        let over = self.setup.traffic_until + self.setup.bounds.finish_ms + FINAL_TRIES_MS
            - FINAL_PAUSE_MS;
        if self.now > over {
            self.settle_last(job, false);
            return;
        }
        self.send(job, Purpose::Last, ClientMethod::Get, "".into());
    }

    fn settle_last(&mut self, job: usize, answered: bool) {
        self.clients.jobs[job].settled = true;
        let id = self.clients.jobs[job].id.clone();
        self.checker.asked_at_end(self.now, &id, answered);
    }

    fn send(&mut self, job: usize, purpose: Purpose, method: ClientMethod, body: Arc<str>) {
        let index = self.random.below(self.setup.gates);
        let gate = self.gate_machine(index);
        let path = self.clients.jobs[job].path.clone();
        let call = ClientRequest {
            method,
            host: jobs::HOST.into(),
            path,
            body,
            configuration_version: 0,
        };
        self.clients.next_call += 1;
        let number = self.clients.next_call;
        self.clients.open.insert(
            number,
            OpenClientCall {
                job,
                purpose,
                gate,
                sent: self.now,
                call,
            },
        );
        let delay = self.random.between(1, 5);
        self.queue.push(
            self.now + delay,
            Event::Client(ClientEvent::Arrives { call: number }),
        );
        self.queue.push(
            self.now + PATIENCE_MS,
            Event::Client(ClientEvent::Silence { call: number }),
        );
    }

    fn client_call_arrives(&mut self, number: u64) {
        let Some(open) = self.clients.open.get(&number) else {
            return;
        };
        let (gate, call) = (open.gate, open.call.clone());
        if let Some(thaw) = self.machines[gate]
            .frozen_until
            .filter(|thaw| *thaw > self.now)
        {
            self.queue
                .push(thaw, Event::Client(ClientEvent::Arrives { call: number }));
            return;
        }
        if self.machines[gate].process.is_none() {
            self.answer_client(number, None);
            return;
        }
        self.gate_called(gate, number, call);
    }

    /// Sends an answer, or the news of a broken connection, to a client.
    pub(crate) fn answer_client(&mut self, call: u64, reply: Option<ClientResponse>) {
        let delay = self.random.between(1, 5);
        self.queue.push(
            self.now + delay,
            Event::Client(ClientEvent::Answer { call, reply }),
        );
    }

    /// A gate's process has ended: its clients' connections break.
    pub(crate) fn break_clients(&mut self, gate: MachineId) {
        let broken: Vec<u64> = self
            .clients
            .open
            .iter()
            .filter(|(_, call)| call.gate == gate)
            .map(|(number, _)| *number)
            .collect();
        for number in broken {
            self.answer_client(number, None);
        }
    }

    fn client_answered(&mut self, number: u64, reply: Option<ClientResponse>) {
        let Some(open) = self.clients.open.remove(&number) else {
            return;
        };
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let retry = reply.as_ref().and_then(|reply| reply.retry_after_ms);
        let id = self.clients.jobs[open.job].id.clone();
        self.trace(|| format!("client {:?} {id} answered {status}", open.purpose));
        if status == 503 {
            self.clients.refused += 1;
        }
        match open.purpose {
            Purpose::Submit => self.submit_answered(&open, &id, status, retry),
            Purpose::Poll | Purpose::Last => self.status_answered(&open, &id, status, reply),
            Purpose::Cancel => self.cancel_answered(open.job, &id, status),
        }
    }

    fn submit_answered(
        &mut self,
        open: &OpenClientCall,
        id: &JobId,
        status: u16,
        retry: Option<Millis>,
    ) {
        self.checker.submit_answered(self.now, id, status);
        if self.in_touch(open.gate) {
            let prefix = self.clients.jobs[open.job].prefix.clone();
            self.checker
                .request_handled(self.now, jobs::HOST, &prefix, open.sent, status);
        }
        let job = open.job;
        match status {
            200..=299 => self.job_accepted(job),
            404 | 400 => {}
            429 | 503 => {
                let pause = retry.unwrap_or(500).max(100);
                self.queue
                    .push(self.now + pause, Event::Client(ClientEvent::Submit { job }));
            }
            _ => {
                let pause = self.random.between(50, 300);
                self.queue
                    .push(self.now + pause, Event::Client(ClientEvent::Submit { job }));
            }
        }
    }

    fn job_accepted(&mut self, job: usize) {
        let state = &mut self.clients.jobs[job];
        state.accepted = true;
        if state.polling {
            return;
        }
        state.polling = true;
        let lasting = state.lasting;
        if self.random.chance(SENT_AGAIN) {
            let after = self.random.between(500, LATEST_AGAIN_MS);
            self.queue
                .push(self.now + after, Event::Client(ClientEvent::Again { job }));
        }
        let soon = self.random.between(200, POLL_EVERY_MS);
        self.queue
            .push(self.now + soon, Event::Client(ClientEvent::Poll { job }));
        // What a workload's jobs earn is measured: none is cancelled.
        let may_cancel = self.workload.is_none();
        if may_cancel && (lasting || self.random.chance(CANCELLED)) {
            let longest = if lasting { 8_000 } else { 3_000 };
            let after = self.random.between(0, longest);
            self.queue
                .push(self.now + after, Event::Client(ClientEvent::Cancel { job }));
        }
    }

    fn status_answered(
        &mut self,
        open: &OpenClientCall,
        id: &JobId,
        status: u16,
        reply: Option<ClientResponse>,
    ) {
        let read = reply
            .as_ref()
            .and_then(|reply| serde_json::from_str::<JobStatus>(&reply.body).ok());
        let state = read.map(|status| status.state).filter(|_| status == 200);
        let calm = self.in_touch(open.gate);
        let asked = crate::checker::jobs::Asked {
            at: open.sent,
            calm,
        };
        self.checker
            .status_answered(self.now, &self.catalog, id, status, state, asked);
        let job = open.job;
        if state.is_some_and(JobState::is_final) {
            self.clients.jobs[job].ended = true;
        }
        match open.purpose {
            Purpose::Last if state.is_some() => self.settle_last(job, true),
            // A dropped queue's jobs are not shown any more.
            Purpose::Last
                if status == 404
                    && self
                        .checker
                        .may_be_dropped(jobs::HOST, &self.clients.jobs[job].prefix) =>
            {
                self.clients.jobs[job].settled = true;
            }
            Purpose::Last => {
                self.queue.push(
                    self.now + FINAL_PAUSE_MS,
                    Event::Client(ClientEvent::Last { job }),
                );
            }
            _ => self.queue.push(
                self.now + POLL_EVERY_MS,
                Event::Client(ClientEvent::Poll { job }),
            ),
        }
    }

    fn cancel_answered(&mut self, job: usize, id: &JobId, status: u16) {
        match status {
            200..=299 | 410 => self.checker.cancel_acknowledged(self.now, id),
            _ => {
                let pause = self.random.between(200, 600);
                self.queue
                    .push(self.now + pause, Event::Client(ClientEvent::Cancel { job }));
            }
        }
    }
}
