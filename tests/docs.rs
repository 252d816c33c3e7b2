//! The operators' pages document every command, setting and configuration field.

mod common;

use std::fs;
use std::path::Path;

use common::{run, stderr, stdout};
use serde_json::Value;

fn page(path: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    fs::read_to_string(path).expect("read")
}

#[test]
fn every_command_is_documented() {
    let operating = page("docs/OPERATIONS.md");
    let help = run(&["--help"], "");
    assert!(help.status.success(), "{}", stderr(&help));
    let help = stdout(&help);
    let (_, commands) = help.split_once("Commands:\n").expect("a list");
    let (commands, _) = commands.split_once("\n\n").expect("its end");
    let names = commands
        .lines()
        .filter_map(|line| line.strip_prefix("  "))
        .filter_map(|line| line.split(' ').next())
        .filter(|name| !name.is_empty() && *name != "help");
    for name in names {
        let described = [format!("| `{name} "), format!("| `{name}`")];
        assert!(
            described.iter().any(|text| operating.contains(text)),
            "{name}"
        );
    }
}

#[test]
fn every_setting_is_documented_with_its_default() {
    let operating = page("docs/OPERATIONS.md");
    let mut section = String::new();
    let mut settings = 0;
    for line in daemon::Settings::COMMENTED.lines() {
        let line = line.strip_prefix("# ").unwrap_or(line);
        if line.starts_with('[') {
            section = line.trim_matches(['[', ']']).into();
        }
        let Some((key, value)) = line.split_once(" = ") else {
            continue;
        };
        if !key
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
        {
            continue;
        }
        settings += 1;
        let row = format!("| `{section}.{key}` | ");
        assert!(operating.contains(&row), "{row}");
        let required = ["vm", "store", "operators"].contains(&section.as_str());
        let optional = ["key_file", "ready"].contains(&key) || key.starts_with("advertise_");
        if !required && !optional {
            let row = format!("{row}`{}` |", value.trim_matches('"'));
            assert!(operating.contains(&row), "{row}");
        }
    }
    assert!(settings > 20, "{settings}");
}

#[test]
fn every_configuration_field_is_documented() {
    let config = page("docs/CONFIG.md");
    let schema: Value = serde_json::from_str(&page("schema/config.schema.json")).expect("JSON");
    let types = [
        ("", ""),
        ("Service", ""),
        ("Pool", ""),
        ("Route", ""),
        ("Rules", "rules."),
    ];
    for (name, prefix) in types {
        let schema = if name.is_empty() {
            &schema
        } else {
            &schema["$defs"][name]
        };
        let fields = schema["properties"].as_object().expect("fields");
        for field in fields.keys().filter(|field| *field != "rules") {
            let row = format!("| `{prefix}{field}` |");
            assert!(config.contains(&row), "{row}");
        }
    }
}
