//! Handles operator requests about the configuration.

use crate::client_requests::queue_policy;
use crate::event::{OperatorRequest, OperatorRequestKind, OperatorResponse};
use crate::json_body::{to_json, ErrorBody};
use serde::Serialize;
use streamusher_configuration::{ChangeOutcome, ConfigurationStore};
use streamusher_jobs::JobTable;
use streamusher_protocol::store::Write;

/// JSON body of the response to a change that has been applied, now or earlier.
#[derive(Serialize)]
struct VersionBody {
    version: u64,
}

/// Result of an operator's request.
pub(crate) struct OperatorOutcome {
    /// Response, to be sent once the writes are committed.
    pub(crate) response: OperatorResponse,
    /// Changes of the replicated state.
    pub(crate) writes: Vec<Write>,
}

impl OperatorOutcome {
    fn without_writes(response: OperatorResponse) -> OperatorOutcome {
        OperatorOutcome {
            response,
            writes: Vec::new(),
        }
    }
}

/// Executes an operator's request.
pub(crate) fn on_operator_request(
    configuration: &mut ConfigurationStore,
    jobs: &mut JobTable,
    request: &OperatorRequest,
) -> OperatorOutcome {
    let outcome = match (request.kind, request.base) {
        (OperatorRequestKind::Read, _) => {
            return OperatorOutcome::without_writes(read_configuration(configuration));
        }
        (_, None) => {
            let error = "the header Streamusher-Base-Version must name the current version";
            return OperatorOutcome::without_writes(error_response(400, error, None));
        }
        (OperatorRequestKind::Replace, Some(base)) => configuration.replace(base, &request.body),
        (OperatorRequestKind::Update, Some(base)) => configuration.update(base, &request.body),
    };
    let is_applied = matches!(outcome, ChangeOutcome::Applied { .. });
    let outcome = respond_to_change(outcome);
    if is_applied {
        update_queue_policies(configuration, jobs);
    }
    outcome
}

fn read_configuration(configuration: &ConfigurationStore) -> OperatorResponse {
    match configuration.text() {
        Some(body) => OperatorResponse { status: 200, body },
        None => error_response(404, "no configuration was taken yet", None),
    }
}

fn respond_to_change(outcome: ChangeOutcome) -> OperatorOutcome {
    match outcome {
        ChangeOutcome::Applied { version, writes } => {
            log::info!("configuration {version} taken");
            let response = json_response(200, &VersionBody { version });
            OperatorOutcome { response, writes }
        }
        ChangeOutcome::AlreadyApplied { version } => {
            OperatorOutcome::without_writes(json_response(200, &VersionBody { version }))
        }
        ChangeOutcome::VersionConflict {
            current_version,
            writes,
        } => {
            let error = "another version is current";
            let response = error_response(412, error, Some(current_version));
            OperatorOutcome { response, writes }
        }
        ChangeOutcome::HistoryTruncated { current_version } => {
            let error = "no longer known whether this was taken: read the configuration";
            OperatorOutcome::without_writes(error_response(503, error, Some(current_version)))
        }
        ChangeOutcome::RejectionLimitReached { current_version } => {
            let error =
                "too many changes on versions to come: send those for the current version first";
            OperatorOutcome::without_writes(error_response(503, error, Some(current_version)))
        }
        ChangeOutcome::Invalid(error) => {
            log::info!("configuration rejected: {error}");
            OperatorOutcome::without_writes(error_response(400, &error.to_string(), None))
        }
    }
}

fn update_queue_policies(configuration: &ConfigurationStore, jobs: &mut JobTable) {
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
    OperatorResponse {
        status,
        body: to_json(body),
    }
}
