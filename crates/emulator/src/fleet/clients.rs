//! Clients, which submit jobs, query them, and cancel some of them.

use super::environment::Environment;
use super::event::{ClientEvent, Event};
use super::gate;
use super::job_mix::{self, JobKind};
use super::reachability;
use crate::checker::{QueueResponse, StatusResponse};
use crate::network::MachineId;
use crate::submitted_jobs::SubmittedJob;
use crate::workload::{self, Workload};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, ClientResponse};
use streamusher_protocol::job::{JobState, JobStatus};
use streamusher_protocol::task::JobId;
use streamusher_protocol::Millis;

/// Time-out of a client's request.
const RESPONSE_TIMEOUT_MS: Millis = 3_000;
/// Largest number of attempts to submit a job.
const MAX_SUBMIT_ATTEMPTS: u32 = 10;
/// Duration of the queries at the end of the simulation.
pub(crate) const FINAL_QUERIES_MS: Millis = 4_000;
/// Interval between two queries of a job at the end of the simulation.
const FINAL_QUERY_INTERVAL_MS: Millis = 400;
/// Interval between two queries of a job.
const QUERY_INTERVAL_MS: Millis = 900;
/// Share of the jobs that name a queue that was added, was removed, or never existed.
const OTHER_QUEUE_SHARE: f64 = 0.15;
/// Share of the jobs that are submitted twice at the same time, each time to a random gate.
const DUPLICATE_SUBMIT_SHARE: f64 = 0.25;
/// Share of the jobs that are submitted again after they were accepted.
const RESUBMIT_SHARE: f64 = 0.1;
/// Longest time from the acceptance of a job until it is submitted again.
const MAX_RESUBMIT_DELAY_MS: Millis = 6_000;
/// Share of the jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.1;
/// Longest time from the acceptance of a job until it is cancelled.
const MAX_CANCEL_DELAY_MS: Millis = 3_000;
/// Longest time from the acceptance of a long-running job until it is cancelled.
const MAX_LONG_RUNNING_CANCEL_DELAY_MS: Millis = 8_000;
/// Number of failing runs of a job all of whose runs fail.
const ALWAYS_FAILS: u32 = u32::MAX;
/// Pause before an overloaded client retries, unless the response gives one.
const DEFAULT_RETRY_AFTER_MS: Millis = 500;
const MIN_RETRY_AFTER_MS: Millis = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Submit,
    Query,
    Cancel,
    FinalQuery,
}

/// State that a client keeps for a job.
#[derive(Debug)]
struct ClientJob {
    id: JobId,
    path: Arc<str>,
    body: Arc<str>,
    prefix: Arc<str>,
    submit_attempts: u32,
    accepted: bool,
    cancelled: bool,
    /// Whether a response has reported a final state.
    ended: bool,
    final_query: FinalQueryState,
}

/// Whether a job is still queried at the end of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalQueryState {
    Pending,
    Finished,
}

impl ClientJob {
    fn new(id: JobId, job: &SubmittedJob) -> ClientJob {
        let body = serde_json::to_string(&*job.request).unwrap_or_default();
        ClientJob {
            path: format!("{}{id}", job.prefix).into(),
            id,
            body: body.into(),
            prefix: job.prefix.clone(),
            submit_attempts: 0,
            accepted: false,
            cancelled: false,
            ended: false,
            final_query: FinalQueryState::Pending,
        }
    }
}

#[derive(Debug)]
struct OpenRequest {
    job: usize,
    purpose: Purpose,
    gate: MachineId,
    sent_at: Millis,
    request: ClientRequest,
}

/// All clients of a fleet.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    jobs: Vec<ClientJob>,
    open_requests: BTreeMap<u64, OpenRequest>,
    last_request: u64,
    /// Workload whose traffic the clients generate; `None` for the regular traffic.
    workload: Option<Arc<Workload>>,
}

impl Clients {
    pub(crate) fn new(workload: Option<Arc<Workload>>) -> Clients {
        Clients {
            workload,
            ..Clients::default()
        }
    }

