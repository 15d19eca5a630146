//! Structured log lines on standard output.
//!
//! Lines go through a bounded queue to a writer thread; when the queue is full, lines are dropped
//! and counted, so that logging never blocks.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use jasminestage_core::steer::digest::Announcement;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;

use crate::options::Options;

/// Maximum number of lines that wait for the writer.
const QUEUE_LINES: usize = 4096;
/// Maximum number of lines per second about requests that the first server answered; further ones
/// are only counted.
const GOOD_LINES_PER_SECOND: u32 = 60;
/// Maximum number of lines per second about refused, failed, retried and abandoned requests;
/// further ones are only counted.
const BAD_LINES_PER_SECOND: u32 = 100;

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

/// Logs the start of the process.
pub fn started(cfg: &Options, announcement: &Announcement) {
    tracing::info!(
        event = 301,
        host = cfg.name,
        domain = cfg.domain,
        incarnation = %announcement.incarnation,
        callers = %cfg.callers,
        "The host has started."
    );
}

/// Logs the end of the process.
pub fn stopped() {
    tracing::info!(event = 303, "The host has stopped.");
}

/// Outcome of a request, which determines the limit on its log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The first server answered without a server error.
    Good,
    /// The request was refused, failed, was retried or was abandoned by its caller.
    Bad,
}

/// Number of lines about requests in the current window of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Option<Instant>,
    good: u32,
    bad: u32,
}

/// Limits the lines about requests of one process.
#[derive(Debug, Default)]
pub struct LineLimiter {
    window: Mutex<Window>,
}

impl LineLimiter {
    /// Counts a line about a request and returns whether it may be written. The first line after a
    /// window with dropped lines logs how many were dropped.
    pub fn admits(&self, outcome: RequestOutcome) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if window.start.is_none_or(|s| now.duration_since(s) >= Duration::from_secs(1)) {
            let good = window.good.saturating_sub(GOOD_LINES_PER_SECOND);
            let bad = window.bad.saturating_sub(BAD_LINES_PER_SECOND);
            if good + bad > 0 {
                tracing::warn!(event = 304, good, bad, "Log lines about requests were dropped.");
            }
            *window = Window { start: Some(now), good: 0, bad: 0 };
        }
        let (lines, limit) = match outcome {
            RequestOutcome::Good => (&mut window.good, GOOD_LINES_PER_SECOND),
            RequestOutcome::Bad => (&mut window.bad, BAD_LINES_PER_SECOND),
        };
        *lines += 1;
        *lines <= limit
    }
}
