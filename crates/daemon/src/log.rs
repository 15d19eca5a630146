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

/// Shortest time between two lines of a limited event.
const LIMITED_PERIOD: Duration = Duration::from_secs(1);

/// Starts writing logs to standard error and counting events by number.
pub fn start(cfg: &LogOptions, metrics: Arc<Metrics>) {
    let filter = EnvFilter::try_new(&cfg.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    let lines = if cfg.json { lines.json().boxed() } else { lines.boxed() };
    let count = Count { metrics };
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

/// Limits the rate of an event that others can cause at will.
#[derive(Debug, Default)]
pub struct Limiter {
    state: Mutex<LimiterState>,
}

#[derive(Debug, Default)]
struct LimiterState {
    last: Option<Instant>,
    left_out: u64,
}

impl Limiter {
    /// Writes the event, or counts it towards the next one that is written.
    pub fn write(&self, now: Instant, mut event: Event) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.last.is_some_and(|last| now.saturating_since(last) < LIMITED_PERIOD) {
            state.left_out += 1;
            return;
        }
        state.last = Some(now);
        let left_out = std::mem::take(&mut state.left_out);
        drop(state);
        if left_out > 0 {
            event.detail.push_str(&format!(" ({left_out} more since the last line)"));
        }
        write(&event);
    }
}

/// Counts numbered events, whether or not the filter lets their lines pass.
struct Count {
    metrics: Arc<Metrics>,
}

impl<S: tracing::Subscriber> Layer<S> for Count {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut number = Number(None);
        event.record(&mut number);
        if let Some(number) = number.0 {
            self.metrics.log_event(number);
        }
    }
}

/// Finds the number of an event among its fields.
struct Number(Option<u64>);

impl Visit for Number {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
