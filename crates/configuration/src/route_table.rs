//! Choice of the route by host and longest prefix of the path.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Route};

/// No shorter prefix of the same host begins this one.
const NONE: u32 = u32::MAX;

/// The routes of one configuration, ready to be looked up. A look-up is a binary search among the routes of its host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<Box<str>, Vec<Entry>>,
}

/// A route of a host. Entries are in the order of their prefixes.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Its place in the configuration.
    route: u32,
    /// Place among the host's entries of the longest shorter prefix with which this one begins.
    parent: u32,
}

impl RouteTable {
    /// Prepares the routes of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> RouteTable {
        let mut by_host: HashMap<Box<str>, Vec<u32>> = HashMap::new();
        for (index, route) in (0..NONE).zip(configuration.routes.iter()) {
            by_host
                .entry(plain_host(&route.host).into())
                .or_default()
                .push(index);
        }
        let linked = |(host, routes)| (host, link(&configuration, routes));
        let hosts = by_host.into_iter().map(linked).collect();
        RouteTable {
            configuration,
            hosts,
        }
    }

    /// The configuration whose routes these are.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The route of a request, and the rest of its path after the prefix. Port and case of the host do not matter.
    pub fn lookup<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let entries = self.hosts.get(&*plain_host(host))?;
        let after = entries.partition_point(|entry| self.prefix(entry) <= path.as_bytes());
        let mut entry = entries.get(after.checked_sub(1)?)?;
        // Whatever prefix of the path is here begins this entry too, so that it is among the entry's ancestors.
        let common = common_length(self.prefix(entry), path.as_bytes());
        while self.prefix(entry).len() > common {
            entry = entries.get(entry.parent as usize)?;
        }
        let route = self.configuration.routes.get(entry.route as usize)?;
        let rest = path.get(route.path_prefix.len()..)?;
        Some((route, rest))
    }

    fn prefix(&self, entry: &Entry) -> &[u8] {
        self.configuration.routes[entry.route as usize]
            .path_prefix
            .as_bytes()
    }
}

/// Sorts a host's routes by prefix and links each to the longest one that begins it.
fn link(configuration: &Configuration, mut routes: Vec<u32>) -> Vec<Entry> {
    let prefix = |route: u32| configuration.routes[route as usize].path_prefix.as_bytes();
    routes.sort_by_key(|&route| prefix(route));
    let mut entries: Vec<Entry> = Vec::with_capacity(routes.len());
    for route in routes {
        let mut parent = entries
            .len()
            .checked_sub(1)
            .map_or(NONE, |last| last as u32);
        while parent != NONE && !prefix(route).starts_with(prefix(entries[parent as usize].route)) {
            parent = entries[parent as usize].parent;
        }
        entries.push(Entry { route, parent });
    }
    entries
}

fn common_length(left: &[u8], right: &[u8]) -> usize {
    left.iter()
        .zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

/// A host without its port and in lower case.
pub fn plain_host(host: &str) -> Cow<'_, str> {
    let end_of_address = host.rfind(']').unwrap_or(0);
    let port = host[end_of_address..]
        .find(':')
        .map(|colon| end_of_address + colon);
    let bare = &host[..port.unwrap_or(host.len())];
    if bare.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(bare.to_ascii_lowercase());
    }
    Cow::Borrowed(bare)
}
