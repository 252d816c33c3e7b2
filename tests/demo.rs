//! Tests of `sardinestall demo`, run with the commands as README.md has them.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use harness::Caller;
use http::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Time limit of each wait, so that a demo that hangs fails the test.
const WAIT_LIMIT: Duration = Duration::from_secs(120);

/// Path of the program in README.md.
const README_PROGRAM: &str = "target/release/sardinestall";

/// A running demo.
struct Demo {
    child: Child,
    stdout: BufReader<ChildStdout>,
    caller: SocketAddr,
    admin: SocketAddr,
}

impl Demo {
    async fn spawn() -> Self {
        Self::spawn_with(Stdio::null()).await
    }

    /// Starts a demo that logs to `stderr`, and waits until it is ready.
    async fn spawn_with(stderr: Stdio) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sardinestall"))
            .arg("demo")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .expect("the demo starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("standard output"));
        let mut line = String::new();
        let read = timeout(WAIT_LIMIT, stdout.read_line(&mut line)).await;
        read.expect("ready in time").expect("a line");
        let json = line.strip_prefix("ready ").expect("a ready line");
        let ready: Value = serde_json::from_str(json).expect("JSON");
        let address = |key: &str| {
            let url = ready[key].as_str().expect("an address");
            let address = url.strip_prefix("http://").expect("a URL");
            address.parse().expect("an address")
        };
        Self {
            caller: address("caller"),
            admin: address("admin"),
            child,
            stdout,
        }
    }

    /// Sends `signal`; checks that the demo exits with 0 and prints nothing more to standard output.
    async fn stop(mut self, signal: Signal) {
        let id = self.child.id().expect("the demo runs");
        kill(Pid::from_raw(id as i32), signal).expect("the signal is sent");
        let status = timeout(WAIT_LIMIT, self.child.wait()).await;
        let status = status.expect("exits in time").expect("a status");
        assert_eq!(status.code(), Some(0), "{status}");
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).await.expect("read");
        assert_eq!(rest, "");
    }
}

/// Returns the indented lines of README.md that begin with one of `prefixes`.
fn documented_lines(prefixes: &[&str]) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("README.md");
    let readme = std::fs::read_to_string(path).expect("read");
    let lines = readme.lines().filter_map(|line| line.strip_prefix("    "));
    let lines = lines.filter(|line| prefixes.iter().any(|prefix| line.starts_with(prefix)));
    lines.map(str::to_owned).collect()
}

/// A request as a `curl` command line describes it.
#[derive(Debug, PartialEq)]
struct Curl {
    method: Method,
    host: String,
    path: String,
    body: Bytes,
}

impl Curl {
    /// Parses a `curl` command line of README.md.
    fn parse(line: &str) -> Self {
        // Every second part, from the second on, is a quoted argument.
        let parts: Vec<&str> = line.split('\'').collect();
        let quoted: Vec<&str> = parts.iter().skip(1).step_by(2).copied().collect();
        let method = line
            .split_once("-X ")
            .map_or("GET", |(_, rest)| rest.split(' ').next().expect("a method"));
        let (_, path) = line.split_once("$CALLER").expect("the caller's address");
        Self {
            method: method.parse().expect("a method"),
            host: quoted[0].strip_prefix("Host: ").expect("a host").into(),
            path: path.into(),
            body: quoted
                .get(1)
                .map(|text| Bytes::from(text.to_string()))
                .unwrap_or_default(),
        }
    }
}

/// Sends the calls of README.md and checks their responses.
async fn check_calls(demo: &Demo) {
    let caller = Caller::default();
    let lines = documented_lines(&["curl "]);
    assert!(lines.len() >= 6, "{lines:?}");
    for line in lines {
        let curl = Curl::parse(&line);
        let response = caller
            .call(
                demo.caller,
                curl.method.clone(),
                &curl.host,
                &curl.path,
                &[],
                curl.body,
            )
            .await
            .expect(&line);
        assert!(response.status.is_success(), "{line}: {response:?}");
        let body: Value = serde_json::from_slice(&response.body).expect("a JSON body");
        assert_eq!(body["path"], curl.path, "{line}");
        assert_eq!(body["method"], curl.method.as_str(), "{line}");
    }
}

