//! The command line without a running daemon: output and exit codes.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::thread;

use common::{run, stderr, stdout};
use expect_test::{Expect, expect};
use serde_json::Value;

/// Asserts that `check` refuses `config` with exit code 3 and the `expected` error output.
fn assert_refused(config: &str, expected: Expect) {
    let output = run(&["check", "-"], config);
    assert_eq!(output.status.code(), Some(3));
    assert_eq!(stdout(&output), "");
    expected.assert_eq(&stderr(&output));
}

#[test]
fn check_prints_every_syntax_problem_with_its_location() {
    assert_refused(
        r#"{
            "format": 2,
            "teams": ["t"],
            "services": [{"name": "S!", "team": "t", "slots": -1}],
            "pools": [{"name": "p", "team": "t", "service": "s", "colour": "red"}],
            "routes": [{"name": "r", "team": "t", "hosts": ["*"], "path": {"prefix": "/"},
                        "to": [{"pool": "p", "weight": -1}],
                        "rules": {"timeout": "5", "retries": "x"}}]
        }"#,
        expect![[r#"
            sardinestall: the configuration has problems; mend each:
            format: format 2 is not known; write format 1
            services[0].name: `S!` is not a valid service name: use 1 to 63 of a-z, 0-9, `-`, `_` and `.`; see docs/CONFIG.md for the format
            services[0].slots: invalid value: integer `-1`, expected u32; see docs/CONFIG.md for the format
            pools[0].colour: unknown field `colour`, expected one of `name`, `team`, `service`, `domains`; see docs/CONFIG.md for the format
            routes[0].rules.retries: invalid type: string "x", expected u32; see docs/CONFIG.md for the format
            routes[0].rules.timeout: `5` is not a valid time: write a whole number with a unit, such as `250ms`, `2s`, `5m` or `1h`; see docs/CONFIG.md for the format
            routes[0].to[0].weight: invalid value: integer `-1`, expected u32; see docs/CONFIG.md for the format
        "#]],
    );
    assert_refused(
        "{\"format\": 1, \"teams\": [\"t\"]",
        expect![[r#"
        sardinestall: the configuration has problems; mend each:
        file: EOF while parsing an object at line 1 column 28; see docs/CONFIG.md for the format
    "#]],
    );
    assert_refused(
        "{\"format\": 1, \"teams\": [\"t\"], \"pool\": []}",
        expect![[r#"
            sardinestall: the configuration has problems; mend each:
            pool: unknown field `pool`, expected one of `format`, `parent`, `teams`, `services`, `pools`, `routes` at line 1 column 36; see docs/CONFIG.md for the format
        "#]],
    );
}

#[test]
fn check_prints_every_semantic_problem_with_its_location() {
    assert_refused(
        r#"{
            "format": 1,
            "teams": ["t"],
            "services": [{"name": "s", "team": "t", "slots": 0},
                         {"name": "s.x", "team": "u"}],
            "pools": [{"name": "p", "team": "t", "service": "s"},
                      {"name": "p.to", "team": "t", "service": "gone"},
                      {"name": "p", "team": "t", "service": "s"}],
            "routes": [{"name": "r", "team": "t", "hosts": [], "path": {"prefix": "proofs"},
                        "to": [{"pool": "p", "weight": 0}, {"pool": "q", "weight": 0}],
                        "rules": {"timeout": "2h", "retries": 11}}]
        }"#,
        expect![[r#"
            sardinestall: the configuration has problems; mend each:
            services[1].team: team `u` is not among the configuration's teams; add it to `teams` or correct the item's team
            pools[2]: the name is used twice; rename one of the two
            pools[1].service: service `gone` does not exist; add the service or name an existing one
            routes[0].hosts: a route with no host takes no call; write `*` for every host
            routes[0].path: `proofs` is not a path; begin with `/`, without `{`, `}`, `?` and `#`
            routes[0].rules.retries: 11 retries are too many; write at most 10
            routes[0].rules.timeout: 2h is out of range; write between 1ms and 1h
            routes[0].to: all weights are 0; give one target a weight of at least 1
            routes[0].to[1].pool: pool `q` does not exist; add the pool or name an existing one
            services[0].slots: an upstream with no slot runs no call; write at least 1
        "#]],
    );
}

#[test]
fn check_prints_problems_as_json() {
    let config = r#"{"format": 1, "teams": ["t"],
        "pools": [{"name": "p", "team": "t", "service": "s"}]}"#;
    let output = run(&["check", "-", "--json"], config);
    assert_eq!(output.status.code(), Some(3));
    let report: Value = serde_json::from_str(&stderr(&output)).expect("JSON");
    assert_eq!(report["kind"], "invalid");
    assert_eq!(report["problems"][0]["place"], "pools[0].service");
}

#[test]
fn check_of_a_valid_configuration_exits_with_0() {
    let config = plan::brno().expect("valid").to_json().expect("JSON");
    let output = run(&["check", "-"], &config);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stdout(&output), "no problems\n");
}

#[test]
fn failures_have_their_exit_codes() {
    let missing = run(&["check", "no-such.json"], "");
    assert_eq!(missing.status.code(), Some(1));
    let usage = run(&["check"], "");
    assert_eq!(usage.status.code(), Some(2));
    // Port 1 of this host has no listener.
    let unreachable = run(&["status", "--admin", "http://127.0.0.1:1"], "");
    assert_eq!(unreachable.status.code(), Some(5));
    let json = run(&["log", "--admin", "127.0.0.1:1", "--json"], "");
    let report: Value = serde_json::from_str(&stderr(&json)).expect("JSON");
    assert_eq!(report["kind"], "unreachable");
}

/// Spawns a server that writes `response` verbatim to one connection, and returns its address.
fn respond_once(response: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        stream.write_all(response.as_bytes()).expect("responded");
    });
    address
}

#[test]
fn lost_response_to_an_accept_exits_with_4_and_prints_the_accept_id() {
    let args = ["accept", "-", "--accept-id", "lost-1", "--admin"];
    let admin = respond_once("");
    let lost = run(&[&args[..], &[&admin]].concat(), "{}");
    assert_eq!(lost.status.code(), Some(4), "{}", stderr(&lost));
    assert!(stderr(&lost).contains("repeat the command with --accept-id lost-1"));

    let admin = respond_once(
        "HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 59\r\n\r\n\
         {\"kind\": \"unknown\", \"message\": \"unknown\", \"remedy\": \"wait\"}",
    );
    let unknown = run(&[&args[..], &[&admin]].concat(), "{}");
    assert_eq!(unknown.status.code(), Some(4), "{}", stderr(&unknown));

    // A lost response to a read-only call is reported as unreachable.
    let admin = respond_once("");
    let lost = run(&["log", "--admin", &admin], "");
    assert_eq!(lost.status.code(), Some(5), "{}", stderr(&lost));
}

#[test]
fn help_lists_every_exit_code() {
    let help = stdout(&run(&["--help"], ""));
    for code in [
        "0 done",
        "1 failed",
        "2 wrong usage",
        "3 refused",
        "4 unknown",
        "5 the",
        "6 acc",
    ] {
        assert!(help.contains(code), "{help}");
    }
}

#[test]
fn settings_command_prints_the_commented_settings() {
    let output = run(&["settings"], "");
    assert_eq!(stdout(&output), daemon::Settings::COMMENTED);
}

#[test]
fn daemon_refuses_an_address_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = taken.local_addr().expect("an address");
    let dir = tempfile::TempDir::new().expect("a directory");
    let path = dir.path().join("daemon.toml");
    let settings = format!(
        "[vm]\nid = \"a-1\"\nfailure_domain = \"a\"\nregion = \"r\"\n\
         [listen]\ncaller = \"{address}\"\n[fleet]\nkey = \"k\"\n\
         [store]\naddress = \"127.0.0.1:1\"\n"
    );
    fs::write(&path, settings).expect("written");
    let path = path.display().to_string();
    let output = run(&["daemon", "--settings", &path], "");
    assert_eq!(output.status.code(), Some(1));
    let expected = format!(
        "sardinestall: settings `{path}`: `listen.caller`: cannot listen on {address} \
         (Address already in use (os error 98)); free the address or choose another\n"
    );
    assert_eq!(stderr(&output), expected);
}

#[test]
fn token_prints_a_hash_and_never_the_token() {
    let output = run(&["token"], "s3cret\n");
    let hash = stdout(&output);
    assert_eq!(hash.trim(), admin::TokenHash::of("s3cret").to_string());
    assert!(!hash.contains("s3cret"));
    let empty = run(&["token"], "\n");
    assert_eq!(empty.status.code(), Some(1));
}

#[test]
fn completions_cover_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completions", shell], "");
        assert!(stdout(&output).contains("rollback"), "{shell}");
    }
}

