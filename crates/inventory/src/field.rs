//! Host fields and the names by which inventories refer to them.

/// A field of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum HostField {
    Name,
    Address,
    Port,
    Zone,
    Kind,
    Cell,
    Weight,
}

/// A field and the names under which inventories may contain it.
struct FieldNames {
    field: HostField,
    /// Names in lower case, with `_` in place of spaces and hyphens. The first is the canonical name. If
    /// several names of a field occur in one row or host, the one listed first takes precedence.
    names: &'static [&'static str],
}

/// Accepted field names, as documented in `docs/servers.md`.
const FIELD_NAMES: [FieldNames; 7] = [
    FieldNames {
        field: HostField::Name,
        names: &[
            "name",
            "host",
            "hostname",
            "host_name",
            "inventory_hostname",
        ],
    },
    FieldNames {
        field: HostField::Address,
        names: &["address", "addr", "ip", "ip_address", "ansible_host"],
    },
    FieldNames {
        field: HostField::Port,
        names: &["port", "drmaa_port", "ansible_port"],
    },
    FieldNames {
        field: HostField::Zone,
        names: &["zone", "building"],
    },
    FieldNames {
        field: HostField::Kind,
        names: &["kind", "machine_kind", "machine"],
    },
    FieldNames {
        field: HostField::Cell,
        names: &["cell", "pod"],
    },
    FieldNames {
        field: HostField::Weight,
        names: &["weight"],
    },
];

/// A field, as identified by one of its accepted names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FieldAlias {
    pub(crate) field: HostField,
    /// Index of the name among the field's names. The lowest rank takes precedence.
    pub(crate) rank: usize,
}

impl FieldAlias {
    /// Looks up the field by a column heading or variable name, ignoring case and treating spaces and hyphens
    /// as `_`.
    pub(crate) fn parse(text: &str) -> Option<FieldAlias> {
        let normalized: String = text.trim().chars().map(normalized_char).collect();
        FIELD_NAMES.iter().find_map(|FieldNames { field, names }| {
            let rank = names.iter().position(|name| *name == normalized)?;
            Some(FieldAlias {
                field: *field,
                rank,
            })
        })
    }
}

impl HostField {
    /// Returns the canonical name of the field.
    pub(crate) fn name(self) -> &'static str {
        FIELD_NAMES
            .iter()
            .find(|entry| entry.field == self)
            .map_or("", |entry| entry.names[0])
    }
}

fn normalized_char(character: char) -> char {
    match character {
        ' ' | '-' => '_',
        other => other.to_ascii_lowercase(),
    }
}
