//! Processor time of a part of this process, told by the names of its threads.

use std::fs;

/// Clock ticks in one second of processor time, as `/proc` counts it.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the seconds of processor time that live threads of a name have used.
pub fn seconds_of(thread_name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = tasks.filter_map(|task| {
        let stat = fs::read_to_string(task.path().join("stat")).ok()?;
        let (head, tail) = stat.rsplit_once(')')?;
        let (_, name) = head.split_once('(')?;
        (name == thread_name).then_some(())?;
        let fields: Vec<&str> = tail.split_whitespace().collect();
        Some(fields[11].parse::<f64>().ok()? + fields[12].parse::<f64>().ok()?)
    });
    ticks.sum::<f64>() / TICKS_PER_SECOND
}
