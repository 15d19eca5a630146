//! Structured log lines on standard output.
//!
//! Lines go through a bounded queue to a writer thread; when it is full, lines are dropped and
//! counted rather than waited for.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use jasminestage_core::steer::digest::Announcement;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

use crate::options::Options;

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 4096;
/// Lines about requests in one second; further ones are counted only.
const REQUEST_LINES_PER_SECOND: u32 = 100;

/// Starts logging; lines are written until the guard is dropped.
pub fn start() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(LevelFilter::INFO)
        .with_target(false)
        .with_writer(writer)
        .init();
    guard
}

/// Notes the start of the process.
pub fn started(cfg: &Options, me: &Announcement) {
    tracing::info!(
        event = 301,
        host = cfg.name,
        domain = cfg.domain,
        incarnation = %me.incarnation,
        callers = %cfg.callers,
        "The host has started."
    );
}

/// Notes the end of the process.
pub fn stopped() {
    tracing::info!(event = 303, "The host has stopped.");
}

thread_local! {
    static WINDOW: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// Whether one more line about a request fits into this second. The first line of a second that
/// follows a full one says how many were left out.
pub fn admits_request_line() -> bool {
    WINDOW.with(|window| {
        let (start, lines) = window.get();
        let now = Instant::now();
        if start.is_none_or(|s| now.duration_since(s) >= Duration::from_secs(1)) {
            if lines > REQUEST_LINES_PER_SECOND {
                let dropped = lines - REQUEST_LINES_PER_SECOND;
                tracing::warn!(event = 304, dropped, "Lines about requests were left out.");
            }
            window.set((Some(now), 1));
            return true;
        }
        window.set((start, lines + 1));
        lines < REQUEST_LINES_PER_SECOND
    })
}
