//! `streamusher-control status` and `explain`: queries every control machine and prints the whole cluster, or what the
//! primary knows of one job or user.
//!
//! - [`query`]: the queries.
//! - [`report`], [`table`]: the responses as tables.

pub mod query;
pub mod report;
pub mod table;

use query::{ExplainError, StatusResponses};
use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use streamusher_protocol::internal::ExplainRequest;

/// The health of the cluster, for the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// All processes that were found responded, and one of them acts as primary.
    Good,
    /// A process did not respond, or none acts as primary.
    Impaired,
}

/// Asks the acting primary about one job or user; returns the text to print. `addresses` are those of
/// [`query::query_all`]. Within a `LocalSet`.
///
/// # Errors
/// No process acts as primary, or it knows nothing of the subject.
pub async fn explain(
    addresses: Vec<SocketAddr>,
    question: &ExplainRequest,
) -> Result<String, ExplainError> {
    let responses = query::query_all(addresses).await;
    let primary = acting_primary(&responses).ok_or(ExplainError::NoPrimary)?;
    let explanation = query::explain(primary, question).await?;
    Ok(format!("{explanation:#}\n"))
}

/// Whether all processes responded and one acts as primary.
pub fn health(responses: &StatusResponses) -> Health {
    let all_responded = !responses.is_empty() && responses.values().all(Result::is_ok);
    if all_responded && acting_primary(responses).is_some() {
        Health::Good
    } else {
        Health::Impaired
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
