//! The scheduler: dispatches events to the modules that handle them, and collects the effects.

use crate::cluster_state::ClusterState;
use crate::event::{Effects, Event, SchedulerResponse};
use crate::explain::{self, JobExplanation};
use crate::long_running_report::LongRunningReport;
use crate::recovery::{self, RecoverError};
use crate::settings::SchedulerSettings;
use crate::status::{SchedulerStatus, WorkerStatus};
use crate::workers::{Responsiveness, Worker};
use crate::{agent_sync, client_requests, commands, hedging, operator_requests};
use crate::{run_timeouts, worker_liveness};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_configuration::ConfigurationStore;
use streamusher_fair_share::UserUsage;
use streamusher_placement::Mechanism;
use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Interval between two checks of workers and runs.
const CHECK_INTERVAL_MS: Millis = 100;

/// State machine of the primary.
///
/// It performs no I/O and takes the current time as an argument, so the same events always produce the same
/// effects.
pub struct Scheduler {
    state: ClusterState,
    configuration: ConfigurationStore,
    next_check_at: Millis,
    long_running_report: LongRunningReport,
}

impl Scheduler {
    /// Recovers the state of a former primary, or starts with an empty one. Leases granted by a former
    /// primary expire at most [`max_lease_ms`](crate::SchedulerLimits::max_lease_ms) after `now`.
    ///
    /// # Errors
    /// A record of a job, a task or the configuration cannot be read.
    pub fn recover(
        settings: SchedulerSettings,
        epoch: u64,
        now: Now,
        records: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<Scheduler, RecoverError> {
        let records: Vec<(Arc<str>, Arc<str>)> = records.into_iter().collect();
        let (state, configuration) = recovery::recover(settings, epoch, now, &records)?;
        Ok(Scheduler {
            state,
            configuration,
            next_check_at: now.steady_ms,
            long_running_report: LongRunningReport::default(),
        })
    }

    /// Must be called when the recovery has ended and events are about to arrive. Recovering a large state
    /// takes seconds, during which no agent can read a command, so the time-outs of runs start here.
    pub fn on_recovered(&mut self, now: Now) {
        self.state.runs.reset_timers(now.steady_ms);
    }

    /// Handles an event and returns the effects that the caller must carry out.
    pub fn handle(&mut self, now: Now, event: Event) -> Effects {
        match event {
            Event::ClientRequest { id, request } => {
                let response = client_requests::on_client_request(
                    &mut self.state.jobs,
                    &self.configuration,
                    now,
                    &request,
                );
                self.state.respond(id, SchedulerResponse::Client(response));
            }
            Event::AgentSync { id, sync } => {
                agent_sync::on_agent_sync(&mut self.state, now, id, &sync);
            }
            Event::OperatorRequest { id, request } => {
                let outcome = operator_requests::on_operator_request(
                    &mut self.configuration,
                    &mut self.state.jobs,
                    &request,
                );
                self.state.write(outcome.writes);
                self.state
                    .respond(id, SchedulerResponse::Operator(outcome.response));
            }
            Event::RequestAbandoned { id } => self.state.agents.drop_deferred(id),
            Event::Tick => self.on_tick(now),
        }
        self.state.schedule(now);
        commands::respond_to_due(&mut self.state, now.steady_ms);
        self.state.take_effects()
    }

    fn on_tick(&mut self, now: Now) {
        self.state.jobs.tick(now);
        if now.steady_ms < self.next_check_at {
            return;
        }
        self.next_check_at = now.steady_ms + CHECK_INTERVAL_MS;
        worker_liveness::check_workers(&mut self.state, now);
        run_timeouts::check_stalled(&mut self.state, now.steady_ms);
        run_timeouts::check_unstarted(&mut self.state, now.steady_ms);
        hedging::request_second_runs(&mut self.state, now.steady_ms);
        run_timeouts::check_draining(&mut self.state, now.steady_ms);
        self.update_penalties(now.steady_ms);
        self.state.update_fair_share(now.steady_ms);
        self.long_running_report.log_if_due(&self.state, now);
    }

    fn update_penalties(&mut self, now: Millis) {
        let state = &mut self.state;
        if state.penalties.is_due(now)
            && state
                .settings
                .policy
                .is_enabled(Mechanism::PenaltyInheritance)
        {
            let writes = state.penalties.update(now, state.placement.penalties(now));
            state.write(writes);
        }
    }

    /// Returns the configuration and its history.
    pub fn configuration(&self) -> &ConfigurationStore {
        &self.configuration
    }

    /// Returns the scheduler's status for operators.
    pub fn status(&self, now: Millis) -> SchedulerStatus {
        let current = self.configuration.current();
        let fair_share = self.state.fair_share.as_ref();
        SchedulerStatus {
            configuration: current.map(|configuration| configuration.version),
            epoch: self.state.epoch,
            pending_jobs: self.pending_jobs(),
            runs: self.state.runs.len(),
            fair_share: fair_share.map(|fair_share| fair_share.status(now)),
            pending_units: self.state.pending_units.len(),
            workers: self
                .state
                .workers
                .iter()
                .map(|(id, worker)| self.status_of(now, id, worker))
                .collect(),
        }
    }

    /// Returns the status of one worker; `None` if it is unknown.
    pub fn worker_status(&self, now: Millis, id: &WorkerId) -> Option<WorkerStatus> {
        let worker = self.state.workers.get(id)?;
        Some(self.status_of(now, id, worker))
    }

    fn status_of(&self, now: Millis, id: &WorkerId, worker: &Worker) -> WorkerStatus {
        WorkerStatus {
            agent: worker.agent.clone(),
            terminated: worker.terminated,
            id: id.clone(),
            lease_remaining_ms: worker.lease_expires_at.saturating_sub(now),
            schedulable: worker.schedulable,
            runs: self.state.runs.at_worker(id).count(),
            service: worker.service.clone(),
            unresponsive: worker.responsiveness != Responsiveness::Responsive,
            state: worker.state,
            zone: worker.zone.clone(),
        }
    }

    /// Counts the pending jobs of each queue that has any.
    fn pending_jobs(&self) -> BTreeMap<Arc<str>, u64> {
        let Some(configuration) = self.configuration.current() else {
            return BTreeMap::new();
        };
        let mut pending = BTreeMap::new();
        for route in &configuration.routes {
            let count = self.state.jobs.pending_count(&route.name);
            if count > 0 {
                pending.insert(route.name.clone(), count);
            }
        }
        pending
    }

    /// Explains the state of a job; `None` if the job is unknown.
    pub fn explain_job(&self, now: Millis, id: &JobId) -> Option<JobExplanation> {
        explain::explain_job(&self.state, now, id)
    }

    /// Returns a user's decayed usage; `None` if fair share is disabled.
    pub fn explain_user(&self, now: Millis, user: &Arc<str>) -> Option<UserUsage> {
        explain::explain_user(&self.state, now, user)
    }
}
