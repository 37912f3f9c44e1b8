//! Conversion between HTTP requests and operations, and between answers and HTTP responses, for client
//! connections and the middleware.

use crate::core::{Answer, Operation, SubmitError};
use crate::interface::{ClassId, Micros};
use std::sync::Arc;

/// Properties of a class that the front ends need.
#[derive(Clone, Debug)]
pub(crate) struct ClassInfo {
    pub(crate) name: String,
    pub(crate) deadline_us: Micros,
    pub(crate) keyed: bool,
    /// A reload removed the class: its open operations keep its rules, and new operations are rejected.
    pub(crate) retired: bool,
}

/// Maximum length of an idempotency key in bytes. It is bounded because keys are stored for some time.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 1 << 10;

/// Response to one HTTP request.
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// At most one header, besides those that frame the message.
    pub(crate) header: Option<(&'static str, String)>,
    pub(crate) body: Arc<[u8]>,
}

impl Reply {
    pub(crate) fn plain(status: u16, text: &str) -> Reply {
        let body = if text.is_empty() {
            Vec::new()
        } else {
            format!("{text}\n").into_bytes()
        };
        Reply {
            status,
            header: None,
            body: body.into(),
        }
    }

    pub(crate) fn with(mut self, name: &'static str, value: String) -> Reply {
        self.header = Some((name, value));
        self
    }

    /// Response to a method other than the one that the path supports.
    pub(crate) fn method_not_allowed(method: &str) -> Reply {
        Reply::plain(405, &format!("only {method}")).with("Allow", method.to_string())
    }
}

/// Path of a request target, without the query.
pub(crate) fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or("")
}

/// Index of the class named by the first segment of a target.
pub(crate) fn class(classes: &[ClassInfo], target: &str) -> Option<usize> {
    let name = path(target).split('/').nth(1).unwrap_or("");
    classes.iter().rposition(|c| c.name == name && !c.retired)
}

/// Checks that need only the method and the target, so that no body is read in vain.
pub(crate) fn check_target(
    classes: &[ClassInfo],
    method: &str,
    target: &str,
) -> Result<usize, Reply> {
    let class = class(classes, target).ok_or_else(|| Reply::plain(404, "no such class"))?;
    if method != "POST" {
        return Err(Reply::method_not_allowed("POST"));
    }
    Ok(class)
}

/// Parses the operation that a request asks for.
pub(crate) fn operation<'a>(
    classes: &[ClassInfo],
    method: &str,
    target: &str,
    get: impl Fn(&str) -> Option<&'a str>,
    body: Vec<u8>,
) -> Result<Operation, Reply> {
    let class = check_target(classes, method, target)?;
    let info = &classes[class];
    let bad = |why: &str| Reply::plain(400, why);
    let id = get("x-correlation-id").ok_or_else(|| bad("no X-Correlation-Id"))?;
    if !is_valid_id(id) {
        return Err(bad("X-Correlation-Id: not an id"));
    }
    let remaining_us = match get("x-time-left-ms") {
        Some(ms) if !ms.bytes().all(|b| b.is_ascii_digit()) => {
            return Err(bad("X-Time-Left-Ms: not a number"))
        }
        Some(ms) => ms
            .parse::<Micros>()
            .map_err(|_| bad("X-Time-Left-Ms: not whole milliseconds"))?,
        None => info.deadline_us / 1_000,
    };
    let idempotency_key = get("idempotency-key").map(str::to_string);
    if idempotency_key
        .as_ref()
        .is_some_and(|k| k.len() > MAX_IDEMPOTENCY_KEY_BYTES)
    {
        return Err(bad("Idempotency-Key: too long"));
    }
    // The key is forwarded unchanged: guards against a key that a worker could not parse.
    if idempotency_key
        .as_ref()
        .is_some_and(|k| !k.bytes().all(|b| b.is_ascii_graphic()))
    {
        return Err(bad("Idempotency-Key: not plain ASCII"));
    }
    if info.keyed && idempotency_key.as_ref().is_none_or(|k| k.is_empty()) {
        return Err(bad("no Idempotency-Key"));
    }
    let mut slots = 1.0;
    for field in get("x-facts")
        .unwrap_or("")
        .split(',')
        .filter(|f| !f.trim().is_empty())
    {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| bad("X-Facts: not name=value"))?;
        let value = value
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0);
        let value = value.ok_or_else(|| bad("X-Facts: not a number"))?;
        if name.trim() == "slots" {
            slots = value;
        }
    }
    let segments: Vec<&str> = path(target)
        .split('/')
        .skip(2)
        .filter(|p| !p.is_empty())
        .collect();
    Ok(Operation {
        id: id.to_string(),
        class: ClassId(class as u32),
        target: target.to_string(),
        tenant: None,
        subject: segments.last().map(|p| p.to_string()),
        idempotency_key,
        slots,
        remaining_us: remaining_us.min(86_400_000).saturating_mul(1_000),
        body,
    })
}

/// The tenant of an operation, from the values of the header that names it.
pub(crate) fn tenant<'a>(
    mut values: impl Iterator<Item = &'a str>,
) -> Result<Option<Arc<str>>, Reply> {
    let tenant = values.next();
    match values.next() {
        Some(_) => Err(Reply::plain(400, "a header that must not come twice")),
        None => Ok(tenant.map(Arc::from)),
    }
}

/// Response to an operation that was not accepted.
pub(crate) fn submit_error_reply(why: SubmitError) -> Reply {
    match why {
        SubmitError::DuplicateId => Reply::plain(409, "an operation of this id is in hand"),
        SubmitError::AtCapacity => busy("too many operations"),
        SubmitError::BillingUnavailable => busy("use cannot be booked now"),
        SubmitError::Stopping => busy("this dispatcher ends"),
        SubmitError::InvalidTenant => Reply::plain(400, "the tenant's name is none"),
        SubmitError::Unlisted => Reply::plain(403, "no such tenant"),
    }
}

pub(crate) fn busy(why: &str) -> Reply {
    Reply::plain(503, why).with("Retry-After", "1".into())
}

/// Whether an id is valid. Ids appear in the paths of cancels and in call-backs: guards against one that
/// would have another meaning there.
fn is_valid_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 128
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._~:".contains(&b))
}

/// Response for a final answer. Only busy answers are sent as 429, and 503 is never sent for an operation
/// that may have run.
pub(crate) fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(body) => Reply {
            status: 200,
            header: None,
            body,
        },
        Answer::Busy { retry_after_us: 0 } => Reply::plain(429, "busy"),
        Answer::Busy { retry_after_us } => Reply::plain(429, "busy")
            .with("Retry-After", format!("{:.3}", retry_after_us as f64 / 1e6)),
        Answer::Failed { late: false } => Reply::plain(502, "failed"),
        Answer::Failed { late: true } => Reply::plain(504, "out of time"),
        Answer::Withheld => Reply::plain(
            502,
            "failed: it has run, but its use could not be booked in time; it is not billed",
        ),
    }
}
