//! Metrics, exported for Prometheus.
//!
//! Names and units follow the OpenTelemetry semantic conventions where they have one
//! (`http.server.request.duration`, `http.server.active_requests`,
//! `db.client.operation.duration`, `network.io.direction`); the others begin with `jasminestage.`.
//! Every label has a bounded set of values: names come from the declaration, all others become
//! [`OTHER`], and the library aggregates series past its limit into one.

mod label_values;

use std::time::Duration;

use jasminestage_core::{result::Code, view::View};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::{Resource, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder, process_collector::ProcessCollector};
use tokio::time::Instant;

pub use self::label_values::{OTHER, RequestLabels};
use crate::error::DaemonError;

/// Bounds of the histogram buckets of durations, in seconds: those of the semantic conventions and
/// two smaller ones.
const DURATION_BOUNDS: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 7.5, 10.0];

/// Transport protocol between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// Datagrams.
    Udp,
    /// Streams.
    Tcp,
}

impl Transport {
    fn label(self) -> KeyValue {
        let name = match self {
            Transport::Udp => "udp",
            Transport::Tcp => "tcp",
        };
        KeyValue::new("network.transport", name)
    }
}

/// The instruments of one process.
pub struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    request_durations: Histogram<f64>,
    active_requests: UpDownCounter<i64>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    frames: Counter<u64>,
    rejected_frames: Counter<u64>,
    limited_clients: Counter<u64>,
    frame_bytes: Counter<u64>,
    store_calls: Histogram<f64>,
    log_events: Counter<u64>,
    revision: Gauge<u64>,
    hosts: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments of a process.
    pub fn new(host: &str, domain: &str) -> Result<Self, DaemonError> {
        let registry = Registry::new();
        let process = Box::new(ProcessCollector::for_self());
        registry.register(process).map_err(|e| DaemonError::Metrics(e.to_string()))?;
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| DaemonError::Metrics(e.to_string()))?;
        let resource = Resource::builder()
            .with_service_name("jasminestaged")
            .with_attribute(KeyValue::new("host.name", host.to_owned()))
            .with_attribute(KeyValue::new("jasminestage.domain", domain.to_owned()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).with_resource(resource).build();
        let meter = provider.meter("jasminestage");
        let seconds = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s").with_description(text);
            histogram.with_boundaries(DURATION_BOUNDS.to_vec()).build()
        };
        let count = |name: &'static str, unit: &'static str, text: &'static str| {
            meter.u64_counter(name).with_unit(unit).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Metrics {
            request_durations: seconds(
                "http.server.request.duration",
                "Duration of requests of callers.",
            ),
            active_requests: meter
                .i64_up_down_counter("http.server.active_requests")
                .with_unit("{request}")
                .with_description("Requests of callers in flight.")
                .build(),
            requests: count("jasminestage.requests", "{request}", "Requests by workspace."),
            refusals: count("jasminestage.refusals", "{request}", "Refusals by result code."),
            frames: count("jasminestage.peer.messages", "{message}", "Frames to and from hosts."),
            rejected_frames: count(
                "jasminestage.peer.rejected",
                "{message}",
                "Frames that were rejected.",
            ),
            limited_clients: count(
                "jasminestage.clients.limited",
                "{client}",
                "Clients that were refused or cut by a limit, by port and limit.",
            ),
            frame_bytes: count("jasminestage.peer.io", "By", "Bytes to and from hosts."),
            store_calls: seconds("db.client.operation.duration", "Duration of calls to the store."),
            log_events: count("jasminestage.log.events", "{event}", "Log events by number."),
            revision: gauge("jasminestage.configuration.revision", "Revision in force."),
            hosts: gauge("jasminestage.hosts", "Hosts known to be alive."),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in the text format of Prometheus.
    pub fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Counts a request as in flight until the returned timer is dropped.
    pub fn start_request(&self) -> RequestTimer<'_> {
        self.active_requests.add(1, &[]);
        RequestTimer { metrics: self, start: Instant::now() }
    }

    /// Records the response to a request.
    pub fn record_response(
        &self,
        request_labels: &RequestLabels<'_>,
        code: Code,
        status: u16,
        took: Duration,
    ) {
        let route = KeyValue::new("jasminestage.route", request_labels.route.to_owned());
        let labels = [
            KeyValue::new("http.request.method", request_labels.method),
            KeyValue::new("http.route", request_labels.template),
            KeyValue::new("http.response.status_code", i64::from(status)),
            KeyValue::new("url.scheme", "http"),
            route.clone(),
        ];
        self.request_durations.record(took.as_secs_f64(), &labels);
        if code != Code::Done {
            self.refusals.add(1, &[route, code_label(code)]);
        }
    }

    /// Counts a request by its workspace.
    pub fn count_request(&self, request_labels: &RequestLabels<'_>, code: Code) {
        let route = KeyValue::new("jasminestage.route", request_labels.route.to_owned());
        let workspace =
            KeyValue::new("jasminestage.workspace", request_labels.workspace.to_owned());
        self.requests.add(1, &[route, workspace, code_label(code)]);
    }

    /// Counts a frame that was sent to another host.
    pub fn count_sent_frame(&self, transport: Transport, frame_bytes: usize) {
        self.count_frame(transport, "transmit", frame_bytes);
    }

    /// Counts a frame that was received from another host, valid or not.
    pub fn count_received_frame(&self, transport: Transport, frame_bytes: usize) {
        self.count_frame(transport, "receive", frame_bytes);
    }

    /// Counts a frame that was rejected.
    pub fn count_rejected_frame(&self) {
        self.rejected_frames.add(1, &[]);
    }

    /// Counts a client that was refused or cut by a limit.
    pub fn count_limited_client(&self, port: &'static str, limit: &'static str) {
        let labels =
            [KeyValue::new("jasminestage.port", port), KeyValue::new("jasminestage.limit", limit)];
        self.limited_clients.add(1, &labels);
    }

    /// Records a call to the store.
    pub fn record_store_call(&self, operation: &'static str, is_ok: bool, took: Duration) {
        let mut labels = vec![
            KeyValue::new("db.system.name", "etcd"),
            KeyValue::new("db.operation.name", operation),
        ];
        if !is_ok {
            labels.push(KeyValue::new("error.type", OTHER));
        }
        self.store_calls.record(took.as_secs_f64(), &labels);
    }

    /// Counts a log event.
    pub fn count_log_event(&self, number: u64) {
        self.log_events.add(1, &[KeyValue::new("jasminestage.event", number as i64)]);
    }

    /// Records the revision and the number of hosts of a new view.
    pub fn record_view(&self, view: &View) {
        self.revision.record(view.revision, &[]);
        self.hosts.record(view.hosts.len() as u64, &[]);
    }

    fn count_frame(&self, transport: Transport, direction: &'static str, frame_bytes: usize) {
        let labels = [transport.label(), KeyValue::new("network.io.direction", direction)];
        self.frames.add(1, &labels);
        self.frame_bytes.add(frame_bytes as u64, &labels);
    }
}

fn code_label(code: Code) -> KeyValue {
    KeyValue::new("jasminestage.code", i64::from(code.number()))
}

/// Timer of a request in flight.
pub struct RequestTimer<'a> {
    metrics: &'a Metrics,
    start: Instant,
}

impl RequestTimer<'_> {
    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

impl Drop for RequestTimer<'_> {
    fn drop(&mut self) {
        self.metrics.active_requests.add(-1, &[]);
    }
}