/// `UPDATE_GENERATED=1 cargo test --test cli` regenerates the pages.
#[test]
fn committed_manual_pages_match_the_commands() {
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("man");
    let made = tempfile::TempDir::new().expect("a directory");
    let dir = made.path().display().to_string();
    let output = run(&["man", "--dir", &dir], "");
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let names = |dir: &Path| -> Vec<String> {
        let entries = fs::read_dir(dir).expect("a directory");
        let mut names: Vec<String> = entries
            .map(|entry| {
                entry
                    .expect("an entry")
                    .file_name()
                    .to_string_lossy()
                    .into_owned()
            })
            .collect();
        names.sort();
        names
    };
    if std::env::var_os("UPDATE_GENERATED").is_some() {
        fs::create_dir_all(&committed).expect("created");
        for name in names(made.path()) {
            fs::copy(made.path().join(&name), committed.join(&name)).expect("copied");
        }
    }
    assert_eq!(names(&committed), names(made.path()));
    for name in names(&committed) {
        let old = fs::read_to_string(committed.join(&name)).expect("read");
        let new = fs::read_to_string(made.path().join(&name)).expect("read");
        assert!(
            old == new,
            "{name}: run UPDATE_GENERATED=1 cargo test --test cli"
        );
    }
}

#[test]
fn manual_page_of_one_command_is_printed() {
    let page = stdout(&run(&["man", "accept"], ""));
    assert!(
        page.contains("sardinestall\\-accept") && page.contains("wait"),
        "{page}"
    );
    assert_eq!(run(&["man", "no-such"], "").status.code(), Some(1));
}
