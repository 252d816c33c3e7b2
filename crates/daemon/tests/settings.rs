//! Reading settings: the accepted forms, and the error text for each invalid one.

use std::fs;
use std::path::Path;

use daemon::{Settings, SettingsError};
use expect_test::{Expect, expect};
use tempfile::TempDir;

/// Fleet key, which no error may contain.
const KEY: &str = "s3cret-fleet-key";

/// Prefixes of the commented keys that show an example, as they have no default.
const EXAMPLES: &[&str] = &[
    "advertise_gate",
    "advertise_fleet",
    "ready = ",
    "service",
    "link",
    "name",
    "teams",
    "token_hash",
];

/// Valid settings.
const VALID: &str = r#"
[vm]
id = "a-1"
failure_domain = "morava-a"
region = "cz-morava"
[fleet]
key = "s3cret-fleet-key"
[store]
address = "127.0.0.1:7300"
"#;

/// Reads settings from a file with `text`.
fn read(dir: &Path, text: &str) -> Result<Settings, SettingsError> {
    let path = dir.join("daemon.toml");
    fs::write(&path, text).expect("written");
    Settings::read(&path)
}

/// Compares the refusal of `text`, without the directory's path, with `expected`.
fn refused(text: &str, expected: Expect) {
    let dir = TempDir::new().expect("a directory");
    let error = read(dir.path(), text).expect_err("refused").to_string();
    assert!(!error.contains(KEY), "{error}");
    let prefix = format!("{}/", dir.path().display());
    expected.assert_eq(&error.replace(&prefix, ""));
}

/// Returns the valid settings with `more` added to section `fleet`.
fn fleet(more: &str) -> String {
    VALID.replace("[store]", &format!("{more}\n[store]"))
}

#[test]
fn valid_settings_are_read() {
    let dir = TempDir::new().expect("a directory");
    let settings = read(dir.path(), VALID).expect("valid");
    assert_eq!(settings.fleet.key.expose(), KEY);
    assert!(!format!("{settings:?}").contains(KEY));
}

#[test]
fn printed_settings_parse_and_show_the_defaults() {
    let dir = TempDir::new().expect("a directory");
    fs::write(dir.path().join("fleet.key"), format!("{KEY}\n")).expect("written");
    let printed = read(dir.path(), Settings::COMMENTED).expect("valid");
    // A commented `key = value` states a default, which must equal the default in use.
    let uncommented: String = Settings::COMMENTED
        .lines()
        .map(|line| match line.strip_prefix("# ") {
            Some(rest) if rest.split_once(" = ").is_some_and(|(key, _)| is_key(key)) => rest,
            _ => line,
        })
        .filter(|line| !EXAMPLES.iter().any(|key| line.starts_with(key)))
        .map(|line| format!("{line}\n"))
        .collect();
    let explicit = read(dir.path(), &uncommented).expect("valid");
    assert_ne!(uncommented, Settings::COMMENTED);
    assert_eq!(format!("{printed:?}"), format!("{explicit:?}"));
}

fn is_key(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
}

#[test]
fn every_operator_key_is_printed() {
    let dir = TempDir::new().expect("a directory");
    let start = Settings::COMMENTED.find("# [[operators]]").expect("listed");
    let section = Settings::COMMENTED[start..].replace("# ", "");
    let section = section
        .replace("Name for", "# Name for")
        .replace("Teams whose", "# Teams");
    let section = section.replace("Hash of", "# Hash of");
    let settings = read(dir.path(), &format!("{VALID}{section}")).expect("valid");
    assert_eq!(settings.operators.len(), 1);
}

#[test]
fn key_file_is_read_relative_to_the_settings() {
    let dir = TempDir::new().expect("a directory");
    fs::write(dir.path().join("secret"), format!("{KEY}\n")).expect("written");
    let text = VALID.replace(&format!("key = \"{KEY}\""), "key_file = \"secret\"");
    let settings = read(dir.path(), &text).expect("valid");
    assert_eq!(settings.fleet.key.expose(), KEY);
}

