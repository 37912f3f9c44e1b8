//! A client of the gates, and an operator that replaces the configuration.

use anyhow::{bail, Result};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, LOCATION};
use http::{Method, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::config::{BASE_VERSION_HEADER, REPLACE_PATH};
use streamusher_protocol::job::{JobState, JobStatus};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{Client, Request, RequestError, Response, UnknownReason};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause before a request without a conclusive response is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A request that was sent completely, and whose connection ended without a response. Times are of the steady
/// clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredRequest {
    pub(crate) gate: SocketAddr,
    pub(crate) sent_ms: Millis,
    pub(crate) ended_ms: Millis,
}

/// Sends each request to the gates in turn until one returns a conclusive response. Connections are reused
/// while they stay open.
pub(crate) struct JobClient {
    gates: Vec<Client>,
    unanswered: Vec<UnansweredRequest>,
    next_gate: usize,
    host: &'static str,
    prefix: &'static str,
}

impl JobClient {
    pub(crate) fn new(gates: &[SocketAddr], host: &'static str, prefix: &'static str) -> JobClient {
        let gates = gates.iter().map(|gate| Client::new(*gate)).collect();
        JobClient {
            gates,
            unanswered: Vec::new(),
            next_gate: 0,
            host,
            prefix,
        }
    }

    /// The requests that received no response.
    pub(crate) fn into_unanswered(self) -> Vec<UnansweredRequest> {
        self.unanswered
    }

    /// Submits a job. The id makes the request idempotent, so it is repeated if there was no response.
    pub(crate) async fn submit(&mut self, id: &str, job: &Value) -> Result<()> {
        let response = self.request(Method::POST, id, &job.to_string()).await?;
        if !response.status().is_success() {
            let reason = String::from_utf8_lossy(response.body());
            bail!("submitting job {id}: {} {reason}", response.status());
        }
        Ok(())
    }

    pub(crate) async fn cancel(&mut self, id: &str) -> Result<()> {
        let response = self.request(Method::DELETE, id, "").await?;
        if !response.status().is_success() {
            bail!("cancelling job {id}: {}", response.status());
        }
        Ok(())
    }

    pub(crate) async fn state(&mut self, id: &str) -> Result<JobState> {
        let response = self.request(Method::GET, id, "").await?;
        if !response.status().is_success() {
            bail!("querying job {id}: {}", response.status());
        }
        Ok(serde_json::from_slice::<JobStatus>(response.body())?.state)
    }

    async fn request(&mut self, method: Method, id: &str, body: &str) -> Result<Response> {
        loop {
            let gate = self.gates[self.next_gate % self.gates.len()].clone();
            self.next_gate += 1;
            let request = http::Request::builder()
                .method(method.clone())
                .uri(format!("{}{id}", self.prefix))
                .header(HOST, self.host)
                .header(CONTENT_TYPE, "application/json")
                .body(Bytes::copy_from_slice(body.as_bytes()))?;
            let sent_ms = clock::steady();
            match gate.send(request, REQUEST_TIMEOUT).await {
                Ok(response) if !response.status().is_server_error() => return Ok(response),
                Err(RequestError::Unknown(UnknownReason::Http(_) | UnknownReason::Body(_))) => {
                    self.unanswered.push(UnansweredRequest {
                        gate: gate.address(),
                        sent_ms,
                        ended_ms: clock::steady(),
                    });
                }
                _ => {}
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Sends a configuration based on `base_version` to a control machine. A machine that is not the primary
/// redirects to the primary.
pub(crate) async fn configure(
    machines: &[SocketAddr],
    base_version: u64,
    configuration: &Value,
) -> Result<()> {
    let mut machine_cycle = machines.iter().copied().cycle();
    let mut target = machine_cycle.next();
    while let Some(address) = target {
        let response = Client::new(address)
            .send(
                replace_request(base_version, configuration)?,
                REQUEST_TIMEOUT,
            )
            .await;
        target = match response {
            Ok(response) if response.status() == StatusCode::OK => return Ok(()),
            Ok(response) if response.status() == StatusCode::TEMPORARY_REDIRECT => {
                redirect_target(&response)
            }
            Ok(response) if response.status().is_client_error() => {
                bail!(
                    "the configuration was rejected: {}",
                    String::from_utf8_lossy(response.body())
                )
            }
            _ => {
                tokio::time::sleep(RETRY_PAUSE).await;
                machine_cycle.next()
            }
        };
    }
    bail!("no control machine to send the configuration to")
}

fn replace_request(base_version: u64, configuration: &Value) -> Result<Request> {
    let body = Bytes::from(configuration.to_string());
    let request = http::Request::post(REPLACE_PATH)
        .header(CONTENT_TYPE, "application/json")
        .header(BASE_VERSION_HEADER, base_version.to_string())
        .body(body)?;
    Ok(request)
}

/// Returns the address in `Location: http://ADDRESS/path`.
fn redirect_target(response: &Response) -> Option<SocketAddr> {
    let location = response.headers().get(LOCATION)?.to_str().ok()?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
