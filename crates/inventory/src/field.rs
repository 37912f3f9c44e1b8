//! The fields of a host, and the names that tools give them.

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

/// A field and its names.
struct FieldNames {
    field: HostField,
    /// In lower case and with `_` for blanks and hyphens. The first is the field's own name; of several in one place the one
    /// that comes first here counts.
    names: &'static [&'static str],
}

/// The names that `docs/servers.md` lists.
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

/// One of the names of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FieldAlias {
    pub(crate) field: HostField,
    /// Index among the field's names: the lower one counts.
    pub(crate) rank: usize,
}

impl FieldAlias {
    /// The field that a heading or variable names.
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
    /// Its own name.
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
