//! The command line as operators use it: words, files, exit statuses.

mod site;

use std::process::{Command, Output};

use site::{Site, TABLE};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_savoryport")).args(args).output().unwrap()
}

fn text(buf: &[u8]) -> String {
    String::from_utf8_lossy(buf).into_owned()
}

#[test]
fn help_and_version_need_no_service() {
    for (program, word) in [
        (env!("CARGO_BIN_EXE_savoryport"), "table apply"),
        (env!("CARGO_BIN_EXE_savoryport-entry"), "--settings"),
        (env!("CARGO_BIN_EXE_savoryport-control"), "--settings"),
    ] {
        let help = Command::new(program).arg("--help").output().unwrap();
        assert!(help.status.success() && text(&help.stdout).contains(word));
        let version = Command::new(program).arg("--version").output().unwrap();
        assert!(text(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
    }
}

#[test]
fn exit_statuses_tell_what_happened() {
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let good = path("good.csv", TABLE);
    let bad = path("bad.csv", &TABLE.replace("30000,2", "-1,2"));
    let settings = path("settings.json", r#"{"vm": ""}"#);
    let nobody = "127.0.0.1:1";
    let cases: [(&[&str], i32, &str); 7] = [
        (&["table", "check", &good], 0, ""),
        (&["table", "check", &bad], 1, "line 2, column memory_mib"),
        (&["table", "check", "/no/such/file.csv"], 1, "/no/such/file.csv"),
        (&["settings", "check", &settings], 1, "vm: must not be empty"),
        (&["tabel"], 2, "not a command: tabel"),
        (&["--colour"], 2, "--colour"),
        (&["--key-value", nobody, "table", "get"], 3, nobody),
    ];
    for (args, status, words) in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(status), "{args:?}: {}", text(&output.stderr));
        assert!(text(&output.stderr).contains(words), "{args:?}: {}", text(&output.stderr));
    }
}

#[test]
fn a_daemon_with_bad_settings_names_them_and_does_not_start() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.json");
    std::fs::write(&path, r#"{"entry_listen": "x", "max_limit": 0}"#).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_savoryport-entry"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let errors = text(&output.stderr);
    assert!(errors.contains("entry_listen") && errors.contains("max_limit"), "{errors}");
}

#[test]
fn status_and_explain_show_the_fleet() {
    let site = Site::start();
    let vm_list = site.vm_list.address().to_owned();
    let platform = ["--key-value", site.fleet.kv.address(), "--vm-list", &vm_list];
    let ask = |words: &[&str]| {
        let output = run(&[&platform, words].concat());
        assert!(output.status.success(), "{}", text(&output.stderr));
        text(&output.stdout)
    };
    let shows_counts = || {
        let status = ask(&["status"]);
        status.contains("urgent: ") && !status.contains("urgent: 0, 0")
    };
    site::wait_for("counts", std::time::Duration::from_secs(5), shows_counts);
    let status = ask(&["status"]);
    for words in
        ["table: version 1, 6 rows", "engine-1: ", "table in force in a: version 1", "lease/a"]
    {
        assert!(status.contains(words), "{words:?} is missing:\n{status}");
    }
    assert!(!status.contains("NOT REACHABLE"), "{status}");
    let explained = ask(&["explain", "shop"]);
    assert!(
        explained.contains("Adapter of rank urgent") && explained.contains(": loaded"),
        "{explained}"
    );
    let unknown = run(&[&platform[..], &["explain", "none"]].concat());
    assert_eq!(unknown.status.code(), Some(1));
}

#[test]
fn the_operators_page_works_as_written() {
    let site = Site::start();
    let settings = site.nodes[0].settings_file.to_str().unwrap().to_owned();
    let file = site.temp_dir().join("edited.csv");
    let path = file.to_str().unwrap();
    let ask = |words: &[&str]| {
        let output = run(&[&["--settings", &settings], words].concat());
        assert!(output.status.success(), "{words:?}: {}", text(&output.stderr));
        text(&output.stdout)
    };
    assert!(ask(&["settings", "check", &settings]).contains("settings are good"));
    assert!(ask(&["table", "get", path]).contains("6 rows of version 1"));
    let edited = std::fs::read_to_string(&file).unwrap().replace("20000,1,batch", "21000,1,batch");
    std::fs::write(&file, edited).unwrap();
    assert!(ask(&["table", "check", path]).contains("6 rows are good"));
    assert!(ask(&["table", "diff", path]).starts_with("~ model,review,,21000"));
    assert_eq!(ask(&["table", "apply", path]).trim(), "accepted as version 2");
    assert_eq!(ask(&["table", "diff", path]).trim(), "no row differs");
    assert!(ask(&["explain", "review"]).contains("21000 MiB"));
    assert!(ask(&["drain", "engine-1"]).contains("gets no new work"));
    let elsewhere = || {
        let explained = ask(&["explain", "quick"]);
        explained.lines().any(|line| line.contains(": loaded") && !line.contains("engine-1:"))
    };
    site::wait_for("a copy elsewhere", std::time::Duration::from_secs(10), elsewhere);
    assert!(ask(&["drain", "engine-1", "--undo"]).contains("drain taken back"));
}
