//! The command line, as an operator or a script uses it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the command with `input` on its standard input.
fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinestall"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("standard input");
    stdin.write_all(input.as_bytes()).expect("input is taken");
    drop(stdin);
    child.wait_with_output().expect("the command ends")
}

#[test]
fn check_prints_every_problem_and_exits_with_3() {
    let config = r#"{
        "format": 1,
        "teams": ["t"],
        "services": [{"name": "S!", "team": "t"}],
        "pools": [{"name": "p", "team": "t", "service": "s", "colour": "red"}]
    }"#;
    let output = run(&["check", "-"], config);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.contains("services[0].name"), "{text}");
    assert!(text.contains("pools[0]"), "{text}");
}

#[test]
fn check_finds_dangling_references() {
    let config = r#"{
        "format": 1,
        "teams": ["t"],
        "pools": [{"name": "p", "team": "t", "service": "s"}]
    }"#;
    let output = run(&["check", "-"], config);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(
        text.contains("pool/p.service: service `s` does not exist"),
        "{text}"
    );
}
