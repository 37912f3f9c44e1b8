//! The dispatcher as a tower layer, and thereby for axum: requests for a class of the settings are
//! dispatched, all others are passed to the inner service. A [`Tenant`] in a request's extensions names its
//! tenant; without one, the header that the operators' file configures does.
//!
//! ```no_run
//! # use streamusher::{config::Config, handle::Handle, middleware::DispatchLayer, program};
//! # use axum::{routing::get, Router};
//! # fn wire() -> Result<(), Box<dyn std::error::Error>> {
//! let config = Config::load(|name| std::env::var(name).ok(), None)?;
//! let (dispatcher, thread) = Handle::start(config, program::log())?;
//! let app: Router = Router::new()
//!     .route("/help", get(|| async { "POST /CLASS/SUBJECT" }))
//!     .fallback(|| async { "no such class" })
//!     .layer(DispatchLayer::new(dispatcher));
//! # let _ = (app, thread);
//! # Ok(())
//! # }
//! ```

use crate::core::tenants::Tenant;
use crate::core::Operation;
use crate::handle::Handle;
use crate::net::http::MAX_BODY_BYTES;
use crate::net::request::{self, Reply};
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tower_layer::Layer;
use tower_service::Service;

/// Layer that puts a dispatcher in front of a service.
#[derive(Clone)]
pub struct DispatchLayer(Handle);

impl DispatchLayer {
    /// Creates the layer for a running dispatcher.
    pub fn new(dispatcher: Handle) -> DispatchLayer {
        DispatchLayer(dispatcher)
    }
}

impl<S> Layer<S> for DispatchLayer {
    type Service = Dispatch<S>;

    fn layer(&self, inner: S) -> Dispatch<S> {
        Dispatch {
            dispatcher: self.0.clone(),
            inner,
        }
    }
}

/// A service with a dispatcher in front of it.
#[derive(Clone)]
pub struct Dispatch<S> {
    dispatcher: Handle,
    inner: S,
}

impl<S, B, R> Service<Request<B>> for Dispatch<S>
where
    S: Service<Request<B>, Response = Response<R>>,
    S::Future: Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    R: From<Vec<u8>>,
{
    type Response = Response<R>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<R>, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<B>) -> Self::Future {
        let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
        if request::class(&self.dispatcher.classes, target).is_none() {
            return Box::pin(self.inner.call(request));
        }
        let dispatcher = self.dispatcher.clone();
        Box::pin(async move {
            let reply = dispatch(&dispatcher, request)
                .await
                .unwrap_or_else(|reply| reply);
            let mut response = Response::new(R::from(reply.body.to_vec()));
            *response.status_mut() = http::StatusCode::from_u16(reply.status).unwrap_or_default();
            if let Some((name, value)) = reply.header.and_then(|(n, v)| Some((n, v.parse().ok()?)))
            {
                response.headers_mut().insert(name, value);
            }
            Ok(response)
        })
    }
}

async fn dispatch<B>(dispatcher: &Handle, request: Request<B>) -> Result<Reply, Reply>
where
    B: Body,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let (method, target) = (
        head.method.as_str(),
        head.uri.path_and_query().map_or("/", |t| t.as_str()),
    );
    request::check_target(&dispatcher.classes, method, target)?;
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|e| match e.is::<LengthLimitError>() {
            true => Reply::plain(413, "the body is over 64 KiB"),
            false => Reply::plain(400, "the body broke off"),
        })?;
    let tenant = match head.extensions.get::<Tenant>() {
        Some(Tenant(name)) => Some(name.clone()),
        None => tenant(dispatcher, &head.headers)?,
    };
    let get = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let body = body.to_bytes().to_vec();
    let operation = request::operation(&dispatcher.classes, method, target, get, body)?;
    let answer = dispatcher
        .try_call(Operation {
            tenant,
            ..operation
        })
        .await;
    Ok(answer.map_or_else(request::submit_error_reply, request::reply))
}

/// Reads the tenant of a request from the header that the operators' file configures.
fn tenant(dispatcher: &Handle, headers: &http::HeaderMap) -> Result<Option<Arc<str>>, Reply> {
    let Some(name) = dispatcher.tenant_header.as_deref() else {
        return Ok(None);
    };
    let values = headers
        .get_all(name)
        .iter()
        .map(|v| std::str::from_utf8(v.as_bytes()));
    let values: Vec<&str> = values
        .collect::<Result<_, _>>()
        .map_err(|_| Reply::plain(400, "a header that is not text"))?;
    request::tenant(values.into_iter())
}
