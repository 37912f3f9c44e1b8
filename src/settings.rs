//! The settings in the platform's format, decoded once for the adapter and the daemon.
//!
//! Both receive the same object: the adapter in its first message, the daemon in its configuration.

use crate::interface::{
    Class, DeduplicationScope, Endpoint, KindId, LoadReport, Micros, Repeatability, Settings,
    Tenant, WeightMeaning, WorkerId, ZoneId,
};
use crate::net::request::ClassInfo;
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct PlatformSettings {
    pub(crate) balancers: u32,
    pub(crate) costs: Costs,
    pub(crate) discovery: String,
    pub(crate) family_info: FamilyInfo,
    pub(crate) feedback: Feedback,
    pub(crate) kinds: Vec<String>,
    pub(crate) limits: Limits,
    pub(crate) my_zone: String,
    pub(crate) over_share_worth: f64,
    pub(crate) realms: Vec<Realm>,
    pub(crate) request_classes: Vec<RequestClass>,
    pub(crate) rules: Rules,
    pub(crate) tick_us: u64,
    pub(crate) value_by: String,
    pub(crate) weights: String,
    pub(crate) zones: Vec<String>,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct FamilyInfo {
    pub(crate) class_kind: Vec<i64>,
    pub(crate) class_priority: Vec<i64>,
    pub(crate) class_stretch: Vec<f64>,
    pub(crate) progress_us: u64,
    pub(crate) report_x0: String,
    pub(crate) tells_start: bool,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default)]
pub(crate) struct Costs {
    pub(crate) handshake: f64,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Feedback {
    pub(crate) fields: Vec<String>,
    pub(crate) via: String,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Limits {
    pub(crate) cancel: bool,
    pub(crate) connect_timeout_us: u64,
    pub(crate) idle_close_us: u64,
    pub(crate) max_attempts: u32,
    pub(crate) max_open: u64,
    pub(crate) max_retry_after_us: u64,
    pub(crate) may_duplicate: bool,
    pub(crate) multiplex: u32,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Realm {
    pub(crate) name: String,
    pub(crate) quota_rps: f64,
    pub(crate) share: f64,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct RequestClass {
    pub(crate) aim_stretch: f64,
    pub(crate) deadline_us: u64,
    pub(crate) key_scope: String,
    pub(crate) late_share: f64,
    pub(crate) name: String,
    pub(crate) on_time_us: u64,
    pub(crate) semantics: String,
    pub(crate) served_on: Vec<String>,
    pub(crate) window_us: u64,
    pub(crate) worth: f64,
    pub(crate) zones_allowed: Vec<String>,
}

#[derive(Clone, Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct Rules {
    pub(crate) answer_slack_us: u64,
    pub(crate) ask_within_us: u64,
    pub(crate) drain_grace_us: u64,
    pub(crate) fall_us: u64,
    pub(crate) full_may_have_run: bool,
    pub(crate) start_capacity: f64,
    pub(crate) tip_multiple: f64,
    pub(crate) warm_after_us: u64,
}

/// Maps names to ids, which are assigned in the order of first use.
#[derive(Default)]
pub(crate) struct NameTable(HashMap<Arc<str>, u32>, Vec<Arc<str>>);

impl NameTable {
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.0.get(name).copied()
    }

    pub(crate) fn id(&mut self, name: &str) -> u32 {
        if let Some(id) = self.find(name) {
            return id;
        }
        let (id, name) = (self.1.len() as u32, Arc::<str>::from(name));
        self.1.push(name.clone());
        self.0.insert(name, id);
        id
    }

    /// Assigns a new id to a known name; lookups by the name return the new id from now on.
    pub(crate) fn renumber(&mut self, name: &str) -> u32 {
        let (id, name) = (self.1.len() as u32, Arc::<str>::from(name));
        self.1.push(name.clone());
        self.0.insert(name, id);
        id
    }

    /// Removes a name from lookups; its ids still resolve to the name.
    pub(crate) fn retire(&mut self, name: &str) {
        self.0.remove(name);
    }

    pub(crate) fn name(&self, id: u32) -> &str {
        &self.1[id as usize]
    }

    pub(crate) fn of<'a>(names: impl IntoIterator<Item = &'a String>) -> NameTable {
        let mut all = NameTable::default();
        names.into_iter().for_each(|n| {
            all.id(n);
        });
        all
    }
}

/// The decoded settings, and the names behind the ids that the balancer uses.
pub(crate) struct SiteSettings {
    pub(crate) settings: Settings,
    pub(crate) workers: NameTable,
    pub(crate) classes: NameTable,
    pub(crate) tenants: NameTable,
    zones: NameTable,
    kinds: NameTable,
    pub(crate) connect_timeout_us: Micros,
    /// Maximum number of requests in flight.
    pub(crate) max_open: usize,
    /// Whether each class is keyed; `deduplication_windows` gives how long its repeats are dropped, in
    /// microseconds.
    pub(crate) keyed: Vec<bool>,
    pub(crate) deduplication_windows: Vec<Micros>,
    /// Whether the report field `x0` counts free slots.
    x0_is_free: bool,
}

/// Maximum number of class entries since the start, retired ones included: each reload adds the classes that
/// changed.
const MAX_CLASSES: usize = 256;

/// FNV-1a hash of a name; the same in every process.
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}

