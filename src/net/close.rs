//! Closes a connection as [`Closing`] says. It takes the connection whole: nothing that is read after the shutdown can
//! reach anything that would send it on.

use super::http::Conn;
use crate::closing::Closing;
use crate::interface::Micros;
use async_io::Timer;
use futures_lite::future;
use std::net::Shutdown;
use std::time::{Duration, Instant};

impl Conn {
    /// Closes the connection.
    pub(crate) async fn close(mut self, closing: Closing) {
        let begun = Instant::now();
        let now = || begun.elapsed().as_micros() as Micros;
        let _ = self.stream().get_ref().shutdown(Shutdown::Write);
        let mut closing = closing.shutdown_sent(0);
        while let Closing::Draining { until, .. } = closing {
            // What has come already is read first, whatever the time; with no time to linger nothing is waited for.
            let there = future::poll_once(self.throw_away()).await;
            closing = there.map_or(closing.no_data(now()), |bytes| closing.received(bytes));
            match (there, closing) {
                // Guards against a sender at full speed that would keep all others waiting.
                (Some(_), _) => future::yield_now().await,
                (None, Closing::Draining { .. }) => {
                    let more = async { Some(self.throw_away().await) };
                    let late = async {
                        Timer::after(Duration::from_micros(until.saturating_sub(now()))).await;
                        None
                    };
                    let read = future::or(more, late).await;
                    closing = read.map_or(closing.no_data(now()), |bytes| closing.received(bytes));
                }
                (None, _) => {}
            }
        }
    }
}
