//! A client of the gates, and an operator.

use anyhow::{bail, Result};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, LOCATION};
use http::{Method, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::config::{BASE_VERSION_HEADER, REPLACE_PATH};
use streamusher_protocol::job::{JobState, JobStatus};
use streamusher_runtime::http::{Client, Request, Response};

const DEADLINE: Duration = Duration::from_secs(3);
/// Before a call without a clear answer is made again.
const RETRY: Duration = Duration::from_millis(200);

/// Calls the gates in turn, until one gives a clear answer.
pub struct JobClient {
    gates: Vec<Client>,
    next: usize,
    host: &'static str,
    prefix: &'static str,
}

impl JobClient {
    pub fn new(gates: &[SocketAddr], host: &'static str, prefix: &'static str) -> JobClient {
        let gates = gates.iter().map(|gate| Client::new(*gate)).collect();
        JobClient {
            gates,
            next: 0,
            host,
            prefix,
        }
    }

    /// Hands a job in; the same id is one job, so that it can be repeated after silence.
    pub async fn submit(&mut self, id: &str, job: &Value) -> Result<()> {
        let answer = self.call(Method::POST, id, &job.to_string()).await?;
        match answer.status().is_success() {
            true => Ok(()),
            false => bail!(
                "job {id}: {} {}",
                answer.status(),
                String::from_utf8_lossy(answer.body())
            ),
        }
    }

    pub async fn cancel(&mut self, id: &str) -> Result<()> {
        let answer = self.call(Method::DELETE, id, "").await?;
        match answer.status().is_success() {
            true => Ok(()),
            false => bail!("cancelling job {id}: {}", answer.status()),
        }
    }

    pub async fn state(&mut self, id: &str) -> Result<JobState> {
        let answer = self.call(Method::GET, id, "").await?;
        if !answer.status().is_success() {
            bail!("job {id}: {}", answer.status());
        }
        Ok(serde_json::from_slice::<JobStatus>(answer.body())?.state)
    }

    async fn call(&mut self, method: Method, id: &str, body: &str) -> Result<Response> {
        loop {
            let gate = self.gates[self.next % self.gates.len()].clone();
            self.next += 1;
            let call = http::Request::builder()
                .method(method.clone())
                .uri(format!("{}{id}", self.prefix))
                .header(HOST, self.host)
                .header(CONTENT_TYPE, "application/json")
                .body(Bytes::copy_from_slice(body.as_bytes()))?;
            match gate.send(call, DEADLINE).await {
                Ok(answer) if !answer.status().is_server_error() => return Ok(answer),
                _ => tokio::time::sleep(RETRY).await,
            }
        }
    }
}

/// Gives the first configuration, at any core machine; the answer names the primary where that is another one.
pub async fn configure(machines: &[SocketAddr], configuration: &Value) -> Result<()> {
    let mut turn = machines.iter().copied().cycle();
    let mut target = turn.next();
    while let Some(address) = target {
        let answer = Client::new(address)
            .send(replace(configuration)?, DEADLINE)
            .await;
        target = match answer {
            Ok(answer) if answer.status() == StatusCode::OK => return Ok(()),
            Ok(answer) if answer.status() == StatusCode::TEMPORARY_REDIRECT => named(&answer),
            Ok(answer) if answer.status().is_client_error() => {
                bail!(
                    "the configuration is refused: {}",
                    String::from_utf8_lossy(answer.body())
                )
            }
            _ => {
                tokio::time::sleep(RETRY).await;
                turn.next()
            }
        };
    }
    bail!("no core machine to call")
}

fn replace(configuration: &Value) -> Result<Request> {
    let body = Bytes::from(configuration.to_string());
    let call = http::Request::post(REPLACE_PATH).header(CONTENT_TYPE, "application/json");
    Ok(call.header(BASE_VERSION_HEADER, "0").body(body)?)
}

/// The address in `Location: http://ADDRESS/path`.
fn named(answer: &Response) -> Option<SocketAddr> {
    let location = answer.headers().get(LOCATION)?.to_str().ok()?;
    location
        .strip_prefix("http://")?
        .split('/')
        .next()?
        .parse()
        .ok()
}
