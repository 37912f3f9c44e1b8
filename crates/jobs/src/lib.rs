//! The job record: steps, tasks, attempts, due times; pure, told the time.
