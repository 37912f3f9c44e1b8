//! `streamusher-control status`: asks every core machine for its status and prints the whole cluster.
//!
//! - [`ask`]: the questions; further members are found from the answers.
//! - [`report`], [`table`]: the answers as tables.

pub mod ask;
pub mod report;
pub mod table;

use ask::Answers;
use std::io;
use std::net::SocketAddr;
use streamusher_protocol::internal::ExplainRequest;
use streamusher_runtime::runtime;

/// What came of the questions, for the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// All machines that were found answered, and one of them acts as primary.
    Good,
    /// A machine did not answer, or none acts as primary.
    Impaired,
}

/// Asks the processes at `addresses` (internal `ip:port`) and all that they name; gives the text to print.
///
/// # Errors
/// The event loop can't be made.
pub fn run(addresses: Vec<SocketAddr>, as_json: bool) -> io::Result<(String, Health)> {
    let answers = runtime::block_on(ask::ask_all(addresses))?;
    let text = if as_json {
        json(&answers)
    } else {
        report::render(&answers)
    };
    Ok((text, health(&answers)))
}

/// Asks the acting primary about one job or user; gives the text to print.
///
/// # Errors
/// The event loop can't be made, no primary acts, or it knows nothing of what is asked.
pub fn explain(addresses: Vec<SocketAddr>, asked: &ExplainRequest) -> anyhow::Result<String> {
    runtime::block_on(ask_primary(addresses, asked))?
}

async fn ask_primary(addresses: Vec<SocketAddr>, asked: &ExplainRequest) -> anyhow::Result<String> {
    let answers = ask::ask_all(addresses).await;
    let acting = answers
        .iter()
        .find(|(_, answer)| answer.as_ref().is_ok_and(report::is_acting));
    let (address, _) =
        acting.ok_or_else(|| anyhow::anyhow!("no primary acts: look at the status"))?;
    let known = ask::explain(*address, asked)
        .await
        .map_err(anyhow::Error::msg)?;
    Ok(format!("{known:#}\n"))
}

/// Whether all answered and one acts.
pub fn health(answers: &Answers) -> Health {
    let all = !answers.is_empty() && answers.values().all(Result::is_ok);
    let acts = answers.values().flatten().any(report::is_acting);
    if all && acts {
        Health::Good
    } else {
        Health::Impaired
    }
}

fn json(answers: &Answers) -> String {
    let machines: serde_json::Map<String, serde_json::Value> = answers
        .iter()
        .map(|(address, answer)| {
            let value = match answer {
                Ok(status) => status.clone(),
                Err(reason) => serde_json::json!({ "error": reason }),
            };
            (address.to_string(), value)
        })
        .collect();
    format!("{:#}\n", serde_json::json!({ "machines": machines }))
}