    /// Handles a scheduled event. `other_queues` are queues that operators have added and possibly removed
    /// since.
    pub(crate) fn on_event(
        &mut self,
        env: &mut Environment,
        other_queues: &[Arc<str>],
        event: ClientEvent,
    ) {
        match event {
            ClientEvent::NewJob { hopeless } => self.new_job(env, other_queues, hopeless),
            ClientEvent::NewJobOfClass { class } => self.new_job_of_class(env, class),
            ClientEvent::Submit { job } => self.submit(env, job),
            ClientEvent::Resubmit { job } => self.send_submission(env, job),
            ClientEvent::Query { job } => self.query(env, job),
            ClientEvent::Cancel { job } => self.cancel(env, job),
            ClientEvent::FinalQuery { job } => self.send_final_query(env, job),
            ClientEvent::RequestArrives { request } => self.on_request_arrives(env, request),
            ClientEvent::ResponseArrives { request, response } => {
                self.on_response(env, request, response);
            }
        }
    }

    fn new_job(&mut self, env: &mut Environment, other_queues: &[Arc<str>], hopeless: bool) {
        let kind = JobKind::draw(&mut env.random);
        let other_queue = if env.random.chance(OTHER_QUEUE_SHARE) {
            draw_other_queue(env, other_queues)
        } else {
            None
        };
        let (kind, prefix) = match other_queue {
            Some(prefix) => (JobKind::Quick, prefix),
            None => (kind, kind.prefix().into()),
        };
        let mut job = job_mix::draw_job(&mut env.random, kind, prefix, env.now);
        if hopeless {
            job.failing_runs = ALWAYS_FAILS;
        }
        self.submit_new(env, job);
    }

    fn new_job_of_class(&mut self, env: &mut Environment, class: usize) {
        let Some(workload) = self.workload.clone() else {
            return;
        };
        let job = workload::draw_job(&workload, class, &mut env.random, env.now, job_mix::HOST);
        self.submit_new(env, job);
    }

    /// Submits a job, and schedules its final query.
    fn submit_new(&mut self, env: &mut Environment, job: SubmittedJob) {
        let digits = format!("{:016x}", env.random.next_u64());
        let Ok(id) = digits.parse::<JobId>() else {
            unreachable!("16 hexadecimal digits are a valid job id")
        };
        self.jobs.push(ClientJob::new(id.clone(), &job));
        let job_index = self.jobs.len() - 1;
        env.submitted_jobs.add(id, job);
        self.submit(env, job_index);
        if env.random.chance(DUPLICATE_SUBMIT_SHARE) {
            self.submit(env, job_index);
        }
        let due = env.settings.final_queries_at().max(env.now);
        let event = ClientEvent::FinalQuery { job: job_index };
        env.schedule_at(due, Event::Client(event));
    }

    fn submit(&mut self, env: &mut Environment, job: usize) {
        let state = &mut self.jobs[job];
        if state.accepted || state.submit_attempts >= MAX_SUBMIT_ATTEMPTS {
            return;
        }
        state.submit_attempts += 1;
        self.send_submission(env, job);
    }

    fn send_submission(&mut self, env: &mut Environment, job: usize) {
        let state = &self.jobs[job];
        let body = state.body.clone();
        let submitted = env.submitted_jobs.job(&state.id);
        let hopeless = submitted.is_some_and(|job| job.failing_runs == ALWAYS_FAILS);
        env.checker.on_submit_sent(&state.id, hopeless);
        self.send(env, job, Purpose::Submit, body);
    }

    fn query(&mut self, env: &mut Environment, job: usize) {
        if !self.jobs[job].ended && env.now < env.settings.final_queries_at() {
            self.send(env, job, Purpose::Query, "".into());
        }
    }

    fn cancel(&mut self, env: &mut Environment, job: usize) {
        let state = &mut self.jobs[job];
        state.cancelled = true;
        env.checker.on_cancel_sent(env.now, &state.id);
        self.send(env, job, Purpose::Cancel, "".into());
    }

    /// Cancels the newest accepted jobs that are neither finished nor cancelled.
    pub(crate) fn cancel_newest(&mut self, env: &mut Environment, count: usize) {
        let is_open = |job: &ClientJob| job.accepted && !job.cancelled && !job.ended;
        let newest_first = (0..self.jobs.len()).rev();
        let open = newest_first.filter(|job| is_open(&self.jobs[*job]));
        let jobs: Vec<usize> = open.take(count).collect();
        for job in jobs {
            self.cancel(env, job);
        }
    }

