//! Questions for the status of processes.

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::{ExplainRequest, EXPLAIN_PATH, STATUS_PATH};
use streamusher_runtime::http::{Client, Request};
use tokio::task::JoinSet;

/// How long an answer may take: a machine that is up answers within milliseconds, also when it is busy.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Addresses come from answers; there are never so many core machines.
const MOST_ASKED: usize = 64;

/// The status of each process by its internal address, or why there is none.
pub type Answers = BTreeMap<SocketAddr, Result<Value, String>>;

/// Asks `first` and all core machines that the answers name. Within a `LocalSet`.
pub async fn ask_all(first: Vec<SocketAddr>) -> Answers {
    let mut answers = Answers::new();
    let mut next: BTreeSet<SocketAddr> = first.into_iter().collect();
    while !next.is_empty() {
        let mut asked = JoinSet::new();
        for address in std::mem::take(&mut next) {
            asked.spawn_local(async move { (address, ask(address).await) });
        }
        while let Some(answered) = asked.join_next().await {
            // A question that failed as a task is one without an answer.
            let Ok((address, answer)) = answered else {
                continue;
            };
            if let Ok(status) = &answer {
                next.extend(members_in(status));
            }
            answers.insert(address, answer);
        }
        next.retain(|address| !answers.contains_key(address));
        while next.len() + answers.len() > MOST_ASKED && next.pop_last().is_some() {}
    }
    answers
}

async fn ask(address: SocketAddr) -> Result<Value, String> {
    let mut call = Request::new(Bytes::new());
    *call.method_mut() = Method::GET;
    *call.uri_mut() = http::Uri::from_static(STATUS_PATH);
    let answer = Client::new(address)
        .send(call, DEADLINE)
        .await
        .map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!(
            "answered {}: name the internal ip:port of a process",
            answer.status()
        ));
    }
    serde_json::from_slice(answer.body())
        .map_err(|error| format!("the answer is not a status: {error}"))
}

/// What the primary at `address` knows of one job or user.
pub async fn explain(address: SocketAddr, asked: &ExplainRequest) -> Result<Value, String> {
    let body = serde_json::to_vec(asked).map_err(|error| error.to_string())?;
    let mut call = Request::new(Bytes::from(body));
    *call.method_mut() = Method::POST;
    *call.uri_mut() = http::Uri::from_static(EXPLAIN_PATH);
    let answer = Client::new(address)
        .send(call, DEADLINE)
        .await
        .map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(String::from_utf8_lossy(answer.body()).trim().to_owned());
    }
    serde_json::from_slice(answer.body())
        .map_err(|error| format!("the answer is not understood: {error}"))
}

/// Internal addresses of the core machines that a status names: a core machine's record, or what a process of the data
/// plane knows of the control plane.
fn members_in(status: &Value) -> Vec<SocketAddr> {
    let of_record = status
        .pointer("/core/record/members")
        .and_then(Value::as_array);
    let of_view = status
        .pointer("/control_plane/members")
        .and_then(Value::as_array);
    let record = of_record
        .into_iter()
        .flatten()
        .filter_map(|member| member.pointer("/address/internal"));
    let view = of_view
        .into_iter()
        .flatten()
        .filter_map(|member| member.get("internal"));
    record
        .chain(view)
        .filter_map(|address| address.as_str()?.parse().ok())
        .collect()
}
