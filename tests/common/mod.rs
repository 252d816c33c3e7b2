//! Running the command.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the command with `input` on its standard input.
pub(crate) fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinestall"))
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("standard input");
    // A command that reads no input may have ended.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the command ends")
}

/// Returns what the command wrote to standard output.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns what the command wrote to standard error.
pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
