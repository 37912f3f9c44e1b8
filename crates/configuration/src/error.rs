//! Errors of rejected configurations, stored records and configuration files. Every message states the
//! remedy, and the operators' documentation quotes the messages.

use std::path::PathBuf;
use thiserror::Error;

/// Reason why a configuration or an update is rejected as invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The text is truncated or is not JSON (or TOML, in a file).
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
        /// Value of the field, shortened.
        value: String,
        /// The parser's error.
        cause: String,
    },
    /// A field that must not be empty is empty.
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
    /// A number is greater than [`MAX_EXACT_NUMBER`](crate::MAX_EXACT_NUMBER), up to which every JSON reader
    /// represents integers exactly.
    #[error("{field} is {value}: the greatest number allowed is {max}; choose a smaller one")]
    TooLarge {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: u64,
        /// Maximum allowed value.
        max: u64,
    },
    /// A factor is negative or not finite.
    #[error("{field} is {value}: it must be a finite number from 0; correct it")]
    InvalidFactor {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: String,
    },
    /// A path prefix does not begin with a slash.
    #[error("{field} is \"{value}\": it must begin with '/'; put one before it")]
    MissingLeadingSlash {
        /// Path of the field.
        field: String,
        /// Value of the field.
        value: String,
    },
    /// Two items of one list have the same name.
    #[error("{field} is \"{value}\", which {first} has as well; rename one of them")]
    DuplicateName {
        /// Path of the name in the later item.
        field: String,
        /// The duplicate name.
        value: String,
        /// Path of the earlier item.
        first: String,
    },
    /// Two routes have the same host and path prefix.
    #[error("{field} has host \"{host}\" and path_prefix \"{prefix}\", and so has {first}; change or remove one of them")]
    DuplicateRoute {
        /// Path of the later route.
        field: String,
        /// Host of both routes, without port and in lower case.
        host: String,
        /// Path prefix of both routes.
        prefix: String,
        /// Path of the earlier route.
        first: String,
    },
    /// A route names a service that does not exist.
    #[error(
        "{field} is \"{value}\": there is no such service; add it under `services` or name another"
    )]
    UnknownService {
        /// Path of the field.
        field: String,
        /// Name of the unknown service.
        value: String,
    },
    /// The version is not greater than the current one.
    #[error(
        "version is {version}: it must be above the current one, {current_version}; choose a higher number"
    )]
    VersionNotIncreased {
        /// Version of the rejected configuration.
        version: u64,
        /// Version of the current configuration; 0 if there is none.
        current_version: u64,
    },
    /// An update upserts and removes the same item.
    #[error(
        "remove.{list} names \"{value}\", which upsert.{list} adds; leave it out of one of them"
    )]
    UpsertedAndRemoved {
        /// Name of the list.
        list: String,
        /// Name of the item.
        value: String,
    },
    /// The file cannot be read.
    #[error("{}: {cause}; name a file that this user can read", path.display())]
    UnreadableFile {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        cause: String,
    },
    /// The file extension does not denote a supported format.
    #[error("{}: its format is not known; name it *.json or *.toml", path.display())]
    UnknownFileFormat {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Reason why the stored records cannot be used. Something other than this crate, or a disk fault, has
/// changed them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A record cannot be parsed.
    #[error("record {key} is damaged: {cause}; start this machine with an empty disk, so that it gets a whole copy")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// The parser's error.
        cause: String,
    },
    /// The record of an applied change has a newer version than the stored configuration.
    #[error(
        "record {key} is of version {version}, above config/current ({current_version}); \
         start this machine with an empty disk, so that it gets a whole copy"
    )]
    NewerThanConfiguration {
        /// Key of the change's record.
        key: String,
        /// Version that the change produced.
        version: u64,
        /// Version of the stored configuration; 0 if there is none.
        current_version: u64,
    },
}
