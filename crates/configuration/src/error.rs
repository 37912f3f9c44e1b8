//! Why a configuration, a stored record or a configuration file is rejected. Every message names the remedy, and the
//! operators' pages quote them.

use std::path::PathBuf;
use thiserror::Error;

/// Why a configuration or an update is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// It is not JSON (or TOML, in a file), or it is truncated.
    #[error("cannot be read: {cause}; send it whole and well-formed")]
    Malformed {
        /// The parser's error, with line and column.
        cause: String,
    },
    /// A field has the wrong type, is out of its type's range, is missing or is repeated.
    #[error("{field} is {value}: {cause}; correct this field")]
    InvalidField {
        /// Path of the field, such as `routes[3].timeout_ms`.
        field: String,
        /// Its value, shortened.
        value: String,
        /// The parser's error.
        cause: String,
    },
    /// A field that must not be empty is.
    #[error("{field} is \"\": it must not be empty; give it a value")]
    EmptyField {
        /// Path of the field.
        field: String,
    },
    /// A number that must be at least 1 is 0.
    #[error("{field} is 0: it must be at least 1; give the time that requests may take, in milliseconds")]
    ZeroField {
        /// Path of the field.
        field: String,
    },
    /// A number is above [`MAX_EXACT_NUMBER`](crate::MAX_EXACT_NUMBER), which every JSON reader holds exactly.
    #[error("{field} is {value}: the greatest number allowed is {max}; choose a smaller one")]
    TooLarge {
        /// Path of the field.
        field: String,
        /// Its value.
        value: u64,
        /// The greatest value allowed.
        max: u64,
    },
    /// A factor is negative or not finite.
    #[error("{field} is {value}: it must be a finite number from 0; correct it")]
    InvalidFactor {
        /// Path of the field.
        field: String,
        /// Its value.
        value: String,
    },
    /// A path prefix does not begin with a slash.
    #[error("{field} is \"{value}\": it must begin with '/'; put one before it")]
    MissingLeadingSlash {
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
    DuplicateRoute {
        /// The later route.
        field: String,
        /// Host of both, without port and in lower case.
        host: String,
        /// Prefix of both.
        prefix: String,
        /// The earlier route.
        first: String,
    },
    /// A route names a service that does not exist.
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
        "version is {version}: it must be above the current one, {current_version}; choose a higher number"
    )]
    VersionNotIncreased {
        /// The version of the change.
        version: u64,
        /// The current version.
        current_version: u64,
    },
    /// An update upserts and removes the same item.
    #[error(
        "remove.{list} names \"{value}\", which upsert.{list} adds; leave it out of one of them"
    )]
    UpsertedAndRemoved {
        /// The list.
        list: String,
        /// The name.
        value: String,
    },
    /// The file cannot be opened.
    #[error("{}: {cause}; name a file that this user can read", path.display())]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        cause: String,
    },
    /// The file's extension is that of no known format.
    #[error("{}: its format is not known; name it *.json or *.toml", path.display())]
    UnknownFileFormat {
        /// The file.
        path: PathBuf,
    },
}

/// Why the stored records cannot be used. Something else than this crate, or a fault of the disk, has changed them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A record cannot be read.
    #[error("record {key} is damaged: {cause}; start this machine with an empty disk, so that it gets a whole copy")]
    Corrupt {
        /// Its key.
        key: String,
        /// The parser's error.
        cause: String,
    },
    /// An applied change is newer than the stored configuration.
    #[error(
        "record {key} is of version {version}, above config/current ({current_version}); \
         start this machine with an empty disk, so that it gets a whole copy"
    )]
    NewerThanConfiguration {
        /// The key of the change's record.
        key: String,
        /// The version that the change made.
        version: u64,
        /// The stored configuration's version; 0 for none.
        current_version: u64,
    },
}
