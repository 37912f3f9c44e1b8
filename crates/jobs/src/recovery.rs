//! The record rebuilt from the replicated state.

use crate::entry::Entry;
use crate::error::RecordError;
use crate::job::Job;
use crate::policy::JobSettings;
use crate::record::{self, JobRecord, Key, TaskRecord};
use crate::table::JobTable;
use crate::validation::check;
use std::sync::Arc;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Now;

impl JobTable {
    /// The record as it was written: `records` are all keys `job/...` and `task/...` of the replicated state, in any
    /// order. Units that wait are given out by the next [`JobTable::take_changes`]. An ended job's state is kept for
    /// the whole time again, as the clock by which it ended is gone.
    pub fn recover(
        settings: JobSettings,
        now: Now,
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<JobTable, RecordError> {
        let mut book = JobTable::new(settings);
        let mut tasks = Vec::new();
        for (key, value) in records {
            match Key::parse(&key)? {
                Key::Job(id) => {
                    let record: JobRecord = record::read(&key, &value)?;
                    let entry = restored_entry(&id, record);
                    let entry =
                        entry.map_err(|reason| RecordError::InvalidValue { key, reason })?;
                    book.insert_restored(now, id, entry);
                }
                Key::Task(id) => tasks.push((id, record::read::<TaskRecord>(&key, &value)?)),
            }
        }
        tasks.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (task, record) in tasks {
            restore_task(&mut book, now, &task, record)?;
        }
        book.resume_all(now);
        Ok(book)
    }
}

fn restored_entry(id: &JobId, record: JobRecord) -> Result<Entry, String> {
    let JobRecord { queue, state, open } = record;
    match (state, open) {
        (state, Some(open)) => {
            check(&open.request).map_err(|e| e.to_string())?;
            Ok(Entry::Kept(Box::new(Job::restore(
                id.clone(),
                queue,
                state,
                open,
            ))))
        }
        (Some(state), None) => Ok(Entry::Ended { queue, state }),
        (None, None) => Err("neither state nor open is there".into()),
    }
}

fn restore_task(
    book: &mut JobTable,
    now: Now,
    task: &TaskId,
    record: TaskRecord,
) -> Result<(), RecordError> {
    let restored = book
        .kept_mut(&task.job)
        .is_some_and(|job| job.restore_task(now, task, record));
    restored
        .then_some(())
        .ok_or_else(|| RecordError::TaskWithoutJob(record::task_key(task).into()))
}
