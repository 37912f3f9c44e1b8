//! Orders to agents: made anew when something changed, sent when a call waits for them.

use crate::event::{RequestId, SchedulerResponse};
use crate::runs::Phase;
use crate::scheduler::Scheduler;
use crate::workers::{Content, Parked};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{StartCommand, StopCommand};
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Now;

impl Scheduler {
    /// Answers the calls whose orders have changed, whose agent lacks the newest ones, or whose time is over.
    pub(crate) fn answer_agents(&mut self, now: Now) {
        let mut names = std::mem::take(&mut self.agents_to_look_at);
        while let Some((until, name)) = self.calls_by_end.pop_first() {
            if until > now.steady_ms {
                self.calls_by_end.insert((until, name));
                break;
            }
            names.insert(name);
        }
        for name in names {
            self.answer_if_due(now, &name);
        }
    }

    fn answer_if_due(&mut self, now: Now, name: &Arc<str>) {
        self.renew_orders(name);
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        let is_news = agent.confirmed < agent.revision;
        let is_due = |parked: &mut Parked| is_news || parked.until <= now.steady_ms;
        if let Some(parked) = agent.parked.take_if(is_due) {
            self.answer_now(parked.request, name);
        }
    }

    /// Answers a call with the present orders.
    pub(crate) fn answer_now(&mut self, request: RequestId, name: &Arc<str>) {
        self.renew_orders(name);
        let Some(agent) = self.agents.get(name) else {
            return;
        };
        let orders = AgentCommands {
            epoch: self.epoch,
            revision: agent.revision,
            lease_ms: self.settings.limits.hold_max_ms,
            instance: agent.content.instance.clone(),
            last_seen: agent.content.last_seen,
            start: agent.content.start.clone(),
            stop: agent.content.stop.clone(),
            view: None,
        };
        self.reply(request, SchedulerResponse::Agent(orders));
    }

    fn renew_orders(&mut self, name: &Arc<str>) {
        let Some(agent) = self.agents.get(name).filter(|agent| agent.dirty) else {
            return;
        };
        let content = match agent.worker.clone() {
            Some(worker) => self.content_for(&worker),
            None => Content::default(),
        };
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        agent.dirty = false;
        if agent.content != content || agent.revision == 0 {
            agent.content = content;
            agent.revision += 1;
        }
    }

    fn content_for(&self, id: &WorkerId) -> Content {
        let mut content = Content {
            instance: Some(id.clone()),
            ..Content::default()
        };
        let Some(worker) = self.workers.get(id) else {
            return content;
        };
        content.last_seen = worker.last_seen;
        content.stop = worker.strays.clone();
        for (run_id, run) in self.runs.at(id) {
            let (task, number) = (run_id.task.clone(), run_id.run);
            match run.phase {
                _ if run.stopping => content.stop.push(StopCommand { task, run: number }),
                Phase::Ordered => {
                    content.start.push(StartCommand {
                        task,
                        run: number,
                        spec: run.spec.clone(),
                        checkpoint: run.checkpoint.clone(),
                    });
                }
                Phase::Running => {}
            }
        }
        content
    }
}
