//! Why a configuration, a stored record or a configuration file is refused. Every message names the remedy.

use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration or an update is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// It is not JSON (or TOML, in a file), or it was cut short.
    #[error("cannot be read: {cause}; send it whole and well-formed")]
    Unreadable {
        /// What the parser met, with line and column.
        cause: String,
    },
    /// A field has the wrong type, is out of its type's range, is missing or stands twice.
    #[error("{field} is {value}: {cause}; correct this field")]
    Field {
        /// Path of the field, such as `routes[3].timeout_ms`.
        field: String,
        /// Its value, shortened.
        value: String,
        /// What the parser met.
        cause: String,
    },
    /// A text is empty that must not be.
    #[error("{field} is \"\": it must not be empty; give it a value")]
    Empty {
        /// Path of the field.
        field: String,
    },
    /// A number is 0 that must be at least 1.
    #[error("{field} is 0: it must be at least 1; give the time that requests may take, in milliseconds")]
    Zero {
        /// Path of the field.
        field: String,
    },
    /// A number is above what every JSON reader holds exactly.
    #[error("{field} is {value}: the greatest number allowed is {most}; choose a smaller one")]
    TooLarge {
        /// Path of the field.
        field: String,
        /// Its value.
        value: u64,
        /// The greatest allowed.
        most: u64,
    },
    /// A factor is negative or not finite.
    #[error("{field} is {value}: it must be a finite number from 0; correct it")]
    BadFactor {
        /// Path of the field.
        field: String,
        /// Its value.
        value: String,
    },
    /// A path prefix does not begin with a slash.
    #[error("{field} is \"{value}\": it must begin with '/'; put one before it")]
    NoSlash {
        /// Path of the field.
        field: String,
        /// Its value.
        value: String,
    },
    /// Two items of one list have the same name.
    #[error("{field} is \"{value}\", which {first} has as well; rename one of them")]
    DuplicateName {
        /// Path of the later item's name.
        field: String,
        /// The name.
        value: String,
        /// Path of the earlier item.
        first: String,
    },
    /// Two routes have the same host and prefix.
    #[error("{field} has host \"{host}\" and path_prefix \"{prefix}\", and so has {first}; change or remove one of them")]
    SharedPrefix {
        /// The later route.
        field: String,
        /// Host of both, without port and in lower case.
        host: String,
        /// Prefix of both.
        prefix: String,
        /// The earlier route.
        first: String,
    },
    /// A route names a service that is not there.
    #[error(
        "{field} is \"{value}\": there is no such service; add it under `services` or name another"
    )]
    UnknownService {
        /// Path of the field.
        field: String,
        /// The name.
        value: String,
    },
    /// The version is not above the current one.
    #[error(
        "version is {version}: it must be above the current one, {current}; choose a higher number"
    )]
    VersionNotAbove {
        /// The version of the order.
        version: u64,
        /// The current version.
        current: u64,
    },
    /// An update adds and removes the same item.
    #[error(
        "remove.{list} names \"{value}\", which upsert.{list} adds; leave it out of one of them"
    )]
    AddedAndRemoved {
        /// The list.
        list: String,
        /// The name.
        value: String,
    },
    /// The file cannot be opened.
    #[error("{}: {cause}; name a file that this user can read", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: String,
    },
    /// The file's name tells no known format.
    #[error("{}: its format is not known; name it *.json or *.toml", path.display())]
    UnknownFormat {
        /// The file.
        path: PathBuf,
    },
}

/// Why the stored records are not used. They were changed by something else, or by a fault of the disk.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A record cannot be read.
    #[error("record {key} is damaged: {cause}; start this machine with an empty disk, so that it gets a whole copy")]
    Damaged {
        /// Its key.
        key: String,
        /// What the parser met.
        cause: String,
    },
    /// An order is newer than the configuration that it made.
    #[error(
        "record {key} is of version {version}, above config/current ({current}); \
         start this machine with an empty disk, so that it gets a whole copy"
    )]
    TooNew {
        /// The order's key.
        key: String,
        /// The version that the order made.
        version: u64,
        /// The stored configuration's version; 0 for none.
        current: u64,
    },
}