#[test]
fn missing_file_is_named_in_the_error() {
    let error = Settings::read(Path::new("no-such.toml")).expect_err("refused");
    expect![[r#"settings `no-such.toml` cannot be read (No such file or directory (os error 2)); give an existing file with --settings"#]]
        .assert_eq(&error.to_string());
}

#[test]
fn malformed_settings_are_refused() {
    refused(
        &fleet("colour = 1"),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `fleet.colour`: unknown field `colour`, expected one of `key`, `key_file`, `seeds`, `fanout`, `relays`, `lease`, `beacon`, `silence`, `grace`, `compare`, `retry_percent`, `retry_slack` (line 8); `sardinestall settings` prints every key"#]],
    );
    refused(
        &fleet("lease = \"6 seconds\""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.lease`: `6 seconds` is not a valid time: write a whole number with a unit, such as `250ms`, `2s`, `5m` or `1h` (line 8); `sardinestall settings` prints every key"#]],
    );
    refused(
        &fleet("beacon = 5"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.beacon`: invalid type: integer `5`, expected a string (line 8); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("failure_domain = \"morava-a\"\n", ""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `vm`: missing field `failure_domain` (line 2); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("morava-a", "Morava A"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `vm.failure_domain`: `Morava A` is not a valid failure domain: use 1 to 63 of a-z, 0-9, `-`, `_` and `.` (line 4); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("127.0.0.1:7300", "store.example"),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `store.address`: invalid socket address syntax (line 9); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("[store]", "[store"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `file`: unclosed table, expected `]` (line 8); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("key = \"", "key = \"\\q"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `file`: missing escaped value, expected `b`, `e`, `f`, `n`, `r`, `\`, `"`, `x`, `u`, `U` (line 7); `sardinestall settings` prints every key"#]],
    );
    refused(
        &VALID.replace("\"s3cret-fleet-key\"", "[\"s3cret-fleet-key\"]"),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `fleet.key`: the value must be a string; write it in quotes (line 7); `sardinestall settings` prints every key"#]],
    );
}

#[test]
fn invalid_fleet_keys_are_refused() {
    refused(
        &VALID.replace(KEY, ""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.key`: the fleet's key is missing or empty; write it here, or name a file with `fleet.key_file`"#]],
    );
    refused(
        &VALID.replace(&format!("key = \"{KEY}\""), ""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `fleet.key`: the fleet's key is missing or empty; write it here, or name a file with `fleet.key_file`"#]],
    );
    refused(
        &VALID.replace(KEY, "a b"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.key`: the fleet's key has a character that a header cannot carry; use ASCII letters, digits and signs without spaces"#]],
    );
    refused(
        &fleet("key_file = \"secret\""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.key_file`: `fleet.key` is set too; remove one of the two"#]],
    );
    let absent = VALID.replace(&format!("key = \"{KEY}\""), "key_file = \"secret\"");
    refused(
        &absent,
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.key_file`: `secret` cannot be read (No such file or directory (os error 2)); name a file that holds the fleet's key"#]],
    );
}

#[test]
fn invalid_times_and_sizes_are_refused() {
    refused(
        &fleet("fanout = 0"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.fanout`: 0 allows no daemon to follow this one; write at least 1"#]],
    );
    refused(
        &fleet("relays = 0\nbeacon = \"0ms\""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.relays`: 0 relays leave no daemon that follows the store; write at least 1
        `fleet.beacon`: the time must not be 0ms; write at least 1ms"#]],
    );
    refused(
        &fleet("silence = \"1s\""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.silence`: 1s closes every link, since beacons are sent every 1s; write more than `fleet.beacon`"#]],
    );
    refused(
        &fleet("lease = \"3s\""),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `fleet.lease`: a lease of 3s is lost on one late renewal; write more than 3s, which is 3 times `fleet.beacon`"#]],
    );
    refused(
        &format!("{VALID}[upstream]\nsilence = \"0ms\""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `upstream.silence`: 0ms would expire every announcement at once; write more than the time between announcements"#]],
    );
}

#[test]
fn every_problem_is_reported() {
    refused(
        &fleet("fanout = 0\nsilence = \"10ms\"\nlease = \"1s\""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `fleet.fanout`: 0 allows no daemon to follow this one; write at least 1
            `fleet.silence`: 10ms closes every link, since beacons are sent every 1s; write more than `fleet.beacon`
            `fleet.lease`: a lease of 1s is lost on one late renewal; write more than 3s, which is 3 times `fleet.beacon`"#]],
    );
}

#[test]
fn invalid_addresses_are_refused() {
    refused(
        &format!("{VALID}[listen]\nadmin = \"127.0.0.1:7400\""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `listen.admin`: 127.0.0.1:7400 is also the address of `listen.caller`; choose another port"#]],
    );
    refused(
        &format!("{VALID}[listen]\ngate = \"0.0.0.0:7401\""),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `listen.gate`: other daemons cannot connect to 0.0.0.0:7401; write the VM's own IP address, or give it as `listen.advertise_gate`"#]],
    );
    let dir = TempDir::new().expect("a directory");
    let listen = "[listen]\ngate = \"0.0.0.0:7401\"\nadvertise_gate = \"192.0.2.7:7401\"";
    read(dir.path(), &format!("{VALID}{listen}")).expect("valid");
}

#[test]
fn invalid_operators_are_refused() {
    let hash = admin::TokenHash::of("token");
    let operator = |name: &str, teams: &str, hash: &admin::TokenHash| {
        format!("[[operators]]\nname = \"{name}\"\nteams = [{teams}]\ntoken_hash = \"{hash}\"\n")
    };
    let twice = operator("ann", "\"t\"", &hash) + &operator("ann", "\"t\"", &hash);
    refused(
        &format!("{VALID}{twice}"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `operators[1].name`: operator `ann` is listed twice; merge the two
        `operators[1].token_hash`: another operator has this token, so the audit trail cannot tell them apart; give each a token of its own"#]],
    );
    refused(
        &format!("{VALID}{}", operator("ann", "", &hash)),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `operators[0].teams`: an operator without a team may change nothing; name at least one team"#]],
    );
    let empty = admin::TokenHash::of("");
    refused(
        &format!("{VALID}{}", operator("ann", "\"t\"", &empty)),
        expect![[r#"
            settings `daemon.toml` are invalid; fix each problem:
            `operators[0].token_hash`: this is the hash of an empty token; choose a token and run `sardinestall token`"#]],
    );
    let broken = operator("ann", "\"t\"", &hash).replace("token_hash = \"", "token_hash = \"x");
    refused(
        &format!("{VALID}{broken}"),
        expect![[r#"
        settings `daemon.toml` are invalid; fix each problem:
        `operators[0].token_hash`: not a token hash: write what `sardinestall token` prints (line 13); `sardinestall settings` prints every key"#]],
    );
}