/// A list of permitted items; an empty list means no restriction.
fn non_empty<T>(list: Vec<T>) -> Option<Vec<T>> {
    (!list.is_empty()).then_some(list)
}

impl SiteSettings {
    pub(crate) fn new(setup: PlatformSettings) -> SiteSettings {
        let (mut zones, mut kinds) = (NameTable::of(&setup.zones), NameTable::of(&setup.kinds));
        let family = &setup.family_info;
        let mut class = |(i, c): (usize, &RequestClass)| Class {
            repeatability: match (c.semantics.as_str(), c.key_scope.as_str()) {
                ("free", _) => Repeatability::Idempotent,
                ("guarded", scope) => Repeatability::IdempotentByKey {
                    scope: match scope {
                        "all" => DeduplicationScope::All,
                        "zone" => DeduplicationScope::Zone,
                        _ => DeduplicationScope::Cell,
                    },
                    window_us: c.window_us,
                },
                _ => Repeatability::AtMostOnce,
            },
            latency_target_us: c.on_time_us,
            latency_target_stretch: family
                .class_stretch
                .get(i)
                .copied()
                .unwrap_or(c.aim_stretch),
            deadline_us: c.deadline_us,
            value: c.worth,
            late_value_share: c.late_share,
            required_kind: family
                .class_kind
                .get(i)
                .and_then(|&k| u32::try_from(k).ok())
                .map(KindId),
            permitted_kinds: non_empty(c.served_on.iter().map(|k| KindId(kinds.id(k))).collect()),
            permitted_zones: non_empty(
                c.zones_allowed
                    .iter()
                    .map(|z| ZoneId(zones.id(z)))
                    .collect(),
            ),
            priority: family.class_priority.get(i).copied().unwrap_or(0),
        };
        let classes = setup
            .request_classes
            .iter()
            .enumerate()
            .map(&mut class)
            .collect();
        let my_zone = ZoneId(zones.id(&setup.my_zone));
        let settings = Settings {
            dispatchers: setup.balancers,
            local_zone: my_zone,
            batch_interval_us: setup.tick_us,
            classes,
            tenants: setup
                .realms
                .iter()
                .map(|r| Tenant {
                    quota_rps: r.quota_rps,
                    share: r.share,
                })
                .collect(),
            over_share_value: setup.over_share_worth,
            value_by_work: setup.value_by == "work",
            discovery_must_be_polled: setup.discovery == "on_request",
            reports_only_on_probe: setup.feedback.via == "on_probe" && setup.limits.probes,
            reports_count_jobs: setup
                .feedback
                .fields
                .iter()
                .any(|f| f == "active" || f == "waiting"),
            notifies_start: family.tells_start,
            progress_interval_us: family.progress_us,
            may_cancel: setup.limits.cancel,
            may_duplicate: setup.limits.may_duplicate,
            max_attempts: setup.limits.max_attempts.max(1),
            streams_per_connection: setup.limits.multiplex.max(1),
            connection_idle_timeout_us: setup.limits.idle_close_us,
            connection_cost: setup.costs.handshake,
            max_retry_after_us: if setup.limits.retry_after {
                setup.limits.max_retry_after_us
            } else {
                0
            },
            answer_slack_us: setup.rules.answer_slack_us,
            max_discovery_interval_us: setup.rules.ask_within_us,
            shed_may_have_run: setup.rules.full_may_have_run,
            drain_grace_us: setup.rules.drain_grace_us,
            start_capacity: setup.rules.start_capacity,
            warm_up_us: setup.rules.warm_after_us,
            overload_multiple: setup.rules.tip_multiple,
            overload_tolerance_us: setup.rules.fall_us,
            weight_meaning: match setup.weights.as_str() {
                "live" => WeightMeaning::Live,
                "nominal" | "rough" => WeightMeaning::Size,
                _ => WeightMeaning::Off,
            },
        };
        SiteSettings {
            classes: NameTable::of(setup.request_classes.iter().map(|c| &c.name)),
            tenants: NameTable::of(setup.realms.iter().map(|r| &r.name)),
            kinds,
            zones,
            workers: NameTable::default(),
            connect_timeout_us: if setup.limits.connect_timeout_us > 0 {
                setup.limits.connect_timeout_us
            } else {
                250_000
            },
            max_open: if setup.limits.max_open > 0 {
                setup.limits.max_open as usize
            } else {
                30_000
            },
            keyed: setup
                .request_classes
                .iter()
                .map(|c| c.semantics == "guarded")
                .collect(),
            deduplication_windows: setup.request_classes.iter().map(|c| c.window_us).collect(),
            x0_is_free: setup.feedback.via != "off" && family.report_x0.contains("slots"),
            settings,
        }
    }

