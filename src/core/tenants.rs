//! Whose an operation is: the tenants that the operators list, and what becomes of the work of others.

use std::collections::HashMap;
use std::sync::Arc;

/// The longest name of a tenant, in bytes.
pub const MAX_TENANT_NAME_BYTES: usize = 128;

/// Whose an operation is, for hosts that know it themselves: an extension of the request, which goes before the
/// header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant(pub Arc<str>);

/// Why an operation is not taken for a tenant's sake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// The name is none: empty, too long, or with control characters in it.
    Malformed,
    /// It is not listed, and the file says to refuse.
    Unlisted,
}

/// The listed tenants.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// By every name that a tenant goes or went by, the one that it is booked under.
    names: HashMap<Arc<str>, Arc<str>>,
    /// Where unlisted ones, and operations that name none, are booked; none refuses them.
    rest: Option<Arc<str>>,
}

impl Tenants {
    /// Those listed; `renamed` has earlier names and the present ones. `rest`: see [`Tenants::resolve`]. The error
    /// names the name.
    pub fn new(
        listed: &[String],
        renamed: &[(String, String)],
        rest: Option<&str>,
    ) -> Result<Tenants, String> {
        let mut tenants = Tenants {
            names: HashMap::new(),
            rest: rest.map(Arc::from),
        };
        for name in listed.iter().map(String::as_str).chain(rest) {
            if !is_name(name) {
                return Err(format!(
                    "{name:?}: empty, over {MAX_TENANT_NAME_BYTES} bytes, or with control characters"
                ));
            }
        }
        for name in listed {
            let name: Arc<str> = Arc::from(name.as_str());
            if tenants.names.insert(name.clone(), name.clone()).is_some() {
                return Err(format!("{name:?}: given twice"));
            }
        }
        for (old, new) in renamed {
            let present = tenants
                .names
                .get(new.as_str())
                .filter(|n| n.as_ref() == new.as_str());
            let present = present
                .ok_or_else(|| format!("{old:?}: its present name {new:?} is not listed"))?;
            let present = present.clone();
            if tenants
                .names
                .insert(Arc::from(old.as_str()), present)
                .is_some()
            {
                return Err(format!("{old:?}: an earlier name, and a listed one too"));
            }
        }
        Ok(tenants)
    }

    /// The name to book under. One that is not listed, or none at all, is booked under the default, if there is one.
    pub fn resolve(&self, name: Option<&str>) -> Result<Arc<str>, TenantError> {
        if name.is_some_and(|n| !is_name(n)) {
            return Err(TenantError::Malformed);
        }
        let listed = name.and_then(|n| self.names.get(n));
        listed
            .or(self.rest.as_ref())
            .cloned()
            .ok_or(TenantError::Unlisted)
    }

    /// A tenant's present name; any other name as it is.
    pub fn current_name(&self, name: &str) -> String {
        self.names.get(name).map_or(name, |n| n).to_string()
    }
}

/// Guards against names that would break a table, a log line or a file.
fn is_name(name: &str) -> bool {
    !name.trim().is_empty()
        && name.len() <= MAX_TENANT_NAME_BYTES
        && !name.chars().any(char::is_control)
}
