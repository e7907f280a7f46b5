//! Tests of the daemons' settings: defaults, reports of invalid fields and unknown keys, and the
//! example files.

use assert_matches::assert_matches;
use savoryport::settings::{Settings, SettingsError};

#[test]
fn an_empty_object_gives_the_defaults() {
    let checked = Settings::parse("{}").unwrap();
    assert_eq!(checked.settings, Settings::default());
    assert!(checked.unknown_keys.is_empty());
}

#[test]
fn all_invalid_fields_are_reported_at_once_with_their_values() {
    let text = r#"{
        "vm": "", "entry_listen": "somewhere", "max_body_bytes": -1, "read_timeout_ms": 0,
        "shares_percent": [60, 30, 20], "lease_ttl_ms": 1500, "log_level": "loud", "peers": ["x"]
    }"#;
    let Err(SettingsError::InvalidFields(errors)) = Settings::parse(text) else {
        panic!("expected invalid fields")
    };
    let mut fields: Vec<&str> = errors.iter().map(|err| err.field.as_str()).collect();
    fields.sort_unstable();
    let expected = [
        "entry_listen",
        "lease_ttl_ms",
        "log_level",
        "max_body_bytes",
        "peers",
        "read_timeout_ms",
        "shares_percent",
        "vm",
    ];
    assert_eq!(fields, expected);
    let listen = errors.iter().find(|err| err.field == "entry_listen").unwrap();
    assert_eq!(listen.value, "\"somewhere\"");
}

#[test]
fn unknown_keys_are_reported_and_ignored() {
    let checked = Settings::parse(r#"{"vm": "vm-9", "colour": "green"}"#).unwrap();
    assert_eq!((&*checked.settings.vm, checked.unknown_keys), ("vm-9", vec!["colour".to_owned()]));
}

#[test]
fn text_that_is_not_a_json_object_is_rejected() {
    for text in ["", "[]", "{", "null", "{\"vm\": 1", "\u{0}"] {
        assert_matches!(Settings::parse(text), Err(SettingsError::NotJson(_)), "{text:?}");
    }
}

#[test]
fn the_example_settings_and_tables_are_valid() {
    for example in ["vilnas-kods", "kivela"] {
        let folder =
            std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(example);
        let checked = Settings::read(&folder.join("settings.json")).unwrap();
        assert!(checked.unknown_keys.is_empty());
        let table = std::fs::read(folder.join("table.csv")).unwrap();
        let rows = savoryport_core::table::parse_csv(&table).unwrap();
        let vms = std::fs::read_to_string(folder.join("vms.json")).unwrap();
        let list: savoryport_core::fleet::VmList = serde_json::from_str(&vms).unwrap();
        let capacities: Vec<u32> = list.engines().map(|vm| vm.memory_mib).collect();
        assert_eq!(savoryport_core::table::check_memory_fit(&rows, &capacities), Ok(()));
    }
}

proptest::proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in ".{0,200}") {
        let _ = Settings::parse(&text);
    }

    /// Objects with known fields and arbitrary values get past the JSON parser to the checks of
    /// types and values.
    #[test]
    fn any_values_are_read_or_refused(
        number: i64, text in ".{0,10}", field in 0..8_usize
    ) {
        let fields = ["vm", "peers", "callers", "shares_percent", "max_limit", "lease_ttl_ms",
            "entry_listen", "move_budget"];
        for value in [serde_json::json!(number), serde_json::json!(text), serde_json::json!([number, text])] {
            let settings = serde_json::json!({ fields[field]: value });
            let _ = Settings::parse(&settings.to_string());
        }
    }
}
