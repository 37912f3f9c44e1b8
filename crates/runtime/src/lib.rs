//! What every process of the scheduler needs: settings, logs, HTTP on both sides, clocks, signals.
//!
//! A process has one thread: [`runtime`] runs its tasks, and nothing here starts another thread or process. Signals come
//! through pipes, as the platform refuses Unix sockets.

pub mod clock;
pub mod http;
pub mod logs;
pub mod options;
pub mod runtime;
pub mod settings;
pub mod signals;
