//! Log output.

use jasminestage_core::event::{Event, Level};
use tracing_subscriber::EnvFilter;

use crate::options::LogOptions;

/// Starts writing logs to standard error.
pub fn start(cfg: &LogOptions) {
    let filter = EnvFilter::try_new(&cfg.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    if cfg.json {
        builder.json().init();
    } else {
        builder.init();
    }
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
