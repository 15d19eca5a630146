//! Counters and histograms, exported for Prometheus.

use std::time::Duration;

use jasminestage_core::steer::refusal::RefusalReason;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};

use crate::error::EdgeError;

/// Bounds of the buckets of durations, in seconds: those of the semantic conventions.
const DURATION_BOUNDS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 7.5, 10.0];

/// The instruments of one process.
pub struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    durations: Histogram<f64>,
    refusals: Counter<u64>,
    tries: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    configuration: Gauge<u64>,
    hosts: Gauge<u64>,
    servers: Gauge<u64>,
}

impl Metrics {
    /// Instruments of a process that has just started.
    pub fn new(host: &str, domain: &str) -> Result<Self, EdgeError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| EdgeError::Metrics(e.to_string()))?;
        let resource = Resource::builder_empty()
            .with_service_name("jasminestage-edge")
            .with_attribute(KeyValue::new("host.name", host.to_owned()))
            .with_attribute(KeyValue::new("jasminestage.domain", domain.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("jasminestage");
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Metrics {
            durations: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_description("Duration of requests of callers.")
                .with_boundaries(DURATION_BOUNDS.to_vec())
                .build(),
            refusals: count("jasminestage.refusals", "Answers of the system itself by reason."),
            tries: count("jasminestage.tries", "Tries at servers by outcome."),
            connections: count("jasminestage.connections", "New connections to servers."),
            store_calls: count("jasminestage.store.calls", "Calls to the store by outcome."),
            configuration: gauge("jasminestage.configuration", "Version in force."),
            hosts: gauge("jasminestage.hosts", "Hosts that may be alive."),
            servers: gauge("jasminestage.servers", "Announced servers."),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the text format of Prometheus.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Records an answer to a caller.
    pub fn answered(&self, status: u16, took: Duration) {
        let status = KeyValue::new("http.response.status_code", i64::from(status));
        self.durations.record(took.as_secs_f64(), &[status]);
    }

    /// Counts an answer of the system itself.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(reason.number()))]);
    }

    /// Counts a try at a server.
    pub fn tried(&self, outcome: &'static str) {
        self.tries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a new connection to a server.
    pub fn connected(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, operation: &'static str, is_ok: bool) {
        let labels = [KeyValue::new("operation", operation), KeyValue::new("ok", is_ok)];
        self.store_calls.add(1, &labels);
    }

    /// Takes over the figures of a new view.
    pub fn publish(&self, configuration: u64, hosts: usize, servers: usize) {
        self.configuration.record(configuration, &[]);
        self.hosts.record(hosts as u64, &[]);
        self.servers.record(servers as u64, &[]);
    }
}
