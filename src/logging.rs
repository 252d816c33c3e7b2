//! Logs.

use std::io;
use std::sync::Mutex;

use crate::throttle::Throttle;
use daemon::{LogFormat, LogLevel, LogOutput, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Lines that may wait to be written.
const QUEUE: usize = 4_096;

/// Opens the log. Lines that do not fit into the queue are dropped and counted in it.
pub(crate) fn open(settings: &LogSettings) -> Logger {
    match (settings.format, settings.output) {
        (LogFormat::Terminal, output) => {
            let decorator = slog_term::TermDecorator::new();
            let decorator = match output {
                LogOutput::Stderr => decorator.stderr(),
                LogOutput::Stdout => decorator.stdout(),
            };
            let drain = slog_term::FullFormat::new(decorator.build()).build();
            build(drain, settings.level)
        }
        (LogFormat::Json, LogOutput::Stderr) => build(json(io::stderr()), settings.level),
        (LogFormat::Json, LogOutput::Stdout) => build(json(io::stdout()), settings.level),
    }
}

/// Returns a drain that writes a JSON object a line.
fn json<W: io::Write>(output: W) -> Mutex<slog_json::Json<W>> {
    Mutex::new(slog_json::Json::default(output))
}

fn build<D>(drain: D, level: LogLevel) -> Logger
where
    D: Drain<Ok = ()> + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let queue = slog_async::Async::new(drain.fuse())
        .chan_size(QUEUE)
        .build();
    let filter = LevelFilter::new(Throttle::new(queue), slog_level(level));
    Logger::root(filter.fuse(), o!())
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
