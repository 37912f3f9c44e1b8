//! Constraints on the fields of a configuration, whether an operator sent it or it was read from a file.

use crate::error::ConfigurationError;
use crate::invalid_field::shortened;
use crate::route_table::normalized_host;
use std::collections::{HashMap, HashSet};
use streamusher_protocol::config::{Configuration, Limits, Route};

/// Maximum integer that every JSON reader represents exactly, as a double. It also keeps sums of times far
/// from overflow.
pub const MAX_EXACT_NUMBER: u64 = (1 << 53) - 1;

/// Validates a whole configuration that is to succeed `current_version` (0 if there is none).
///
/// # Errors
/// The first error found, in the order of the checks below.
pub(crate) fn validate(
    configuration: &Configuration,
    current_version: u64,
) -> Result<(), ConfigurationError> {
    validate_version(configuration.version, current_version)?;
    validate_services(configuration)?;
    validate_routes(configuration)?;
    validate_limits(&configuration.limits)
}

fn validate_version(version: u64, current_version: u64) -> Result<(), ConfigurationError> {
    if version <= current_version {
        return Err(ConfigurationError::VersionNotIncreased {
            version,
            current_version,
        });
    }
    validate_number("version", version)
}

fn validate_services(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let names = configuration.services.iter().map(|service| &*service.name);
    validate_distinct_names("services", names)
}

fn validate_routes(configuration: &Configuration) -> Result<(), ConfigurationError> {
    let names = configuration.routes.iter().map(|route| &*route.name);
    validate_distinct_names("routes", names)?;
    let services = configuration
        .services
        .iter()
        .map(|service| &*service.name)
        .collect();
    for (index, route) in configuration.routes.iter().enumerate() {
        validate_route(index, route, &services)?;
    }
    validate_distinct_prefixes(&configuration.routes)
}

fn validate_distinct_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), ConfigurationError> {
    let mut seen = HashMap::new();
    for (index, name) in names.enumerate() {
        let field = || format!("{list}[{index}].name");
        if name.is_empty() {
            return Err(ConfigurationError::EmptyField { field: field() });
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

fn validate_route(
    index: usize,
    route: &Route,
    services: &HashSet<&str>,
) -> Result<(), ConfigurationError> {
    let field = |name: &str| format!("routes[{index}].{name}");
    if normalized_host(&route.host).is_empty() {
        return Err(ConfigurationError::EmptyField {
            field: field("host"),
        });
    }
    if route.path_prefix.is_empty() {
        return Err(ConfigurationError::EmptyField {
            field: field("path_prefix"),
        });
    }
    if !route.path_prefix.starts_with('/') {
        return Err(ConfigurationError::MissingLeadingSlash {
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
        return Err(ConfigurationError::ZeroField {
            field: field("timeout_ms"),
        });
    }
    validate_number(&field("timeout_ms"), route.timeout_ms)?;
    validate_number(&field("target_latency_ms"), route.target_latency_ms)?;
    validate_factor(&field("stretch"), route.stretch)
}

fn validate_distinct_prefixes(routes: &[Route]) -> Result<(), ConfigurationError> {
    let mut seen = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let host = normalized_host(&route.host);
        if let Some(earlier) = seen.insert((host.clone(), &*route.path_prefix), index) {
            return Err(ConfigurationError::DuplicateRoute {
                field: format!("routes[{index}]"),
                host: shortened(&host),
                prefix: shortened(&route.path_prefix),
                first: format!("routes[{earlier}]"),
            });
        }
    }
    Ok(())
}

fn validate_limits(limits: &Limits) -> Result<(), ConfigurationError> {
    validate_number("limits.max_header_bytes", limits.max_header_bytes)?;
    validate_number("limits.max_body_bytes", limits.max_body_bytes)?;
    validate_number("limits.header_timeout_ms", limits.header_timeout_ms)?;
    validate_number("limits.idle_timeout_ms", limits.idle_timeout_ms)
}

fn validate_number(field: &str, value: u64) -> Result<(), ConfigurationError> {
    if value > MAX_EXACT_NUMBER {
        return Err(ConfigurationError::TooLarge {
            field: field.to_owned(),
            value,
            max: MAX_EXACT_NUMBER,
        });
    }
    Ok(())
}

fn validate_factor(field: &str, value: f64) -> Result<(), ConfigurationError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(ConfigurationError::InvalidFactor {
        field: field.to_owned(),
        value: value.to_string(),
    })
}
