//! Opens the log of a daemon.

use std::io;
use std::sync::Mutex;

use crate::throttle::Throttle;
use daemon::{LogFormat, LogLevel, LogOutput, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Capacity of the queue of lines that wait to be written.
const QUEUE_LINES: usize = 4_096;

/// Opens the log. When the queue is full, lines are dropped and their number is logged.
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

/// Returns a drain that writes one JSON object per line.
fn json<W: io::Write>(output: W) -> Mutex<slog_json::Json<W>> {
    Mutex::new(slog_json::Json::default(output))
}

fn build<D>(drain: D, level: LogLevel) -> Logger
where
    D: Drain<Ok = ()> + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let queue = slog_async::Async::new(drain.fuse())
        .chan_size(QUEUE_LINES)
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
