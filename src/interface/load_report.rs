//! Load reports of workers.

/// A load report; a field that the worker did not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that the worker holds, running or waiting.
    pub active: Option<f64>,
    /// Requests that wait there.
    pub waiting: Option<f64>,
    /// Busy share of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Recent service time.
    pub service_us: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
}