    fn send_final_query(&mut self, env: &mut Environment, job: usize) {
        if self.jobs[job].final_query == FinalQueryState::Finished {
            return;
        }
        let last_query_at =
            env.settings.final_queries_at() + FINAL_QUERIES_MS - FINAL_QUERY_INTERVAL_MS;
        if env.now > last_query_at {
            self.finish_final_query(env, job, false);
            return;
        }
        self.send(env, job, Purpose::FinalQuery, "".into());
    }

    fn finish_final_query(&mut self, env: &mut Environment, job: usize, answered: bool) {
        let state = &mut self.jobs[job];
        state.final_query = FinalQueryState::Finished;
        env.checker
            .on_final_query_over(env.now, &state.id, answered);
    }

    fn send(&mut self, env: &mut Environment, job: usize, purpose: Purpose, body: Arc<str>) {
        let gate = env.random.below(env.settings.gates);
        let method = match purpose {
            Purpose::Submit => ClientMethod::Post,
            Purpose::Query | Purpose::FinalQuery => ClientMethod::Get,
            Purpose::Cancel => ClientMethod::Delete,
        };
        self.last_request += 1;
        let request = self.last_request;
        let open = OpenRequest {
            job,
            purpose,
            gate: env.gate_machine(gate),
            sent_at: env.now,
            request: ClientRequest {
                method,
                host: job_mix::HOST.into(),
                path: self.jobs[job].path.clone(),
                body,
                configuration_version: 0,
            },
        };
        self.open_requests.insert(request, open);
        let delay_ms = env.draw_client_delay();
        let arrival = ClientEvent::RequestArrives { request };
        env.schedule_in(delay_ms, Event::Client(arrival));
        let timeout = ClientEvent::ResponseArrives {
            request,
            response: None,
        };
        env.schedule_in(RESPONSE_TIMEOUT_MS, Event::Client(timeout));
    }

    fn on_request_arrives(&mut self, env: &mut Environment, request: u64) {
        let Some(open) = self.open_requests.get(&request) else {
            return;
        };
        let machine = &env.machines[open.gate];
        if let Some(wakes_at) = machine.wakes_at(env.now) {
            let arrival = ClientEvent::RequestArrives { request };
            env.schedule_at(wakes_at, Event::Client(arrival));
            return;
        }
        if machine.process.is_none() {
            env.respond_to_client(request, None);
            return;
        }
        gate::on_client_request(env, open.gate, request, open.request.clone());
    }

    /// Breaks the clients' connections to a gate whose process has ended.
    pub(crate) fn on_gate_ended(&self, env: &mut Environment, gate: MachineId) {
        let requests = self.open_requests.iter();
        for (request, _) in requests.filter(|(_, open)| open.gate == gate) {
            env.respond_to_client(*request, None);
        }
    }

    fn on_response(
        &mut self,
        env: &mut Environment,
        request: u64,
        response: Option<ClientResponse>,
    ) {
        let Some(open) = self.open_requests.remove(&request) else {
            return;
        };
        let status = response.as_ref().map_or(0, |response| response.status);
        env.trace(|| {
            format!(
                "client {:?} {} response status {status}",
                open.purpose, self.jobs[open.job].id
            )
        });
        match open.purpose {
            Purpose::Submit => {
                let retry_after_ms = response.and_then(|response| response.retry_after_ms);
                self.on_submit_response(env, &open, status, retry_after_ms);
            }
            Purpose::Query | Purpose::FinalQuery => {
                self.on_query_response(env, &open, status, response);
            }
            Purpose::Cancel => self.on_cancel_response(env, open.job, status),
        }
    }

