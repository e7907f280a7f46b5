//! Measures the CPU time of a part of this process, which is identified by its thread name.

use std::fs;

/// Returns the CPU time, in seconds, that the live threads with the given name have used.
///
/// Reads `schedstat`, because the tick counts in `/proc/.../stat` miss short bursts.
pub fn thread_cpu_seconds(thread_name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let nanoseconds = tasks.filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        (name.trim_end() == thread_name).then_some(())?;
        let schedstat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        schedstat.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanoseconds.sum::<f64>() / 1e9
}