/// Runs a command of README.md in a shell and returns its standard output.
async fn run_documented(demo: &Demo, line: &str, dir: &Path) -> String {
    let copy = dir.join("brno.json");
    let line = line.replace("target/brno.json", &copy.display().to_string());
    let line = line.replace(README_PROGRAM, env!("CARGO_BIN_EXE_sardinestall"));
    let output = Command::new("sh")
        .args(["-ec", &line])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env("SARDINESTALL_ADMIN", format!("http://{}", demo.admin))
        .env("SARDINESTALL_TOKEN", "demo")
        .output();
    let output = timeout(WAIT_LIMIT, output)
        .await
        .expect("exits in time")
        .expect("runs");
    let error = common::stderr(&output);
    assert!(output.status.success(), "{line}: {error}");
    common::stdout(&output)
}

#[tokio::test]
async fn documented_calls_and_commands_work_and_sigint_stops_the_demo() {
    let demo = Demo::spawn().await;
    check_calls(&demo).await;
    let dir = tempfile::TempDir::new().expect("a directory");
    let mut printed = String::new();
    let lines = documented_lines(&["sed ", &format!("{README_PROGRAM} ")]);
    assert!(lines.len() >= 8, "{lines:?}");
    for line in lines {
        printed += &format!(
            "$ {line}\n{}",
            run_documented(&demo, &line, dir.path()).await
        );
    }
    for part in [
        "head: 1\n",
        "no problems\n",
        "accepted as version 2: route/proofs\n",
        "    rules.timeout: \"5s\" -> \"8s\"\n",
        "by demo",
        "longer proofs [route/proofs]\n",
        "accepted as version 3: route/proofs\n",
        "upstream on VM morava-a-1 drains\n",
    ] {
        assert!(printed.contains(part), "missing: {part}\n{printed}");
    }
    // The service of the drained upstream has another one, so the calls still work.
    check_calls(&demo).await;
    demo.stop(Signal::SIGINT).await;
}

#[tokio::test]
async fn accept_needs_the_documented_token_and_sigterm_stops_the_demo() {
    let demo = Demo::spawn().await;
    let admin = demo.admin.to_string();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let file = root
        .join("schema/examples/tesfaye.json")
        .display()
        .to_string();
    let refused = common::run(&["accept", &file, "--admin", &admin], "");
    assert_eq!(
        refused.status.code(),
        Some(3),
        "{}",
        common::stderr(&refused)
    );
    let log = common::run(&["log", "--admin", &admin, "--json"], "");
    let log: Value = serde_json::from_str(&common::stdout(&log)).expect("JSON");
    assert_eq!(log.as_array().map(Vec::len), Some(1));
    demo.stop(Signal::SIGTERM).await;
}

/// Guards against an interrupt during start-up that is ignored or gives an error exit code.
#[tokio::test]
async fn sigint_during_startup_exits_with_0() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinestall"))
        .arg("demo")
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the demo starts");
    // The first log line shows that start-up has begun.
    let mut line = String::new();
    let mut stderr = BufReader::new(child.stderr.take().expect("standard error"));
    let read = timeout(WAIT_LIMIT, stderr.read_line(&mut line)).await;
    read.expect("in time").expect("a line");
    let id = child.id().expect("the demo runs");
    kill(Pid::from_raw(id as i32), Signal::SIGINT).expect("the signal is sent");
    // Drains the log, so that the demo does not block on a full pipe.
    let mut rest = String::new();
    stderr.read_to_string(&mut rest).await.expect("read");
    let status = timeout(WAIT_LIMIT, child.wait())
        .await
        .expect("exits in time");
    assert_eq!(status.expect("a status").code(), Some(0));
}

/// Guards against calls that block on a log write when nothing reads the log and its pipe is full.
#[tokio::test]
async fn unread_log_does_not_block_calls() {
    let demo = Demo::spawn_with(Stdio::piped()).await;
    let mut caller = TcpStream::connect(demo.caller).await.expect("connected");
    // Each refusal logs a line of 2 kB; a pipe holds 64 kB.
    let path = "x".repeat(2_000);
    let mut buffer = vec![0; 64 << 10];
    for i in 0..500 {
        let request = format!("GET /{path}/{i} HTTP/1.1\r\nhost: nobody\r\n\r\n");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let read = timeout(WAIT_LIMIT, caller.read(&mut buffer)).await;
        let size = read
            .expect("a response in time")
            .expect("the connection is open");
        assert!(buffer[..size].starts_with(b"HTTP/1.1 404"), "call {i}");
    }
    let request = b"GET /proofs/7 HTTP/1.1\r\nhost: redakce.brno.example\r\n\r\n";
    caller.write_all(request).await.expect("sent");
    let read = timeout(WAIT_LIMIT, caller.read(&mut buffer)).await;
    let size = read
        .expect("a response in time")
        .expect("the connection is open");
    assert!(buffer[..size].starts_with(b"HTTP/1.1 200"));
}
