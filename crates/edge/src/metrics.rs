//! Metrics of the process, exported in the text format of Prometheus.

use std::time::Duration;

use jasminestage_core::steer::refusal::RefusalReason;
use jasminestage_platform::headers::InvalidReport;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};

use crate::error::EdgeError;

/// Bucket bounds of the request duration, as in the semantic conventions of OpenTelemetry.
const DURATION_BUCKETS_SECONDS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 7.5, 10.0];

/// Metric instruments of one process.
pub struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    request_durations: Histogram<f64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    connections: Counter<u64>,
    crash_checks: Counter<u64>,
    store_calls: Counter<u64>,
    cut_responses: Counter<u64>,
    closed_connections: Counter<u64>,
    closings: Counter<u64>,
    client_connections: Gauge<u64>,
    invalid_retry_after: Counter<u64>,
    invalid_server_limit: Counter<u64>,
    request_memory: Gauge<u64>,
    response_memory: Gauge<u64>,
    configuration: Gauge<u64>,
    hosts: Gauge<u64>,
    servers: Gauge<u64>,
    server_records: Gauge<u64>,
    usage_reports: Counter<u64>,
    usage_token: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
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
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Ok(Metrics {
            request_durations: meter
                .f64_histogram("http.server.request.duration")
                .with_unit("s")
                .with_description("Duration of requests of callers.")
                .with_boundaries(DURATION_BUCKETS_SECONDS.to_vec())
                .build(),
            refusals: counter("jasminestage.refusals", "Answers of the system itself by reason."),
            attempts: counter("jasminestage.tries", "Tries at servers by outcome."),
            connections: counter("jasminestage.connections", "New connections to servers."),
            crash_checks: counter(
                "jasminestage.servers.checks",
                "Checks of servers to which connections were lost, by outcome.",
            ),
            store_calls: counter("jasminestage.store.calls", "Calls to the store by outcome."),
            cut_responses: counter(
                "jasminestage.responses.cut",
                "Responses of servers that were cut, by the limit that they exceeded.",
            ),
            closed_connections: counter(
                "jasminestage.clients.closed",
                "Connections of clients that were closed or refused, by port and reason.",
            ),
            closings: counter(
                "jasminestage.clients.closings",
                "Connections of clients that the host closed itself, by what the client did then.",
            ),
            client_connections: gauge(
                "jasminestage.clients.connections",
                "Open connections of clients, by port.",
            ),
            invalid_retry_after: counter(
                "jasminestage.retry_after.invalid",
                "Responses of servers with a Retry-After header that cannot be read.",
            ),
            invalid_server_limit: counter(
                "jasminestage.server_limit.invalid",
                "Responses of servers with a limit that cannot be read.",
            ),
            request_memory: gauge(
                "jasminestage.requests.bytes",
                "Bytes of the requests of callers that are read or passed on.",
            ),
            response_memory: gauge(
                "jasminestage.responses.bytes",
                "Bytes of the responses of servers that are read or delivered.",
            ),
            configuration: gauge("jasminestage.configuration", "Version in force."),
            hosts: gauge("jasminestage.hosts", "Hosts that may be alive."),
            servers: gauge("jasminestage.servers", "Announced servers."),
            server_records: gauge(
                "jasminestage.servers.records",
                "Servers of which the request path has a record, announced or finishing requests.",
            ),
            usage_reports: counter(
                "jasminestage.usage.reports",
                "Calls with usage reports by outcome, and skipped windows.",
            ),
            usage_token: gauge(
                "jasminestage.usage.token",
                "Token of the duty to report usage; 0 while another host has it.",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    /// Records the duration of a request by the status of its response.
    pub fn record_response(&self, status: u16, duration: Duration) {
        let status = KeyValue::new("http.response.status_code", i64::from(status));
        self.request_durations.record(duration.as_secs_f64(), &[status]);
    }

    /// Counts a request that the host itself answered, by reason.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.add(1, &[KeyValue::new("code", i64::from(reason.number()))]);
    }

    /// Counts an attempt at a server by outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a new connection to a server.
    pub fn count_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a response that was cut, by the limit that it exceeded.
    pub fn count_cut_response(&self, limit: &'static str) {
        self.cut_responses.add(1, &[KeyValue::new("limit", limit)]);
    }

    /// Counts connections of clients that were closed or refused.
    pub fn count_closed_connections(&self, port: &'static str, reason: &'static str, count: u64) {
        let labels = [KeyValue::new("port", port), KeyValue::new("reason", reason)];
        self.closed_connections.add(count, &labels);
    }

    /// Counts a check of a server to which a connection was lost.
    pub fn count_crash_check(&self, outcome: &'static str) {
        self.crash_checks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection that the host has closed itself.
    pub fn count_closing(&self, outcome: &'static str) {
        self.closings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of open connections of clients.
    pub fn record_client_connections(&self, port: &'static str, count: usize) {
        self.client_connections.record(count as u64, &[KeyValue::new("port", port)]);
    }

    /// Counts a response with a header that cannot be read.
    pub fn count_invalid_report(&self, report: &InvalidReport) {
        let counter = match report {
            InvalidReport::RetryAfter(_) => &self.invalid_retry_after,
            InvalidReport::ServerLimit(_) => &self.invalid_server_limit,
        };
        counter.add(1, &[]);
    }

    /// Records the memory of all request bodies.
    pub fn record_request_memory(&self, bytes: usize) {
        self.request_memory.record(bytes as u64, &[]);
    }

    /// Records the size of all response bodies in memory.
    pub fn record_response_memory(&self, bytes: usize) {
        self.response_memory.record(bytes as u64, &[]);
    }

    /// Counts a call to the store by outcome.
    pub fn count_store_call(&self, operation: &'static str, is_ok: bool) {
        let labels = [KeyValue::new("operation", operation), KeyValue::new("ok", is_ok)];
        self.store_calls.add(1, &labels);
    }

    /// Records the number of records of servers.
    pub fn record_server_records(&self, records: usize) {
        self.server_records.record(records as u64, &[]);
    }

    /// Counts a call with a usage report, or a window that is not reported, by outcome.
    pub fn count_usage_report(&self, outcome: &'static str) {
        self.usage_reports.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the token of the duty to report usage; 0 while another host has it.
    pub fn record_usage_token(&self, token: u64) {
        self.usage_token.record(token, &[]);
    }

    /// Records the gauges of a new view.
    pub fn record_view(&self, configuration: u64, hosts: usize, servers: usize) {
        self.configuration.record(configuration, &[]);
        self.hosts.record(hosts as u64, &[]);
        self.servers.record(servers as u64, &[]);
    }
}
