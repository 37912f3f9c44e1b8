//! What every process of the scheduler needs: settings, logs, HTTP on both sides, clocks, signals.
