//! Runs the program and reads its output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the program with `args` in an empty environment, with `input` on its standard input.
pub(crate) fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinestall"))
        .args(args)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input");
    // A program that reads no input may have exited, which closes the pipe.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the program exits")
}

/// Returns the standard output of the program.
pub(crate) fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Returns the standard error of the program.
pub(crate) fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}
