//! Tests of the command-line tool: its output, the files that it reads and writes, and its exit
//! statuses.

mod site;

use std::io::Write as _;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use serde_json::json;
use site::{Site, TABLE};

fn run_cli(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_savoryport")).args(args).output().unwrap()
}

fn to_text(buf: &[u8]) -> String {
    String::from_utf8_lossy(buf).into_owned()
}

#[test]
fn help_and_version_need_no_service() {
    for (program, expected_help) in [
        (env!("CARGO_BIN_EXE_savoryport"), "table apply"),
        (env!("CARGO_BIN_EXE_savoryport-entry"), "--settings"),
        (env!("CARGO_BIN_EXE_savoryport-control"), "--settings"),
    ] {
        let help = Command::new(program).arg("--help").output().unwrap();
        assert!(help.status.success() && to_text(&help.stdout).contains(expected_help));
        let version = Command::new(program).arg("--version").output().unwrap();
        assert!(to_text(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
    }
}

#[test]
fn exit_statuses_distinguish_the_errors() {
    let temp_dir = tempfile::tempdir().unwrap();
    let write_file = |name: &str, content: &str| {
        let path = temp_dir.path().join(name);
        std::fs::write(&path, content).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let valid = write_file("good.csv", TABLE);
    let invalid = write_file("bad.csv", &TABLE.replace("30000,2", "-1,2"));
    let settings = write_file("settings.json", r#"{"vm": ""}"#);
    // Nothing listens on this port.
    let unused_address = "127.0.0.1:1";
    let cases: [(&[&str], i32, &str); 7] = [
        (&["table", "check", &valid], 0, ""),
        (&["table", "check", &invalid], 1, "line 2, column memory_mib"),
        (&["table", "check", "/no/such/file.csv"], 1, "/no/such/file.csv"),
        (&["settings", "check", &settings], 1, "vm: must not be empty"),
        (&["tabel"], 2, "not a command: tabel"),
        (&["--colour"], 2, "--colour"),
        (&["--key-value", unused_address, "table", "get"], 3, unused_address),
    ];
    for (args, status, expected_error) in cases {
        let output = run_cli(args);
        assert_eq!(output.status.code(), Some(status), "{args:?}: {}", to_text(&output.stderr));
        assert!(
            to_text(&output.stderr).contains(expected_error),
            "{args:?}: {}",
            to_text(&output.stderr)
        );
    }
}

#[test]
fn a_daemon_with_invalid_settings_reports_each_and_does_not_start() {
    let temp_dir = tempfile::tempdir().unwrap();
    let path = temp_dir.path().join("settings.json");
    std::fs::write(&path, r#"{"entry_listen": "x", "max_limit": 0}"#).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_savoryport-entry"))
        .arg("--settings")
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let errors = to_text(&output.stderr);
    assert!(errors.contains("entry_listen") && errors.contains("max_limit"), "{errors}");
}

#[test]
fn status_and_explain_show_the_fleet() {
    let site = Site::start();
    let vm_list = site.vm_list.address().to_owned();
    let platform_options = ["--key-value", site.fleet.kv.address(), "--vm-list", &vm_list];
    let run_successfully = |args: &[&str]| {
        let output = run_cli(&[&platform_options, args].concat());
        assert!(output.status.success(), "{}", to_text(&output.stderr));
        to_text(&output.stdout)
    };
    let shows_urgent_counts = || {
        let status = run_successfully(&["status"]);
        status.contains("urgent: ") && !status.contains("urgent: 0, 0")
    };
    site::wait_for("counts", std::time::Duration::from_secs(5), shows_urgent_counts);
    let status = run_successfully(&["status"]);
    for expected in
        ["table: version 1, 6 rows", "engine-1: ", "table in force in a: version 1", "lease/a"]
    {
        assert!(status.contains(expected), "{expected:?} is missing:\n{status}");
    }
    assert!(!status.contains("NOT REACHABLE"), "{status}");
    let explained = run_successfully(&["explain", "shop"]);
    assert!(
        explained.contains("Adapter of rank urgent") && explained.contains(": loaded"),
        "{explained}"
    );
    let unknown = run_cli(&[&platform_options[..], &["explain", "none"]].concat());
    assert_eq!(unknown.status.code(), Some(1));
}

#[test]
fn the_documented_procedures_for_operators_work() {
    let site = Site::start();
    let settings = site.nodes[0].settings_file.to_str().unwrap().to_owned();
    let file = site.temp_dir().join("edited.csv");
    let path = file.to_str().unwrap();
    let run_successfully = |args: &[&str]| {
        let output = run_cli(&[&["--settings", &settings], args].concat());
        assert!(output.status.success(), "{args:?}: {}", to_text(&output.stderr));
        to_text(&output.stdout)
    };
    assert!(run_successfully(&["settings", "check", &settings]).contains("settings are good"));
    assert!(run_successfully(&["table", "get", path]).contains("6 rows of version 1"));
    let edited = std::fs::read_to_string(&file).unwrap().replace("20000,1,batch", "21000,1,batch");
    std::fs::write(&file, edited).unwrap();
    assert!(run_successfully(&["table", "check", path]).contains("6 rows are good"));
    assert!(run_successfully(&["table", "diff", path]).starts_with("~ model,review,,21000"));
    assert_eq!(run_successfully(&["table", "apply", path]).trim(), "accepted as version 2");
    assert_eq!(run_successfully(&["table", "diff", path]).trim(), "no row differs");
    assert!(run_successfully(&["explain", "review"]).contains("21000 MiB"));
    assert!(run_successfully(&["drain", "engine-1"]).contains("gets no new work"));
    let has_copy_on_another_server = || {
        let explained = run_successfully(&["explain", "quick"]);
        explained.lines().any(|line| line.contains(": loaded") && !line.contains("engine-1:"))
    };
    site::wait_for(
        "a copy on another server",
        std::time::Duration::from_secs(10),
        has_copy_on_another_server,
    );
    assert!(run_successfully(&["drain", "engine-1", "--undo"]).contains("drain taken back"));
}

/// Returns a new key and its digest.
fn new_key() -> (String, String) {
    let made = to_text(&run_cli(&["key", "new"]).stdout);
    let value = |name: &str| {
        let line = made.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or_else(|| panic!("{made}")).to_owned()
    };
    (value("key: "), value("digest: "))
}

fn digest_of(key: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_savoryport"));
    command.args(["key", "digest"]).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(key.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn keys_are_made_and_digested() {
    let (key, digest) = new_key();
    assert_ne!(key, new_key().0);
    for text in [key.clone(), format!("{key}\n"), format!("{key}\r\n")] {
        assert_eq!(to_text(&digest_of(&text).stdout).trim(), digest);
    }
    for bad in [String::new(), "\n".to_owned(), "s3cret".repeat(100)] {
        let output = digest_of(&bad);
        assert_eq!(output.status.code(), Some(1));
        assert!(!to_text(&output.stderr).contains("s3cret"));
    }
}

/// Guards against a table whose teams the entries do not enforce, and against commands that print a
/// key.
#[test]
fn teams_of_the_table_need_their_keys_and_lose_them() {
    let site = Site::start();
    let settings = site.nodes[0].settings_file.to_str().unwrap().to_owned();
    let file = site.temp_dir().join("teams.csv");
    let path = file.to_str().unwrap();
    let run = |args: &[&str]| run_cli(&[&["--settings", &settings], args].concat());
    let ((old, old_digest), (kept, kept_digest)) = (new_key(), new_key());
    let table = |keys: &str| {
        let mut lines = TABLE.lines();
        let header = lines.next().unwrap();
        let rows: String = lines.map(|line| format!("{line},,,,\n")).collect();
        format!(
            "{header},unit,per_second,burst,key_digests\n{rows}\
             team,ada,,,,batch,,,,,,tokens,29000,29000,{keys}\n"
        )
    };
    let ask = |node: usize, headers: &[(&str, &str)]| {
        let body = json!({ "model": "quick", "prompt": "hi", "max_tokens": 2 });
        let address = site.entry_address(node);
        site::post(address, "/v1/completions", headers, &body).map_or(0, |res| res.status)
    };
    let bearer = |key: &str| format!("Bearer {key}");
    let (old_header, kept_header) = (bearer(&old), bearer(&kept));
    let (old_header, kept_header) =
        ([("authorization", &*old_header)], [("authorization", &*kept_header)]);
    assert_eq!(ask(0, &[]), 200, "no key is needed without teams");
    assert!(run(&["table", "get", path]).status.success());
    // A key in place of its digest, and a key of two teams.
    let twice =
        table(&old_digest).replace("team,ada", "team,bob").lines().last().unwrap().to_owned();
    for bad in [table(&old), format!("{}{twice}\n", table(&old_digest))] {
        std::fs::write(&file, bad).unwrap();
        for command in ["check", "diff", "apply"] {
            let output = run(&["table", command, path]);
            let shown = to_text(&output.stderr) + &to_text(&output.stdout);
            assert_eq!(output.status.code(), Some(1), "{shown}");
            assert!(shown.contains("column key_digests") && !shown.contains(&old), "{shown}");
        }
    }
    std::fs::write(&file, table(&format!("{old_digest} {kept_digest}"))).unwrap();
    assert!(to_text(&run(&["table", "check", path]).stdout).contains("7 rows are good"));
    let differs = to_text(&run(&["table", "diff", path]).stdout);
    assert!(differs.starts_with("+ team,ada,,,,batch"), "{differs}");
    let applied = run(&["table", "apply", path]);
    assert!(applied.status.success(), "{}", to_text(&applied.stderr));
    site::wait_for("every entry asks for keys", Duration::from_secs(10), || {
        (0..3).all(|node| ask(node, &[]) == 401)
    });
    let digest_header = bearer(&old_digest);
    for node in 0..3 {
        assert_eq!(ask(node, &old_header), 200);
        assert_eq!(ask(node, &kept_header), 200);
        assert_eq!(ask(node, &[("authorization", &digest_header)]), 401);
        assert_eq!(ask(node, &[("authorization", "Bearer ")]), 401);
    }
    std::fs::write(&file, table(&kept_digest)).unwrap();
    let differs = to_text(&run(&["table", "diff", path]).stdout);
    assert!(differs.starts_with("~ team,ada"), "{differs}");
    assert!(run(&["table", "apply", path]).status.success());
    site::wait_for("the key stops working", Duration::from_secs(10), || {
        (0..3).all(|node| ask(node, &old_header) == 401 && ask(node, &kept_header) == 200)
    });
    let got = to_text(&run(&["table", "get"]).stdout);
    assert!(got.contains(&kept_digest) && !got.contains(&old) && !got.contains(&kept), "{got}");
}
