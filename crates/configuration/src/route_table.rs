//! Lookup of the route of a request: by host, then by the longest prefix of its path.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_protocol::config::{Configuration, Route};

/// Routes of one configuration, indexed by host. A lookup is a binary search among the routes of its host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    hosts: HashMap<Box<str>, Vec<Entry>>,
}

/// Result of a lookup for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteMatch<'table, 'path> {
    /// Route with the longest prefix that matches the request's path.
    pub route: &'table Route,
    /// Part of the request's path that follows the route's prefix.
    pub remaining_path: &'path str,
}

/// Index entry of a route. The entries of a host are sorted by path prefix.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Index of the route in the configuration.
    route: usize,
    /// Index, among the host's entries, of the longest other prefix with which this entry's prefix begins.
    parent: Option<usize>,
}

impl RouteTable {
    /// Indexes the routes of a configuration.
    pub fn new(configuration: Arc<Configuration>) -> RouteTable {
        let mut routes_by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            routes_by_host
                .entry(normalized_host(&route.host).into())
                .or_default()
                .push(index);
        }
        let hosts = routes_by_host
            .into_iter()
            .map(|(host, routes)| (host, entries_of_host(&configuration, routes)))
            .collect();
        RouteTable {
            configuration,
            hosts,
        }
    }

    /// Looks up the route of a request. The port and the letter case of the host are ignored.
    pub fn lookup<'table, 'path>(
        &'table self,
        host: &str,
        path: &'path str,
    ) -> Option<RouteMatch<'table, 'path>> {
        let entries = self.hosts.get(&*normalized_host(host))?;
        let end = entries.partition_point(|entry| self.prefix(entry) <= path.as_bytes());
        let mut entry = entries.get(end.checked_sub(1)?)?;
        // Every prefix in this table that matches the path is also a prefix of this entry's prefix, and
        // therefore belongs to one of the entry's ancestors.
        let common = common_prefix_bytes(self.prefix(entry), path.as_bytes());
        while self.prefix(entry).len() > common {
            entry = entries.get(entry.parent?)?;
        }
        let route = self.configuration.routes.get(entry.route)?;
        let remaining_path = path.get(route.path_prefix.len()..)?;
        Some(RouteMatch {
            route,
            remaining_path,
        })
    }

    fn prefix(&self, entry: &Entry) -> &[u8] {
        self.configuration.routes[entry.route]
            .path_prefix
            .as_bytes()
    }
}

/// Sorts the routes of a host by prefix and links each route to the longest other prefix with which its own
/// begins.
fn entries_of_host(configuration: &Configuration, mut routes: Vec<usize>) -> Vec<Entry> {
    let prefix = |route: usize| configuration.routes[route].path_prefix.as_bytes();
    routes.sort_by_key(|&route| prefix(route));
    let mut entries: Vec<Entry> = Vec::with_capacity(routes.len());
    for route in routes {
        let mut parent = entries.len().checked_sub(1);
        while let Some(index) = parent {
            if prefix(route).starts_with(prefix(entries[index].route)) {
                break;
            }
            parent = entries[index].parent;
        }
        entries.push(Entry { route, parent });
    }
    entries
}

fn common_prefix_bytes(left: &[u8], right: &[u8]) -> usize {
    left.iter()
        .zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

/// Normalizes a host for comparison: removes the port and converts it to lower case.
pub fn normalized_host(host: &str) -> Cow<'_, str> {
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