    /// Applies new settings at SIGHUP. Classes are matched by name: an unchanged class keeps its id; a new or
    /// changed one gets the next id, and its former id is retired along with those of removed classes, so
    /// that operations in flight keep the rules they started with. A change of zones or kinds needs a
    /// restart. Returns the number of classes that got a new id.
    pub(crate) fn apply_reload(&mut self, setup: PlatformSettings) -> Result<usize, String> {
        let fresh = SiteSettings::new(setup);
        if fresh.zones.1 != self.zones.1 || fresh.kinds.1 != self.kinds.1 {
            return Err("settings.zones, settings.kinds: a change requires a restart".into());
        }
        let dropped: Vec<Arc<str>> = self
            .classes
            .0
            .keys()
            .filter(|n| fresh.classes.find(n).is_none())
            .cloned()
            .collect();
        if self.settings.classes.len() + fresh.settings.classes.len() > MAX_CLASSES {
            return Err(format!(
                "settings.requestClasses: more than {MAX_CLASSES} classes since the start"
            ));
        }
        let mut added = 0;
        for (i, class) in fresh.settings.classes.iter().enumerate() {
            let name = fresh.classes.name(i as u32);
            let same = self.classes.find(name).is_some_and(|known| {
                let known = known as usize;
                self.settings.classes[known] == *class
                    && self.keyed[known] == fresh.keyed[i]
                    && self.deduplication_windows[known] == fresh.deduplication_windows[i]
            });
            if !same {
                self.classes.renumber(name);
                self.settings.classes.push(class.clone());
                self.keyed.push(fresh.keyed[i]);
                self.deduplication_windows
                    .push(fresh.deduplication_windows[i]);
                added += 1;
            }
        }
        dropped.iter().for_each(|name| self.classes.retire(name));
        let (classes, tenants) = (
            std::mem::take(&mut self.settings.classes),
            std::mem::take(&mut self.settings.tenants),
        );
        self.settings = Settings {
            classes,
            tenants,
            ..fresh.settings
        };
        self.connect_timeout_us = fresh.connect_timeout_us;
        Ok(added)
    }

    /// Class information that the fronts need.
    pub(crate) fn class_infos(&self) -> Vec<ClassInfo> {
        let info = |(i, c): (usize, &Class)| ClassInfo {
            name: self.classes.name(i as u32).to_string(),
            deadline_us: c.deadline_us,
            keyed: self.keyed[i],
            retired: self.classes.find(self.classes.name(i as u32)) != Some(i as u32),
        };
        self.settings.classes.iter().enumerate().map(info).collect()
    }

    /// Converts a list entry's names to ids; a new worker gets the next id.
    pub(crate) fn entry(
        &mut self,
        worker: &str,
        zone: &str,
        kind: &str,
        entry: Endpoint,
    ) -> Endpoint {
        Endpoint {
            worker: WorkerId(self.workers.id(worker)),
            zone: ZoneId(self.zones.id(zone)),
            kind: KindId(self.kinds.id(kind)),
            hash: name_hash(worker),
            ..entry
        }
    }

    /// Decodes a load report from the field names that the settings use.
    pub(crate) fn report(&self, u: &HashMap<String, f64>) -> LoadReport {
        let get = |name: &str| u.get(name).copied();
        LoadReport {
            active: get("active"),
            waiting: get("waiting"),
            busy: get("cpu"),
            service_us: get("avg_ms").map(|ms| ms * 1000.0),
            free_slots: get("x0").filter(|_| self.x0_is_free),
        }
    }
}
