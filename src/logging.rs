//! Logs, written to standard error.

use std::sync::Mutex;

use crate::throttle::Throttle;
use daemon::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, LevelFilter, Logger, o};

/// Lines that may wait to be written.
const QUEUE: usize = 4_096;

/// Opens the log. Lines that do not fit into the queue are dropped and counted in it.
pub(crate) fn open(settings: &LogSettings) -> Logger {
    match settings.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            build(
                slog_term::FullFormat::new(decorator).build(),
                settings.level,
            )
        }
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            build(Mutex::new(json), settings.level)
        }
    }
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
