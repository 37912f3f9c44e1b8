//! Members of a relay tree and their roots in virtual time: links with delay, partitions, deaths, freezes, late memberships.

use super::{route, service, Numbers};
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_configuration::apply_update;
use streamusher_configuration::relay::{
    ConfigurationDelta, RelayMembership, RelayMessage, RelayNode, RelayPeer, RelayRoot, RelayTree,
};
use streamusher_protocol::Millis;

/// One-way delay of a link.
pub(crate) const DELAY: Millis = 10;

/// `config_apply_ms` of the operators' settings.
pub(crate) const APPLY_BOUND: u64 = 2_000;

/// A fleet in which every member has version 1, and no message is in flight but heartbeats.
pub(crate) fn settled_fleet(size: usize, seed: u64, routes: usize) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_until(1_000);
    fleet.replace(1, routes);
    fleet.run_until(3_000);
    assert_eq!(fleet.lagging_members(1), [] as [Arc<str>; 0]);
    fleet.take_traffic();
    fleet
}

/// An event that is due at some time.
pub(super) enum Event {
    Deliver {
        to: RelayPeer,
        from: RelayPeer,
        from_root: usize,
        message: Arc<RelayMessage>,
    },
    Tick(Arc<str>),
    RootTick(usize),
    Membership(Arc<str>, Arc<RelayMembership>),
}

/// One process of the data plane.
pub(crate) struct Member {
    pub(crate) node: RelayNode,
    pub(crate) alive: bool,
    /// It does nothing until then; messages that arrive meanwhile are queued.
    pub(crate) frozen_until: Millis,
    /// Versions that have been in force since its start, and since when.
    pub(crate) applied: Vec<(u64, Millis)>,
    pub(super) scheduled: Millis,
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Traffic {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// What was sent since it was last read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrafficTotals {
    /// Regular heartbeats, and those that answer a request.
    pub(crate) heartbeats: Traffic,
    /// Requests.
    pub(crate) requests: Traffic,
    /// Snapshots, deltas, and announcements of versions that are too long to be pushed.
    pub(crate) updates: Traffic,
}

/// A relay tree in virtual time.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) members: BTreeMap<Arc<str>, Member>,
    pub(crate) roots: Vec<RelayRoot>,
    /// The root that members reach as the primary.
    pub(crate) acting: usize,
    pub(crate) membership: Arc<RelayMembership>,
    /// Members with no link to anyone.
    pub(crate) partitioned: BTreeSet<Arc<str>>,
    /// Roots that reach nobody.
    pub(crate) partitioned_roots: BTreeSet<usize>,
    /// Pairs without a link, in both directions.
    pub(crate) partitioned_pairs: BTreeSet<(RelayPeer, RelayPeer)>,
    /// Messages are lost with this chance in a thousand.
    pub(crate) loss: u64,
    /// Messages are sent twice with this chance in a thousand.
    pub(crate) repeats: u64,
    /// Added to the delay, chosen for each message.
    pub(crate) jitter: Millis,
    pub(crate) traffic: TrafficTotals,
    /// The update that made each version, where one did.
    pub(crate) deltas: BTreeMap<u64, ConfigurationDelta>,
    /// The text of each version.
    pub(crate) texts: BTreeMap<u64, Arc<RawValue>>,
    /// A new membership reaches each member within this time.
    pub(crate) membership_delay: Millis,
    pub(crate) numbers: Numbers,
    pub(super) events: BTreeMap<(Millis, u64), Event>,
    pub(super) sent: u64,
}

impl Fleet {
    /// Members that are all started and get the same membership at time 0, without a configuration.
    pub(crate) fn new(size: usize, seed: u64) -> Fleet {
        let addresses: Vec<Arc<str>> = (0..size)
            .map(|index| format!("10.{}.{}.{}:7381", seed % 200, index / 250, index % 250).into())
            .collect();
        let mut fleet = Fleet {
            now: 0,
            members: BTreeMap::new(),
            roots: vec![RelayRoot::new(0, 0)],
            acting: 0,
            membership: Arc::new(RelayMembership {
                version: 1,
                members: addresses.clone(),
            }),
            partitioned: BTreeSet::new(),
            partitioned_roots: BTreeSet::new(),
            partitioned_pairs: BTreeSet::new(),
            loss: 0,
            repeats: 0,
            jitter: 0,
            traffic: TrafficTotals::default(),
            deltas: BTreeMap::new(),
            texts: BTreeMap::new(),
            membership_delay: 0,
            numbers: Numbers(seed),
            events: BTreeMap::new(),
            sent: 0,
        };
        fleet.roots[0].set_membership(&fleet.membership);
        fleet.push(0, Event::RootTick(0));
        for address in addresses {
            fleet.start(&address);
        }
        fleet
    }

    /// Starts a member, or restarts it without its state.
    pub(crate) fn start(&mut self, address: &Arc<str>) {
        let node = RelayNode::new(address.clone(), self.now);
        let member = Member {
            node,
            alive: true,
            frozen_until: 0,
            applied: Vec::new(),
            scheduled: Millis::MAX,
        };
        self.members.insert(address.clone(), member);
        self.schedule(address);
        self.push(
            self.now,
            Event::Membership(address.clone(), self.membership.clone()),
        );
    }

    /// Changes the membership: for the root at once, for each member after a delay of its own.
    pub(crate) fn set_membership(&mut self, members: Vec<Arc<str>>) {
        self.membership = Arc::new(RelayMembership {
            version: self.membership.version + 1,
            members,
        });
        let acting = self.acting;
        self.roots[acting].set_membership(&self.membership);
        let addresses: Vec<Arc<str>> = self.members.keys().cloned().collect();
        for address in addresses {
            let delay = self.numbers.below(self.membership_delay + 1);
            self.push(
                self.now + delay,
                Event::Membership(address, self.membership.clone()),
            );
        }
    }