    fn on_submit_response(
        &mut self,
        env: &mut Environment,
        open: &OpenRequest,
        status: u16,
        retry_after_ms: Option<Millis>,
    ) {
        let job = open.job;
        let state = &self.jobs[job];
        env.checker.on_submit_response(env.now, &state.id, status);
        if reachability::is_reachable(env, open.gate) {
            let response = QueueResponse {
                host: job_mix::HOST,
                prefix: &state.prefix,
                sent_at: open.sent_at,
                status,
            };
            env.checker.on_queue_response(env.now, response);
        }
        let pause_ms = match status {
            200..=299 => {
                self.on_accepted(env, job);
                return;
            }
            404 | 400 => return,
            429 | 503 => retry_after_ms
                .unwrap_or(DEFAULT_RETRY_AFTER_MS)
                .max(MIN_RETRY_AFTER_MS),
            _ => env.random.between(50, 300),
        };
        env.schedule_in(pause_ms, Event::Client(ClientEvent::Submit { job }));
    }

    fn on_accepted(&mut self, env: &mut Environment, job: usize) {
        let state = &mut self.jobs[job];
        if state.accepted {
            return;
        }
        state.accepted = true;
        let submitted = env.submitted_jobs.job(&state.id);
        let long_running = submitted.is_some_and(SubmittedJob::is_long_running);
        if env.random.chance(RESUBMIT_SHARE) {
            let delay_ms = env.random.between(500, MAX_RESUBMIT_DELAY_MS);
            env.schedule_in(delay_ms, Event::Client(ClientEvent::Resubmit { job }));
        }
        let delay_ms = env.random.between(200, QUERY_INTERVAL_MS);
        env.schedule_in(delay_ms, Event::Client(ClientEvent::Query { job }));
        // The value of a workload's jobs is measured, so none of them is cancelled.
        if self.workload.is_some() {
            return;
        }
        if long_running || env.random.chance(CANCELLED_SHARE) {
            let max_delay_ms = if long_running {
                MAX_LONG_RUNNING_CANCEL_DELAY_MS
            } else {
                MAX_CANCEL_DELAY_MS
            };
            let delay_ms = env.random.between(0, max_delay_ms);
            env.schedule_in(delay_ms, Event::Client(ClientEvent::Cancel { job }));
        }
    }

    fn on_query_response(
        &mut self,
        env: &mut Environment,
        open: &OpenRequest,
        status: u16,
        response: Option<ClientResponse>,
    ) {
        let job = open.job;
        let job_status =
            response.and_then(|response| serde_json::from_str::<JobStatus>(&response.body).ok());
        let state = job_status
            .map(|job_status| job_status.state)
            .filter(|_| status == 200);
        let response = StatusResponse {
            status,
            state,
            sent_at: open.sent_at,
            was_reachable: reachability::is_reachable(env, open.gate),
        };
        let id = &self.jobs[job].id;
        env.checker
            .on_status_response(env.now, &env.submitted_jobs, id, response);
        if state.is_some_and(JobState::is_final) {
            self.jobs[job].ended = true;
        }
        if open.purpose == Purpose::Query {
            env.schedule_in(QUERY_INTERVAL_MS, Event::Client(ClientEvent::Query { job }));
            return;
        }
        // The status of jobs whose queue was removed is no longer available.
        let prefix = &self.jobs[job].prefix;
        if state.is_some() {
            self.finish_final_query(env, job, true);
        } else if status == 404 && env.checker.may_lack_queue(job_mix::HOST, prefix) {
            self.jobs[job].final_query = FinalQueryState::Finished;
        } else {
            let event = ClientEvent::FinalQuery { job };
            env.schedule_in(FINAL_QUERY_INTERVAL_MS, Event::Client(event));
        }
    }

    fn on_cancel_response(&mut self, env: &mut Environment, job: usize, status: u16) {
        if let 200..=299 | 410 = status {
            env.checker
                .on_cancel_acknowledged(env.now, &self.jobs[job].id);
        } else {
            let pause_ms = env.random.between(200, 600);
            env.schedule_in(pause_ms, Event::Client(ClientEvent::Cancel { job }));
        }
    }
}

/// Draws the prefix of a queue that was added, was removed, or never existed.
fn draw_other_queue(env: &mut Environment, other_queues: &[Arc<str>]) -> Option<Arc<str>> {
    if env.random.chance(0.1) {
        return Some("/never/".into());
    }
    env.random.pick(other_queues).cloned()
}
