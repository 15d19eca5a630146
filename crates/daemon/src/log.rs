//! Log output.

use std::{
    io::IsTerminal,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jasminestage_core::{
    event::{Event, Level},
    time::Instant,
};
use tracing::field::{Field, Visit};
use tracing_subscriber::{EnvFilter, Layer, layer::Context, prelude::*};

use crate::{metrics::Metrics, options::LogOptions};

/// Shortest time between two lines of a rate-limited event.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Initialises logging to standard error and the count of events by number.
pub fn init(cfg: &LogOptions, metrics: Arc<Metrics>) {
    let filter = EnvFilter::try_new(&cfg.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    let lines = if cfg.json { lines.json().boxed() } else { lines.boxed() };
    let count = EventCounter { metrics };
    tracing_subscriber::registry().with(lines.with_filter(filter)).with(count).init();
}

/// Writes one numbered event.
pub fn write(event: &Event) {
    let (number, text, detail) = (event.kind.number(), event.kind.text(), event.detail.as_str());
    match event.kind.level() {
        Level::Error => tracing::error!(event = number, detail, "{text}"),
        Level::Warn => tracing::warn!(event = number, detail, "{text}"),
        Level::Info => tracing::info!(event = number, detail, "{text}"),
    }
}

/// Limits the rate of log lines for an event that remote senders can cause.
#[derive(Debug, Default)]
pub struct EventLimiter {
    state: Mutex<EventLimiterState>,
}

#[derive(Debug, Default)]
struct EventLimiterState {
    last_written: Option<Instant>,
    suppressed: u64,
}

impl EventLimiter {
    /// Writes the event, or suppresses it and adds it to the count in the next line.
    pub fn write(&self, now: Instant, mut event: Event) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state
            .last_written
            .is_some_and(|last_written| now.saturating_since(last_written) < MIN_LINE_INTERVAL)
        {
            state.suppressed += 1;
            return;
        }
        state.last_written = Some(now);
        let suppressed = std::mem::take(&mut state.suppressed);
        drop(state);
        if suppressed > 0 {
            event.detail.push_str(&format!(" ({suppressed} more since the last line)"));
        }
        write(&event);
    }
}

/// Counts numbered events, including those whose lines the filter drops.
struct EventCounter {
    metrics: Arc<Metrics>,
}

impl<S: tracing::Subscriber> Layer<S> for EventCounter {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut number = EventNumber(None);
        event.record(&mut number);
        if let Some(number) = number.0 {
            self.metrics.count_log_event(number);
        }
    }
}

/// Extracts the number of an event from its fields.
struct EventNumber(Option<u64>);

impl Visit for EventNumber {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
