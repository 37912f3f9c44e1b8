//! Orders to agents: made anew when something changed, sent when a call waits for them.

use crate::event::{Reply, RequestId};
use crate::runs::Phase;
use crate::scheduler::Scheduler;
use crate::workers::Content;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{StartOrder, StopOrder};
use streamusher_protocol::internal::AgentOrders;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Now;

impl Scheduler {
    /// Answers the calls whose orders have changed or whose time is over.
    pub(crate) fn answer_agents(&mut self, now: Now) {
        let due: Vec<Arc<str>> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.dirty || agent.parked.as_ref().is_some_and(|p| p.until <= now.steady))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.renew_orders(&name);
            let Some(agent) = self.agents.get_mut(&name) else { continue };
            let is_news = agent.confirmed < agent.revision;
            let is_over = agent.parked.as_ref().is_some_and(|p| p.until <= now.steady);
            if !(is_news || is_over) {
                continue;
            }
            if let Some(parked) = agent.parked.take() {
                self.answer_now(parked.request, &name);
            }
        }
        self.answer_unconfirmed();
    }

    /// A call of an agent that does not hold the newest orders is answered at once.
    fn answer_unconfirmed(&mut self) {
        let behind = self.agents.iter().filter(|(_, a)| a.parked.is_some() && a.confirmed < a.revision);
        let behind: Vec<Arc<str>> = behind.map(|(name, _)| name.clone()).collect();
        for name in behind {
            let parked = self.agents.get_mut(&name).and_then(|agent| agent.parked.take());
            if let Some(parked) = parked {
                self.answer_now(parked.request, &name);
            }
        }
    }

    /// Answers a call with the present orders.
    pub(crate) fn answer_now(&mut self, request: RequestId, name: &Arc<str>) {
        self.renew_orders(name);
        let Some(agent) = self.agents.get(name) else { return };
        let orders = AgentOrders {
            epoch: self.epoch,
            revision: agent.revision,
            lease_ms: self.settings.bounds.hold_max_ms,
            instance: agent.content.instance.clone(),
            last_seen: agent.content.last_seen,
            start: agent.content.start.clone(),
            stop: agent.content.stop.clone(),
            view: None,
        };
        self.reply(request, Reply::Agent(orders));
    }

    fn renew_orders(&mut self, name: &Arc<str>) {
        let Some(agent) = self.agents.get(name).filter(|agent| agent.dirty) else { return };
        let content = match agent.worker.clone() {
            Some(worker) => self.content_for(&worker),
            None => Content::default(),
        };
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.dirty = false;
        if agent.content != content || agent.revision == 0 {
            agent.content = content;
            agent.revision += 1;
        }
    }

    fn content_for(&self, id: &WorkerId) -> Content {
        let mut content = Content { instance: Some(id.clone()), ..Content::default() };
        let Some(worker) = self.workers.get(id) else { return content };
        content.last_seen = worker.last_seen;
        content.stop = worker.strays.clone();
        for (run_id, run) in self.runs.at(id) {
            let (task, number) = (run_id.task.clone(), run_id.run);
            match run.phase {
                _ if run.stopping => content.stop.push(StopOrder(task, number)),
                Phase::Ordered => {
                    content.start.push(StartOrder(task, number, run.spec.clone(), run.checkpoint.clone()));
                }
                Phase::Running => {}
            }
        }
        content
    }
}
