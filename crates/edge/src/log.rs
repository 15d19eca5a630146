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
/// Lines about good requests in one second; further ones are counted only.
const GOOD_LINES_PER_SECOND: u32 = 60;
/// Lines about refused, failed and repeated requests in one second; further ones are counted only.
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

/// How a request went, as far as the volume of lines is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Answered by the first server.
    Good,
    /// Refused, failed, repeated or left by its caller.
    Bad,
}

/// Lines about requests in the second that began last.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Option<Instant>,
    good: u32,
    bad: u32,
}

thread_local! {
    static WINDOW: Cell<Window> = const { Cell::new(Window { start: None, good: 0, bad: 0 }) };
}

/// Whether one more line about a request fits into this second. The first line of a second that
/// follows a full one says how many were left out.
pub fn admits_request_line(kind: RequestKind) -> bool {
    WINDOW.with(|cell| {
        let mut window = cell.get();
        let now = Instant::now();
        if window.start.is_none_or(|s| now.duration_since(s) >= Duration::from_secs(1)) {
            let good = window.good.saturating_sub(GOOD_LINES_PER_SECOND);
            let bad = window.bad.saturating_sub(BAD_LINES_PER_SECOND);
            if good + bad > 0 {
                tracing::warn!(event = 304, good, bad, "Lines about requests were left out.");
            }
            window = Window { start: Some(now), good: 0, bad: 0 };
        }
        let (lines, most) = match kind {
            RequestKind::Good => (&mut window.good, GOOD_LINES_PER_SECOND),
            RequestKind::Bad => (&mut window.bad, BAD_LINES_PER_SECOND),
        };
        *lines += 1;
        let fits = *lines <= most;
        cell.set(window);
        fits
    })
}
