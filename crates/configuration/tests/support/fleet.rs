//! Members of a relay tree and their roots in virtual time: links with delay, cuts, deaths, freezes, late rosters.

use super::{route, service, Numbers};
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationDelta, RelayMembership, RelayMessage, RelayNode, RelayPeer, RelayRoot, Tree,
};
use streamusher_configuration::update::apply;
use streamusher_protocol::Millis;

/// One-way delay of a link.
pub const DELAY: Millis = 10;

/// `config_apply_ms` of the operators' settings.
pub const APPLY_BOUND: u64 = 2_000;

/// A fleet that has version 1 and is at rest.
pub fn settled(size: usize, seed: u64, routes: usize) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    fleet.run_until(1_000);
    fleet.replace(1, routes);
    fleet.run_until(3_000);
    assert_eq!(fleet.without(1), [] as [Arc<str>; 0]);
    fleet.take_account();
    fleet
}

/// What happens at some time.
pub(super) enum Event {
    Deliver {
        to: RelayPeer,
        from: RelayPeer,
        from_root: usize,
        message: Arc<RelayMessage>,
    },
    Tick(Arc<str>),
    RootTick(usize),
    Roster(Arc<str>, Arc<RelayMembership>),
}

/// One process of the data plane.
pub struct Member {
    pub node: RelayNode,
    pub alive: bool,
    /// It does nothing until then; what arrives meanwhile waits.
    pub frozen_until: Millis,
    /// Versions that it has acted by in this life, and since when.
    pub applied: Vec<(u64, Millis)>,
    pub(super) scheduled: Millis,
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// What was sent since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Regular heartbeats, and those that answer a question.
    pub heartbeats: Traffic,
    pub questions: Traffic,
    /// Configurations, changes, and word of those too long to be pushed.
    pub updates: Traffic,
}

/// The whole of it.
pub struct Fleet {
    pub now: Millis,
    pub members: BTreeMap<Arc<str>, Member>,
    pub roots: Vec<RelayRoot>,
    /// The root that members reach as the core.
    pub acting: usize,
    pub roster: Arc<RelayMembership>,
    /// Members with no link to anyone.
    pub cut: BTreeSet<Arc<str>>,
    /// Roots that reach nobody.
    pub cut_roots: BTreeSet<usize>,
    /// Pairs without a link, in both directions.
    pub cut_pairs: BTreeSet<(RelayPeer, RelayPeer)>,
    /// Messages are lost with this chance in a thousand.
    pub loss: u64,
    /// Messages are sent twice with this chance in a thousand.
    pub repeats: u64,
    /// Added to the delay, drawn for each message.
    pub jitter: Millis,
    pub account: Account,
    /// The change that made each version, where one did.
    pub changes: BTreeMap<u64, ConfigurationDelta>,
    /// The text of each version.
    pub history: BTreeMap<u64, Arc<RawValue>>,
    /// Members that are told of a new roster get it within this time.
    pub roster_delay: Millis,
    pub numbers: Numbers,
    pub(super) events: BTreeMap<(Millis, u64), Event>,
    pub(super) sent: u64,
}

impl Fleet {
    /// So many members, all started and told the same roster at time 0, without a configuration.
    pub fn new(size: usize, seed: u64) -> Fleet {
        let addresses: Vec<Arc<str>> = (0..size)
            .map(|index| format!("10.{}.{}.{}:7381", seed % 200, index / 250, index % 250).into())
            .collect();
        let mut fleet = Fleet {
            now: 0,
            members: BTreeMap::new(),
            roots: vec![RelayRoot::new(0, 0)],
            acting: 0,
            roster: Arc::new(RelayMembership {
                version: 1,
                members: addresses.clone(),
            }),
            cut: BTreeSet::new(),
            cut_roots: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            loss: 0,
            repeats: 0,
            jitter: 0,
            account: Account::default(),
            changes: BTreeMap::new(),
            history: BTreeMap::new(),
            roster_delay: 0,
            numbers: Numbers(seed),
            events: BTreeMap::new(),
            sent: 0,
        };
        fleet.roots[0].set_roster(&fleet.roster);
        fleet.push(0, Event::RootTick(0));
        for address in addresses {
            fleet.start(&address);
        }
        fleet
    }

