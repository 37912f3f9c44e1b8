//! Closes connections as [`Closing`] prescribes. Closing consumes the connection, so that no data read after
//! the shutdown can be processed or forwarded.

use super::http::Conn;
use crate::closing::Closing;
use crate::interface::Micros;
use async_io::Timer;
use futures_lite::future;
use std::net::Shutdown;
use std::time::{Duration, Instant};

impl Conn {
    /// Shuts down the sending side and then reads and discards input until `closing` says that the connection
    /// may be closed.
    pub(crate) async fn close(mut self, closing: Closing) {
        let begun = Instant::now();
        let now = || begun.elapsed().as_micros() as Micros;
        let _ = self.stream().get_ref().shutdown(Shutdown::Write);
        let mut closing = closing.shutdown_sent(0);
        while let Closing::Draining { until, .. } = closing {
            // Input that has already arrived is read first, regardless of the time limit. With a
            // limit of zero the function does not wait for more input.
            let available = future::poll_once(self.discard_input()).await;
            closing = available.map_or(closing.no_data(now()), |bytes| closing.received(bytes));
            match (available, closing) {
                // Guards against a sender at full speed that would starve the other tasks.
                (Some(_), _) => future::yield_now().await,
                (None, Closing::Draining { .. }) => {
                    let input = async { Some(self.discard_input().await) };
                    let timeout = async {
                        Timer::after(Duration::from_micros(until.saturating_sub(now()))).await;
                        None
                    };
                    let read = future::or(input, timeout).await;
                    closing = read.map_or(closing.no_data(now()), |bytes| closing.received(bytes));
                }
                (None, _) => {}
            }
        }
    }
}
