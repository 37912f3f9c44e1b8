//! Tenants: the names that the operators list, and the handling of operations of unlisted ones.

use std::collections::HashMap;
use std::sync::Arc;

/// Maximum length of a tenant's name, in bytes.
pub const MAX_TENANT_NAME_BYTES: usize = 128;

/// The tenant of a request, for hosts that know it themselves: an extension of the request that takes
/// precedence over the header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant(pub Arc<str>);

/// Why an operation is not accepted on account of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantError {
    /// The name is empty, too long, or contains control characters.
    Malformed,
    /// The tenant is not listed, and the operators' file says to refuse such operations.
    Unlisted,
}

/// The listed tenants.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    /// The name to record under, by every present and former name of a tenant.
    names: HashMap<Arc<str>, Arc<str>>,
    /// The tenant that unlisted and unnamed operations are recorded under; `None` refuses them.
    default_tenant: Option<Arc<str>>,
}

impl Tenants {
    /// Builds the list. `renamed` maps former names to present ones; `default_tenant` is described at
    /// [`Tenants::resolve`]. An error contains the faulty name.
    pub fn new(
        listed: &[String],
        renamed: &[(String, String)],
        default_tenant: Option<&str>,
    ) -> Result<Tenants, String> {
        let mut tenants = Tenants {
            names: HashMap::new(),
            default_tenant: default_tenant.map(Arc::from),
        };
        for name in listed.iter().map(String::as_str).chain(default_tenant) {
            if !is_valid_name(name) {
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

    /// The name to record under. An unlisted tenant, or none at all, is recorded under the default one, if
    /// there is one.
    pub fn resolve(&self, name: Option<&str>) -> Result<Arc<str>, TenantError> {
        if name.is_some_and(|n| !is_valid_name(n)) {
            return Err(TenantError::Malformed);
        }
        let listed = name.and_then(|n| self.names.get(n));
        listed
            .or(self.default_tenant.as_ref())
            .cloned()
            .ok_or(TenantError::Unlisted)
    }

    /// The present name of a tenant; an unknown name is returned unchanged.
    pub fn current_name(&self, name: &str) -> String {
        self.names.get(name).map_or(name, |n| n).to_string()
    }
}

/// Whether a name is usable. Guards against names that would break a table, a log line or a file.
fn is_valid_name(name: &str) -> bool {
    !name.trim().is_empty()
        && name.len() <= MAX_TENANT_NAME_BYTES
        && !name.chars().any(char::is_control)
}
