//! Clients' calls, as gates pass them on.

use crate::event::{RequestId, SchedulerResponse};
use crate::scheduler::Scheduler;
use std::sync::Arc;
use streamusher_jobs::{CancelOutcome, QueuePolicy};
use streamusher_protocol::config::Route;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, ClientResponse};
use streamusher_protocol::job::{JobRequest, JobStatus, QueueStatus};
use streamusher_protocol::task::JobId;
use streamusher_protocol::{Millis, Now};

/// When to come back while there is no configuration.
const UNCONFIGURED_RETRY_MS: Millis = 500;

impl Scheduler {
    /// Answers a client's call at once; the caller releases the answer when it is committed.
    pub(crate) fn client(&mut self, now: Now, request: RequestId, call: ClientRequest) {
        let reply = self.client_reply(now, &call);
        self.reply(request, SchedulerResponse::Client(reply));
    }

    fn client_reply(&mut self, now: Now, call: &ClientRequest) -> ClientResponse {
        if self.configuration.current().is_none() {
            return ClientResponse {
                retry_after_ms: Some(UNCONFIGURED_RETRY_MS),
                ..problem(503, "no configuration yet")
            };
        }
        let Some((route, rest)) = self.configuration.routes().lookup(&call.host, &call.path) else {
            return problem(404, "no queue has this host and path");
        };
        let (terms, rest) = (terms_of(route), rest.to_owned());
        if rest.is_empty() {
            return self.queue_reply(call.method, &terms);
        }
        match rest.parse::<JobId>() {
            Err(error) => problem(400, &error.to_string()),
            Ok(id) => self.job_reply(now, call, &id, &terms),
        }
    }

    fn queue_reply(&self, method: ClientMethod, terms: &QueuePolicy) -> ClientResponse {
        match method {
            ClientMethod::Get => json(
                200,
                &QueueStatus {
                    waiting: self.jobs.pending_count(&terms.queue),
                },
            ),
            _ => problem(
                405,
                "a queue can only be read; name a job by its 16 hexadecimal digits",
            ),
        }
    }

    fn job_reply(
        &mut self,
        now: Now,
        call: &ClientRequest,
        id: &JobId,
        terms: &QueuePolicy,
    ) -> ClientResponse {
        match call.method {
            ClientMethod::Get => self.show(id),
            ClientMethod::Delete => self.cancel(now, id),
            ClientMethod::Post => self.submit(now, id, &call.body, terms),
        }
    }

    fn show(&self, id: &JobId) -> ClientResponse {
        match self.jobs.status(id) {
            Some(state) => json(200, &JobStatus { state }),
            None => problem(410, "no such job"),
        }
    }

    fn cancel(&mut self, now: Now, id: &JobId) -> ClientResponse {
        match self.jobs.cancel(now, id) {
            CancelOutcome::UnknownJob => problem(410, "no such job"),
            _ => self.show(id),
        }
    }

    fn submit(&mut self, now: Now, id: &JobId, body: &str, terms: &QueuePolicy) -> ClientResponse {
        let job: JobRequest = match serde_json::from_str(body) {
            Ok(job) => job,
            Err(error) => return refuse(id, &format!("the job cannot be read: {error}")),
        };
        match self.jobs.submit(now, id, job, terms) {
            Ok(_) => self.show(id),
            Err(error) => refuse(id, &error.to_string()),
        }
    }
}

/// A job that is not taken, with the cause.
fn refuse(id: &JobId, cause: &str) -> ClientResponse {
    log::info!("job {id} refused: {cause}");
    problem(400, cause)
}

/// What the job record needs of a queue.
pub(crate) fn terms_of(route: &Route) -> QueuePolicy {
    QueuePolicy {
        queue: route.name.clone(),
        service: route.service.clone(),
        priority: route.priority,
        max_attempts: route.max_attempts,
        stretch: route.stretch,
        target_latency_ms: route.target_latency_ms,
    }
}

fn json<T: serde::Serialize>(status: u16, body: &T) -> ClientResponse {
    let body = serde_json::to_string(body).unwrap_or_default();
    ClientResponse {
        status,
        body: body.into(),
        retry_after_ms: None,
    }
}

fn problem(status: u16, text: &str) -> ClientResponse {
    let body: Arc<str> = serde_json::json!({ "error": text }).to_string().into();
    ClientResponse {
        status,
        body,
        retry_after_ms: None,
    }
}
