//! Process infrastructure shared by the programs of the scheduler: settings, command line, logs, clocks,
//! signals, and an HTTP client and server.
//!
//! Each process has one thread. [`event_loop`] runs its tasks on that thread, and nothing in this crate
//! starts another thread or process. Signals arrive through pipes, because the platform does not permit the
//! Unix sockets that `tokio::signal` needs.
//!
//! | module | provides |
//! | --- | --- |
//! | [`clock`] | a monotonic clock, and a time of day that never steps |
//! | [`event_loop`] | the single-threaded runtime |
//! | [`http`] | [`http::Client`], [`http::Server`], [`http::Outbox`] for messages that may be lost |
//! | [`logs`] | the logger, with rate limits for each call site |
//! | [`options`] | command-line parsing for programs with commands |
//! | [`settings`] | loading and validation of the settings file |
//! | [`signals`] | SIGTERM, SIGINT and SIGHUP on the event loop |
//!
//! ```
//! use streamusher_runtime::http::{text, Client, Request, Server, ServerLimits};
//! use std::time::Duration;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! streamusher_runtime::event_loop::block_on(async {
//!     let server = Server::bind("127.0.0.1:0".parse()?, ServerLimits::default())?;
//!     let client = Client::new(server.local_address()?);
//!     tokio::task::spawn_local(server.run(|_request| async { text(http::StatusCode::OK, "hello") }));
//!
//!     let request = http::Request::get("/").body(bytes::Bytes::new())?;
//!     let response = client.send(request, Duration::from_secs(5)).await?;
//!     assert_eq!(response.body(), "hello");
//!     Ok(())
//! })?
//! # }
//! ```

pub mod clock;
pub mod event_loop;
pub mod http;
pub mod logs;
pub mod options;
pub mod settings;
pub mod signals;
