//! What must hold between the fields of a configuration, however it was read.

use crate::error::ConfigurationError;
use crate::invalid_field::shortened;
use crate::route_table::plain_host;
use std::collections::{HashMap, HashSet};
use streamusher_protocol::config::{Configuration, Limits, Route};

/// The greatest number that every JSON reader holds exactly. It also keeps sums of times far from overflow.
pub const GREATEST_NUMBER: u64 = (1 << 53) - 1;

/// Checks a whole configuration that is to follow version `current` (0 for none).
///
/// # Errors
/// The first fault found.
pub fn check(configuration: &Configuration, current: u64) -> Result<(), ConfigurationError> {
    check_version(configuration.version, current)?;
    check_services(configuration)?;
    check_routes(configuration)?;
    check_limits(&configuration.limits)
}

fn check_version(version: u64, current: u64) -> Result<(), ConfigurationError> {
    if version <= current {
        return Err(ConfigurationError::VersionNotAbove { version, current });
    }
    check_number("version", version)
}

fn check_services(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let names = configuration.services.iter().map(|service| &*service.name);
    check_names("services", names)
}

fn check_routes(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let names = configuration.routes.iter().map(|route| &*route.name);
    check_names("routes", names)?;
    let services = configuration
        .services
        .iter()
        .map(|service| &*service.name)
        .collect();
    for (index, route) in configuration.routes.iter().enumerate() {
        check_route(index, route, &services)?;
    }
    check_prefixes(&configuration.routes)
}

fn check_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), ConfigurationError> {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        let field = || format!("{list}[{index}].name");
        if name.is_empty() {
            return Err(ConfigurationError::Empty { field: field() });
        }
        if let Some(earlier) = seen.insert(name, index) {
            let first = format!("{list}[{earlier}]");
            return Err(ConfigurationError::DuplicateName {
                field: field(),
                value: shortened(name),
                first,
            });
        }
    }
    Ok(())
}

fn check_route(
    index: usize,
    route: &Route,
    services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("routes[{index}].{name}");
    if plain_host(&route.host).is_empty() {
        return Err(ConfigurationError::Empty {
            field: field("host"),
        });
    }
    if route.path_prefix.is_empty() {
        return Err(ConfigurationError::Empty {
            field: field("path_prefix"),
        });
    }
    if !route.path_prefix.starts_with('/') {
        return Err(ConfigurationError::NoSlash {
            field: field("path_prefix"),
            value: shortened(&route.path_prefix),
        });
    }
    if !services.contains(&*route.service) {
        return Err(ConfigurationError::UnknownService {
            field: field("service"),
            value: shortened(&route.service),
        });
    }
    if route.timeout_ms == 0 {
        return Err(ConfigurationError::Zero {
            field: field("timeout_ms"),
        });
    }
    check_number(&field("timeout_ms"), route.timeout_ms)?;
    check_number(&field("target_latency_ms"), route.target_latency_ms)?;
    check_factor(&field("stretch"), route.stretch)
}

fn check_prefixes(routes: &[Route]) -> Result<(), ConfigurationError> {
    let mut seen = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host = plain_host(&route.host);
        if let Some(earlier) = seen.insert((host.clone(), &*route.path_prefix), index) {
            return Err(ConfigurationError::SharedPrefix {
                field: format!("routes[{index}]"),
                host: shortened(&host),
                prefix: shortened(&route.path_prefix),
                first: format!("routes[{earlier}]"),
            });
        }
    }
    Ok(())
}

fn check_limits(limits: &Limits) -> Result<(), ConfigurationError> {
    check_number("limits.max_header_bytes", limits.max_header_bytes)?;
    check_number("limits.max_body_bytes", limits.max_body_bytes)?;
    check_number("limits.header_timeout_ms", limits.header_timeout_ms)?;
    check_number("limits.idle_timeout_ms", limits.idle_timeout_ms)
}

fn check_number(field: &str, value: u64) -> Result<(), ConfigurationError> {
    if value > GREATEST_NUMBER {
        return Err(ConfigurationError::TooLarge {
            field: field.to_owned(),
            value,
            most: GREATEST_NUMBER,
        });
    }
    Ok(())
}

fn check_factor(field: &str, value: f64) -> Result<(), ConfigurationError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(ConfigurationError::BadFactor {
        field: field.to_owned(),
        value: value.to_string(),
    })
}
