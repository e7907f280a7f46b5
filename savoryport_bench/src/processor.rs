//! Processor time of a part of this process, told by the names of its threads.

use std::fs;

/// Returns the seconds of processor time that live threads of a name have used.
///
/// The scheduler's own account is read, since the ticks of `/proc/.../stat` miss short bursts.
pub fn seconds_of(thread_name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let nanoseconds = tasks.filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        (name.trim_end() == thread_name).then_some(())?;
        let account = fs::read_to_string(task.path().join("schedstat")).ok()?;
        account.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanoseconds.sum::<f64>() / 1e9
}
