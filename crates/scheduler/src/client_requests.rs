//! Handles client requests about jobs and queues, which gates forward.

use crate::json_body::{to_json, ErrorBody};
use serde::Serialize;
use streamusher_configuration::{ConfigurationStore, RouteMatch};
use streamusher_jobs::{CancelOutcome, JobTable, QueuePolicy};
use streamusher_protocol::config::Route;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, ClientResponse};
use streamusher_protocol::job::{JobRequest, JobStatus, QueueStatus};
use streamusher_protocol::task::JobId;
use streamusher_protocol::{Millis, Now};

/// Retry delay that is sent to clients while there is no configuration.
const UNCONFIGURED_RETRY_MS: Millis = 500;

/// Executes a client's request. The response must not be sent before the job table's changes are committed.
pub(crate) fn on_client_request(
    jobs: &mut JobTable,
    configuration: &ConfigurationStore,
    now: Now,
    request: &ClientRequest,
) -> ClientResponse {
    if configuration.current().is_none() {
        return ClientResponse {
            retry_after_ms: Some(UNCONFIGURED_RETRY_MS),
            ..error_response(503, "no configuration yet")
        };
    }
    let found = configuration.routes().lookup(&request.host, &request.path);
    let Some(RouteMatch {
        route,
        remaining_path,
    }) = found
    else {
        return error_response(404, "no queue has this host and path");
    };
    let policy = queue_policy(route);
    if remaining_path.is_empty() {
        return handle_queue_request(jobs, request.method, &policy);
    }
    match remaining_path.parse::<JobId>() {
        Err(error) => error_response(400, &error.to_string()),
        Ok(id) => match request.method {
            ClientMethod::Get => job_status(jobs, &id),
            ClientMethod::Delete => cancel(jobs, now, &id),
            ClientMethod::Post => submit(jobs, now, &id, &request.body, &policy),
        },
    }
}

fn handle_queue_request(
    jobs: &JobTable,
    method: ClientMethod,
    policy: &QueuePolicy,
) -> ClientResponse {
    match method {
        ClientMethod::Get => {
            let waiting = jobs.pending_count(&policy.queue);
            json_response(200, &QueueStatus { waiting })
        }
        ClientMethod::Post | ClientMethod::Delete => error_response(
            405,
            "a queue can only be read; name a job by its 16 hexadecimal digits",
        ),
    }
}

fn job_status(jobs: &JobTable, id: &JobId) -> ClientResponse {
    match jobs.status(id) {
        Some(state) => json_response(200, &JobStatus { state }),
        None => error_response(410, "no such job"),
    }
}

fn cancel(jobs: &mut JobTable, now: Now, id: &JobId) -> ClientResponse {
    match jobs.cancel(now, id) {
        CancelOutcome::UnknownJob => error_response(410, "no such job"),
        _ => job_status(jobs, id),
    }
}

fn submit(
    jobs: &mut JobTable,
    now: Now,
    id: &JobId,
    body: &str,
    policy: &QueuePolicy,
) -> ClientResponse {
    let job: JobRequest = match serde_json::from_str(body) {
        Ok(job) => job,
        Err(error) => return reject(id, &format!("the job cannot be read: {error}")),
    };
    match jobs.submit(now, id, job, policy) {
        Ok(_) => job_status(jobs, id),
        Err(error) => reject(id, &error.to_string()),
    }
}

fn reject(id: &JobId, cause: &str) -> ClientResponse {
    log::info!("job {id} rejected: {cause}");
    error_response(400, cause)
}

/// Extracts the part of a queue's configuration that the job table needs.
pub(crate) fn queue_policy(route: &Route) -> QueuePolicy {
    QueuePolicy {
        queue: route.name.clone(),
        service: route.service.clone(),
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms,
    }
}

fn error_response(status: u16, error: &str) -> ClientResponse {
    let body = ErrorBody {
        error,
        version: None,
    };
    json_response(status, &body)
}

fn json_response(status: u16, body: &impl Serialize) -> ClientResponse {
    ClientResponse {
        status,
        body: to_json(body),
        retry_after_ms: None,
    }
}
