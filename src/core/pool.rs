//! Pool configs: the workers that each source lists.

use super::{Core, Input, PoolMember, Worker};
use crate::interface::{Endpoint, EndpointState, Event, LoadReport, WorkerId};

impl Core {
    /// Submits a pool config, or, unless `complete`, the changes to one. `source` is the driver that reaches
    /// these workers.
    pub fn pool_config(&mut self, source: usize, complete: bool, members: Vec<PoolMember>) {
        self.inputs.push(Input::PoolConfig {
            source,
            complete,
            members,
        });
    }

    /// Reports that a pool config could not be fetched, or that its watch broke.
    pub fn pool_config_failed(&mut self) {
        self.inputs.push(Input::PoolConfigFailed);
    }

    /// Reports the end of a probe; `ok` tells whether the worker answered.
    pub fn probe_ended(&mut self, worker: WorkerId, ok: bool, report: Option<LoadReport>) {
        self.inputs.push(Input::ProbeEnded(worker, ok, report));
    }

    /// Number of listed workers that are not gone, and how many of them are avoided as they drain.
    pub fn worker_counts(&self) -> (usize, usize) {
        let listed = self
            .workers
            .iter()
            .filter(|w| w.member.state != EndpointState::Gone);
        listed.fold((0, 0), |(listed_count, draining), w| {
            (
                listed_count + 1,
                draining + usize::from(w.member.state == EndpointState::Draining),
            )
        })
    }

    pub(super) fn apply_pool_config(
        &mut self,
        source: usize,
        complete: bool,
        members: Vec<PoolMember>,
    ) -> Event {
        let mut entries: Vec<Endpoint> = Vec::with_capacity(members.len());
        if complete {
            // A complete list ends only workers of its own source.
            let others = self.workers.iter().filter(|w| w.source != source);
            let kept: Vec<PoolMember> = others.map(|w| w.member.clone()).collect();
            entries.extend(kept.iter().map(|m| self.endpoint(m)));
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
            let entry = self.endpoint(&member);
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
        self.notify_observer();
        Event::EndpointUpdate {
            complete,
            endpoints: entries,
        }
    }

    pub(super) fn endpoint(&mut self, member: &PoolMember) -> Endpoint {
        let (state, started_at_us, cell, weight) = (
            member.state,
            member.started_at_us,
            member.cell,
            member.weight,
        );
        self.site.entry(
            &member.name,
            &member.zone,
            &member.kind,
            Endpoint {
                state,
                started_at_us,
                cell,
                weight,
                ..Endpoint::default()
            },
        )
    }
}
