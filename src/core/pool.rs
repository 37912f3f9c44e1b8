//! Pool configs: which workers there are, by the source that tells of them.

use super::{Core, Input, PoolMember, Worker};
use crate::interface::{Endpoint, EndpointState, Event, LoadReport, WorkerId};

impl Core {
    /// A pool config, or the changes to one. `source` is the driver that reaches these workers.
    pub fn pool_config(&mut self, source: usize, complete: bool, members: Vec<PoolMember>) {
        self.inputs.push(Input::List {
            source,
            complete,
            members,
        });
    }

    /// A pool config could not be had, or its watch broke.
    pub fn pool_config_failed(&mut self) {
        self.inputs.push(Input::ListFailed);
    }

    /// A probe was answered, or not.
    pub fn probe_ended(&mut self, worker: WorkerId, ok: bool, report: Option<LoadReport>) {
        self.inputs.push(Input::Probed(worker, ok, report));
    }

    /// Workers on the list that are not gone, and those of them that are avoided as they drain.
    pub fn worker_counts(&self) -> (usize, usize) {
        let listed = self
            .workers
            .iter()
            .filter(|w| w.member.state != EndpointState::Gone);
        listed.fold((0, 0), |(n, d), w| {
            (
                n + 1,
                d + usize::from(w.member.state == EndpointState::Draining),
            )
        })
    }

    pub(super) fn list(
        &mut self,
        source: usize,
        complete: bool,
        members: Vec<PoolMember>,
    ) -> Event {
        let mut entries: Vec<Endpoint> = Vec::with_capacity(members.len());
        if complete {
            // Other sources' workers are not this list's to end.
            let others = self.workers.iter().filter(|w| w.source != source);
            let kept: Vec<PoolMember> = others.map(|w| w.member.clone()).collect();
            entries.extend(kept.iter().map(|m| self.entry(m)));
            let named: std::collections::HashSet<&str> =
                members.iter().map(|m| m.name.as_str()).collect();
            let missing =
                |w: &&mut Worker| w.source == source && !named.contains(w.member.name.as_str());
            self.workers
                .iter_mut()
                .filter(missing)
                .for_each(|w| w.member.state = EndpointState::Gone);
        }
        for member in members {
            let entry = self.entry(&member);
            let worker = Worker {
                member,
                source,
                driver: source,
            };
            match self.workers.get_mut(entry.worker.0 as usize) {
                Some(known) => *known = worker,
                None => self.workers.push(worker),
            }
            entries.push(entry);
        }
        self.tell_list();
        Event::EndpointUpdate {
            complete,
            endpoints: entries,
        }
    }

    pub(super) fn entry(&mut self, m: &PoolMember) -> Endpoint {
        let (stage, since, cell, weight) = (m.state, m.started_at_us, m.cell, m.weight);
        self.site.entry(
            &m.name,
            &m.zone,
            &m.kind,
            Endpoint {
                state: stage,
                started_at_us: since,
                cell,
                weight,
                ..Endpoint::default()
            },
        )
    }
}
