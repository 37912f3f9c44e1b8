//! `streamusher-control status` and `explain`: `status` queries every control machine and prints the whole
//! cluster; `explain` prints the primary's explanation of one job or user.
//!
//! - [`query`]: sends the queries.
//! - [`report`], [`table`]: render the responses as tables.

pub mod query;
pub mod report;
pub mod table;

use query::{ExplainError, StatusResponses};
use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use streamusher_protocol::internal::ExplainRequest;

/// The health of the cluster, which determines the exit code of `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// All known processes responded, and one of them is the acting primary.
    Healthy,
    /// A process did not respond, or none is the acting primary.
    Degraded,
}

/// Queries the acting primary about one job or user and returns the text to print. `addresses` are passed to
/// [`query::query_all`]. Must be called within a `LocalSet`.
///
/// # Errors
/// No process is the acting primary, or it has no information about the subject.
pub async fn explain(
    addresses: Vec<SocketAddr>,
    explain_request: &ExplainRequest,
) -> Result<String, ExplainError> {
    let responses = query::query_all(addresses).await;
    let primary = acting_primary(&responses).ok_or(ExplainError::NoPrimary)?;
    let explanation = query::explain(primary, explain_request).await?;
    Ok(format!("{explanation:#}\n"))
}

/// Returns [`Health::Healthy`] if all processes responded and one is the acting primary.
pub fn health(responses: &StatusResponses) -> Health {
    let all_responded = !responses.is_empty() && responses.values().all(Result::is_ok);
    if all_responded && acting_primary(responses).is_some() {
        Health::Healthy
    } else {
        Health::Degraded
    }
}

/// All responses as JSON, the output of `status --json`.
pub fn to_json(responses: &StatusResponses) -> String {
    let mut machines = Map::new();
    for (address, response) in responses {
        let value = match response {
            Ok(status) => status.clone(),
            Err(error) => json!({ "error": error.to_string() }),
        };
        machines.insert(address.to_string(), value);
    }
    format!("{:#}\n", json!({ "machines": machines }))
}

fn acting_primary(responses: &StatusResponses) -> Option<SocketAddr> {
    let is_acting = |response: &Result<Value, _>| response.as_ref().is_ok_and(report::is_acting);
    let (address, _) = responses.iter().find(|(_, response)| is_acting(response))?;
    Some(*address)
}
