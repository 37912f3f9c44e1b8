//! The status document of a process, for operators and `streamusher-control status`.

use super::bind;
use http::{Method, StatusCode};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::STATUS_PATH;
use streamusher_runtime::http::{json, text, Request, Response, ServerLimits};

/// Limits of the status listener: small bodies from few clients.
const STATUS_SERVER_LIMITS: ServerLimits = ServerLimits {
    max_body_bytes: 4_096,
    max_header_bytes: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
    max_connections: 8,
};

/// Serves the document that `status` returns at `GET /internal/status`. The process works without this
/// listener, so a failure to bind the address is only logged.
pub async fn serve_status<T, S>(address: SocketAddr, status: S)
where
    T: Serialize + 'static,
    S: Fn() -> T + Clone + 'static,
{
    let handler = move |request: Request| std::future::ready(respond_status(&request, &status));
    match bind(address, STATUS_SERVER_LIMITS).await {
        Ok(server) => server.run(handler).await,
        Err(error) => log::warn!("status interface unavailable: {error}"),
    }
}

/// Responds to `GET /internal/status` with the document that `status` returns, and to all other requests with
/// 404.
pub fn respond_status<T: Serialize>(request: &Request, status: impl Fn() -> T) -> Response {
    let is_status = request.method() == Method::GET && request.uri().path() == STATUS_PATH;
    if !is_status {
        let body = format!("only GET {STATUS_PATH} is here\n");
        return text(StatusCode::NOT_FOUND, body);
    }
    json(StatusCode::OK, &status())
}
