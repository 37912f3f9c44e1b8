//! Operators' requests about the configuration.

use crate::client_requests::queue_policy;
use crate::event::{OperatorRequest, OperatorRequestKind, OperatorResponse};
use serde::Serialize;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use streamusher_jobs::JobTable;
use streamusher_protocol::store::Write;

/// The JSON body of a change that is or was applied.
#[derive(Serialize)]
struct VersionBody {
    version: u64,
}

/// The JSON body of an error.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    /// The current version, where the request named another one.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
}

/// Carries out an operator's request; returns the response and the writes that must be committed before it is sent.
pub(crate) fn on_operator_request(
    configuration: &mut ConfigurationStore,
    jobs: &mut JobTable,
    request: &OperatorRequest,
) -> (OperatorResponse, Vec<Write>) {
    let outcome = match (request.kind, request.base) {
        (OperatorRequestKind::Read, _) => return (read(configuration), Vec::new()),
        (_, None) => {
            let error = "the header Streamusher-Base-Version must name the current version";
            return (error_response(400, error, None), Vec::new());
        }
        (OperatorRequestKind::Replace, Some(base)) => configuration.replace(base, &request.body),
        (OperatorRequestKind::Update, Some(base)) => configuration.update(base, &request.body),
    };
    let is_applied = matches!(outcome, ChangeOutcome::Applied { .. });
    let answer = respond_to_change(outcome);
    if is_applied {
        apply_to_queues(configuration, jobs);
    }
    answer
}

fn read(configuration: &ConfigurationStore) -> OperatorResponse {
    match configuration.text() {
        Some(body) => OperatorResponse { status: 200, body },
        None => error_response(404, "no configuration was taken yet", None),
    }
}

fn respond_to_change(outcome: ChangeOutcome) -> (OperatorResponse, Vec<Write>) {
    match outcome {
        ChangeOutcome::Applied { version, writes } => {
            log::info!("configuration {version} taken");
            (json_response(200, &VersionBody { version }), writes)
        }
        ChangeOutcome::AlreadyApplied { version } => {
            (json_response(200, &VersionBody { version }), Vec::new())
        }
        ChangeOutcome::VersionConflict {
            current_version,
            writes,
        } => {
            let error = "another version is current";
            (error_response(412, error, Some(current_version)), writes)
        }
        ChangeOutcome::Undecided { current_version } => {
            let error = "no longer known whether this was taken: read the configuration";
            (
                error_response(503, error, Some(current_version)),
                Vec::new(),
            )
        }
        ChangeOutcome::Invalid(error) => {
            log::info!("configuration rejected: {error}");
            (error_response(400, &error.to_string(), None), Vec::new())
        }
    }
}

fn apply_to_queues(configuration: &ConfigurationStore, jobs: &mut JobTable) {
    let Some(current) = configuration.current() else {
        return;
    };
    jobs.apply_configuration(&|queue: &str| {
        let route = current.routes.iter().find(|route| &*route.name == queue);
        route.map(queue_policy)
    });
}

fn error_response(status: u16, error: &str, version: Option<u64>) -> OperatorResponse {
    json_response(status, &ErrorBody { error, version })
}

fn json_response(status: u16, body: &impl Serialize) -> OperatorResponse {
    let body = serde_json::to_string(body).unwrap_or_default();
    OperatorResponse {
        status,
        body: body.into(),
    }
}
