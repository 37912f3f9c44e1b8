//! Validation of the job templates that batch tools send.

use super::reject;
use crate::drmaa::{Error, JobTemplate};

/// Attributes defined by DRMAA v2 that this front does not support.
const UNSUPPORTED: [&str; 21] = [
    "args",
    "submitAsHold",
    "rerunnable",
    "jobEnvironment",
    "workingDirectory",
    "email",
    "emailOnStarted",
    "emailOnTerminated",
    "inputPath",
    "outputPath",
    "errorPath",
    "joinFiles",
    "reservationId",
    "queueName",
    "maxSlots",
    "priority",
    "candidateMachines",
    "minPhysMemory",
    "machineOS",
    "startTime",
    "resourceLimits",
];

/// Decodes a template. An unsupported or unknown attribute is rejected with an error that names it.
pub(super) fn read_template(template: serde_json::Value) -> Result<JobTemplate, (Error, String)> {
    let known = [
        "remoteCommand",
        "jobCategory",
        "jobName",
        "minSlots",
        "deadlineTime",
        "accountingId",
    ];
    for name in template.as_object().into_iter().flat_map(|t| t.keys()) {
        if UNSUPPORTED.contains(&name.as_str()) {
            return reject(Error::UnsupportedAttribute, name.clone());
        }
        let ours = [
            "streamusher_idempotencyKey",
            "streamusher_input",
            "streamusher_inputHex",
        ];
        if !known.contains(&name.as_str()) && !ours.contains(&name.as_str()) {
            return reject(Error::InvalidArgument, format!("{name}: no such attribute"));
        }
    }
    serde_json::from_value(template).map_err(|e| (Error::InvalidArgument, e.to_string()))
}
