//! Load reports that workers send with answers or in response to probes.

/// Load of a worker; a value that the worker did not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the worker, both running and queued.
    pub active: Option<f64>,
    /// Queued requests at the worker.
    pub waiting: Option<f64>,
    /// Utilisation of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Recent service time in microseconds.
    pub service_us: Option<f64>,
    /// Free slots at the worker.
    pub free_slots: Option<f64>,
}