    /// Starts a member, or starts it again with a new life.
    pub fn start(&mut self, address: &Arc<str>) {
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
            Event::Roster(address.clone(), self.roster.clone()),
        );
    }

    /// Changes the roster; each member is told after a delay of its own, the root at once.
    pub fn set_roster(&mut self, members: Vec<Arc<str>>) {
        self.roster = Arc::new(RelayMembership {
            version: self.roster.version + 1,
            members,
        });
        let acting = self.acting;
        self.roots[acting].set_roster(&self.roster);
        let addresses: Vec<Arc<str>> = self.members.keys().cloned().collect();
        for address in addresses {
            let late = self.numbers.below(self.roster_delay + 1);
            self.push(self.now + late, Event::Roster(address, self.roster.clone()));
        }
    }

    /// Another primary takes over.
    pub fn fail_over(&mut self, epoch: u64) {
        let mut root = RelayRoot::new(epoch, self.now);
        root.set_roster(&self.roster);
        let newest = self
            .history
            .last_key_value()
            .map(|(version, text)| (*version, text.clone()));
        self.roots.push(root);
        self.acting = self.roots.len() - 1;
        self.push(self.now, Event::RootTick(self.acting));
        if let Some((version, text)) = newest {
            let sends = self.roots[self.acting].publish(version, text);
            self.send(&RelayPeer::Core, self.acting, sends);
        }
    }

    /// Publishes a whole configuration with so many routes.
    pub fn replace(&mut self, version: u64, routes: usize) {
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
        self.history.insert(version, text.clone());
        let sends = self.roots[self.acting].publish(version, text);
        self.send(&RelayPeer::Core, self.acting, sends);
    }

    /// Publishes a change on top of the newest version: each touches another item, so that none can be left out.
    pub fn update(&mut self, version: u64) {
        let (base, text) = self.history.last_key_value().expect("a configuration");
        let prefix = format!("/changed{version}/");
        let name = format!("r-{}", version % 11);
        let update = json!({"version": version, "upsert": {"routes": [route(&name, "host.example", &prefix, "cores")]}});
        let update: Arc<RawValue> = RawValue::from_string(update.to_string())
            .expect("JSON")
            .into();
        let changed = apply(text.get(), update.get()).expect("it fits");
        let change = ConfigurationDelta {
            base: *base,
            version,
            update,
        };
        self.changes.insert(version, change.clone());
        let text: Arc<RawValue> = RawValue::from_string(changed).expect("JSON").into();
        self.history.insert(version, text.clone());
        let sends = self.roots[self.acting].publish_change(change, text);
        self.send(&RelayPeer::Core, self.acting, sends);
    }

    /// Lets time pass.
    pub fn run_until(&mut self, until: Millis) {
        while let Some(((at, number), _)) = self.events.first_key_value() {
            let key = (*at, *number);
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

    /// Lets so much time pass.
    pub fn run_for(&mut self, time: Millis) {
        self.run_until(self.now + time);
    }

    /// A message that comes from nowhere in particular.
    pub fn inject(&mut self, to: &Arc<str>, from: RelayPeer, message: RelayMessage) {
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

    /// Tells a member of a version as the primary's answers do.
    pub fn heard_of(&mut self, address: &Arc<str>, version: u64) {
        let now = self.now;
        let actions = self
            .members
            .get_mut(address)
            .expect("a member")
            .node
            .heard_of(now, version);
        self.act(address, actions);
    }

    /// Members that tell others, by the present roster.
    pub fn inner(&self) -> Vec<Arc<str>> {
        let tree = Tree::new(&self.roster);
        let inner = self
            .roster
            .members
            .iter()
            .filter(|member| !tree.children(member).is_empty());
        inner.cloned().collect()
    }

    /// So many of a list, drawn at random.
    pub fn draw(&mut self, mut from: Vec<Arc<str>>, count: usize) -> Vec<Arc<str>> {
        let mut drawn = Vec::new();
        while drawn.len() < count && !from.is_empty() {
            let index = self.numbers.below(from.len() as u64) as usize;
            drawn.push(from.swap_remove(index));
        }
        drawn
    }

    pub fn kill(&mut self, address: &Arc<str>) {
        self.members.get_mut(address).expect("a member").alive = false;
    }

    pub fn freeze(&mut self, address: &Arc<str>, until: Millis) {
        self.members
            .get_mut(address)
            .expect("a member")
            .frozen_until = until;
    }

    /// Live members that do not have this version.
    pub fn without(&self, version: u64) -> Vec<Arc<str>> {
        let lacking = self
            .members
            .iter()
            .filter(|(_, member)| member.alive && member.node.version() != version);
        lacking.map(|(address, _)| address.clone()).collect()
    }

    /// When the last live member had this version.
    pub fn last_applied(&self, version: u64) -> Millis {
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

    /// What was sent since the last look.
    pub fn take_account(&mut self) -> Account {
        std::mem::take(&mut self.account)
    }
}