    /// Another primary takes over.
    pub(crate) fn fail_over(&mut self, epoch: u64) {
        let mut root = RelayRoot::new(epoch, self.now);
        root.set_membership(&self.membership);
        let newest = self
            .texts
            .last_key_value()
            .map(|(version, text)| (*version, text.clone()));
        self.roots.push(root);
        self.acting = self.roots.len() - 1;
        self.push(self.now, Event::RootTick(self.acting));
        if let Some((version, text)) = newest {
            let messages = self.roots[self.acting].publish(version, text);
            self.send(&RelayPeer::Primary, self.acting, messages);
        }
    }

    /// Publishes a whole configuration with this number of routes.
    pub(crate) fn replace(&mut self, version: u64, routes: usize) {
        let routes: Vec<_> = (0..routes)
            .map(|index| {
                route(
                    &format!("r-{index}"),
                    "host.example",
                    &format!("/p{index}/"),
                    "cores",
                )
            })
            .collect();
        let whole = json!({"version": version, "routes": routes, "services": [service("cores")]});
        let text: Arc<RawValue> = RawValue::from_string(whole.to_string())
            .expect("JSON")
            .into();
        self.texts.insert(version, text.clone());
        let messages = self.roots[self.acting].publish(version, text);
        self.send(&RelayPeer::Primary, self.acting, messages);
    }

    /// Publishes an update of the newest version. Each touches another item, so that none can be left out.
    pub(crate) fn update(&mut self, version: u64) {
        let (base_version, text) = self.texts.last_key_value().expect("a configuration");
        let prefix = format!("/changed{version}/");
        let name = format!("r-{}", version % 11);
        let update = json!({"version": version, "upsert": {"routes": [route(&name, "host.example", &prefix, "cores")]}});
        let update: Arc<RawValue> = RawValue::from_string(update.to_string())
            .expect("JSON")
            .into();
        let changed = apply_update(text.get(), update.get()).expect("it fits");
        let delta = ConfigurationDelta {
            base_version: *base_version,
            version,
            update,
        };
        self.deltas.insert(version, delta.clone());
        let text: Arc<RawValue> = RawValue::from_string(changed).expect("JSON").into();
        self.texts.insert(version, text.clone());
        let messages = self.roots[self.acting].publish_update(delta, text);
        self.send(&RelayPeer::Primary, self.acting, messages);
    }

    /// Plays all events up to this time.
    pub(crate) fn run_until(&mut self, until: Millis) {
        while let Some(((due_at, sequence), _)) = self.events.first_key_value() {
            let key = (*due_at, *sequence);
            if key.0 > until {
                break;
            }
            self.now = key.0;
            if let Some(event) = self.events.remove(&key) {
                self.play(event);
            }
        }
        self.now = until;
    }

    /// Plays all events of this span.
    pub(crate) fn run_for(&mut self, time: Millis) {
        self.run_until(self.now + time);
    }

    /// Delivers a message that its sender has not sent.
    pub(crate) fn inject(&mut self, to: &Arc<str>, from: RelayPeer, message: RelayMessage) {
        let to = RelayPeer::Member(to.clone());
        self.push(
            self.now,
            Event::Deliver {
                to,
                from,
                from_root: self.acting,
                message: Arc::new(message),
            },
        );
    }

    /// Announces a version to a member, as the primary's responses do.
    pub(crate) fn announce_version(&mut self, address: &Arc<str>, version: u64) {
        let now = self.now;
        let actions = self
            .members
            .get_mut(address)
            .expect("a member")
            .node
            .on_version_announced(now, version);
        self.act(address, actions);
    }

    /// Members that have children by the present membership.
    pub(crate) fn inner_members(&self) -> Vec<Arc<str>> {
        let tree = RelayTree::new(&self.membership);
        let inner = self
            .membership
            .members
            .iter()
            .filter(|member| !tree.children(member).is_empty());
        inner.cloned().collect()
    }

    /// `count` of a list, chosen at random.
    pub(crate) fn choose(&mut self, mut candidates: Vec<Arc<str>>, count: usize) -> Vec<Arc<str>> {
        let mut chosen = Vec::new();
        while chosen.len() < count && !candidates.is_empty() {
            let index = self.numbers.index(candidates.len());
            chosen.push(candidates.swap_remove(index));
        }
        chosen
    }

    /// The member dies: it handles nothing any more.
    pub(crate) fn kill(&mut self, address: &Arc<str>) {
        self.members.get_mut(address).expect("a member").alive = false;
    }

    /// The member does nothing until then.
    pub(crate) fn freeze(&mut self, address: &Arc<str>, until: Millis) {
        self.members
            .get_mut(address)
            .expect("a member")
            .frozen_until = until;
    }

    /// Live members that do not have this version.
    pub(crate) fn lagging_members(&self, version: u64) -> Vec<Arc<str>> {
        let lacking = self
            .members
            .iter()
            .filter(|(_, member)| member.alive && member.node.version() != version);
        lacking.map(|(address, _)| address.clone()).collect()
    }

    /// When the last live member had this version.
    pub(crate) fn last_applied(&self, version: u64) -> Millis {
        let live = self.members.values().filter(|member| member.alive);
        let times = live.map(|member| {
            member
                .applied
                .iter()
                .find(|(applied, _)| *applied >= version)
        });
        times
            .map(|applied| applied.expect("every live member has it").1)
            .max()
            .unwrap_or(0)
    }

    /// What was sent since it was last read.
    pub(crate) fn take_traffic(&mut self) -> TrafficTotals {
        std::mem::take(&mut self.traffic)
    }
}
