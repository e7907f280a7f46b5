//! Tests of the files that the local fleet writes for the processes it is used with.

use std::sync::atomic::{AtomicBool, Ordering};

use savoryport_standin::fleet::write_settings;
use serde_json::{Value, json};

#[test]
fn a_process_that_starts_while_its_settings_are_written_again_reads_all_of_them() {
    let temp_dir = tempfile::tempdir().unwrap();
    let path = temp_dir.path().join("node-1.json");
    let settings = json!({ "vm": "node-1", "peers": vec!["127.0.0.1:7000"; 300] });
    write_settings(&path, &settings);
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..2_000 {
                write_settings(&path, &settings);
            }
            is_done.store(true, Ordering::Relaxed);
        });
        while !is_done.load(Ordering::Relaxed) {
            let text = std::fs::read_to_string(&path).unwrap();
            let read: Option<Value> = serde_json::from_str(&text).ok();
            assert_eq!(read.as_ref(), Some(&settings), "{} bytes were read", text.len());
        }
    });
}
