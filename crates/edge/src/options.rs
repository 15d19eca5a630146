//! Settings of the process, read from an INI file.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::Path,
    time::Duration,
};

use jasminestage_core::{
    declaration::fields,
    ini::{self, Section},
    intake::{IntakeLimits, PortShare},
    steer::{bounds::Bounds, usage::duty::DutyConfig},
};
use jasminestage_platform::usage::DUTY_NAME;

use crate::error::EdgeError;

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness: SocketAddr,
    /// Address of the directory endpoint.
    pub directory: SocketAddr,
    /// Address for messages from other hosts (UDP and TCP).
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// CPU time that the host may use, in thousandths of a core.
    pub millicores: u32,
    /// Memory that the host may use, in MB.
    pub memory_mb: u32,
    /// Descriptors that the process may open, of which [`RESERVED_DESCRIPTORS`] are left for files.
    pub max_descriptors: usize,
    /// Maximum size of the body of one response of a server.
    pub max_response_bytes: usize,
    /// Maximum number of requests of one connection that run at the same time.
    pub max_pipelined_requests: usize,
    /// Whether the whole fleet starts for the first time, without any callers yet.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Region of each failure domain.
    pub domains: HashMap<String, String>,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Usage reports.
    pub usage: UsageOptions,
}

/// Settings of the usage reports, which are off without an address, the duty or a window length.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageOptions {
    /// Address of the platform's API.
    pub address: Option<SocketAddr>,
    /// Duties that the platform assigns to the hosts.
    pub duties: Vec<String>,
    /// Length of a window.
    pub window: Option<Duration>,
    /// Time after the end of a window at which its report is due.
    pub due_after: Duration,
    /// Largest error of a correct count, as a fraction. Operators compare reports with it.
    pub tolerance: f64,
    /// Time after which the duty is free unless it is renewed.
    pub lease: Duration,
    /// Calls per second that the platform accepts from all hosts together.
    pub calls_per_second: f64,
}

impl Default for UsageOptions {
    fn default() -> Self {
        let DutyConfig { due_after, lease, calls_per_second, .. } = DutyConfig::default();
        UsageOptions {
            address: None,
            duties: Vec::new(),
            window: None,
            due_after,
            tolerance: 0.05,
            lease,
            calls_per_second,
        }
    }
}

impl UsageOptions {
    /// Returns the address of the platform's API and the settings of the duty; `None` if the reports
    /// are off.
    pub fn duty(&self) -> Option<(SocketAddr, DutyConfig)> {
        let (address, window) = (self.address?, self.window?);
        let UsageOptions { due_after, lease, calls_per_second, .. } = *self;
        let is_assigned = self.duties.iter().any(|duty| duty == DUTY_NAME);
        is_assigned.then_some((address, DutyConfig { window, due_after, lease, calls_per_second }))
    }
}

impl Default for Options {
    fn default() -> Self {
        let local = |port| SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        Options {
            name: String::new(),
            domain: String::new(),
            callers: local(8080),
            readiness: local(8081),
            directory: local(8082),
            peers: local(7460),
            metrics: local(7461),
            millicores: 1000,
            memory_mb: 256,
            max_descriptors: 8192,
            max_response_bytes: 4 * 1024 * 1024,
            max_pipelined_requests: 8,
            first_start: false,
            store: local(8382),
            domains: HashMap::new(),
            bounds: Bounds::default(),
            usage: UsageOptions::default(),
        }
    }
}

/// Parses a value and stores it in the options; the error states the allowed values.
type Setter = fn(&mut Options, &str) -> Result<(), String>;

/// A setting: section, key, whether it is required, and function that sets it.
struct Setting(&'static str, &'static str, bool, Setter);

const SETTINGS: &[Setting] = &[
    Setting("host", "name", true, |o, t| assign(&mut o.name, fields::name(t))),
    Setting("host", "domain", true, |o, t| assign(&mut o.domain, fields::name(t))),
    Setting("host", "callers", true, |o, t| assign(&mut o.callers, parse_address(t))),
    Setting("host", "readiness", true, |o, t| assign(&mut o.readiness, parse_address(t))),
    Setting("host", "directory", true, |o, t| assign(&mut o.directory, parse_address(t))),
    Setting("host", "peers", true, |o, t| assign(&mut o.peers, parse_address(t))),
    Setting("host", "metrics", true, |o, t| assign(&mut o.metrics, parse_address(t))),
    Setting("host", "cores", false, |o, t| {
        assign(&mut o.millicores, parse_positive(t).map(|cores| (cores * 1000.0) as u32))
    }),
    Setting("host", "memory_mb", false, |o, t| {
        assign(&mut o.memory_mb, parse_positive(t).map(|mb| mb as u32))
    }),
    Setting("host", "max_descriptors", false, |o, t| {
        assign(&mut o.max_descriptors, parse_descriptors(t))
    }),
    Setting("answers", "max_bytes", false, |o, t| {
        assign(&mut o.max_response_bytes, parse_count(t))
    }),
    Setting("host", "max_pipelined_requests", false, |o, t| {
        assign(&mut o.max_pipelined_requests, parse_count(t))
    }),
    Setting("host", "first_start", false, |o, t| assign(&mut o.first_start, parse_bool(t))),
    Setting("store", "address", true, |o, t| assign(&mut o.store, parse_address(t))),
    Setting("bounds", "max_lookup_ttl", false, |o, t| {
        assign_duration(&mut o.bounds.max_lookup_ttl, t)
    }),
    Setting("bounds", "stop_grace", false, |o, t| assign_duration(&mut o.bounds.stop_grace, t)),
    Setting("bounds", "retry_ratio", false, |o, t| {
        assign(&mut o.bounds.retry_ratio, parse_positive(t))
    }),
    Setting("bounds", "retry_extra", false, |o, t| {
        assign(&mut o.bounds.retry_extra, parse_positive(t))
    }),
    Setting("bounds", "quota_window", false, |o, t| assign_duration(&mut o.bounds.quota_window, t)),
    Setting("bounds", "quota_overage", false, |o, t| {
        assign(&mut o.bounds.quota_overage, parse_non_negative(t))
    }),
    Setting("bounds", "quota_slack", false, |o, t| {
        assign(&mut o.bounds.quota_slack, parse_non_negative(t))
    }),
    Setting("bounds", "canary_share", false, |o, t| {
        assign(&mut o.bounds.canary_share, parse_positive(t))
    }),
    Setting("bounds", "canary_extra", false, |o, t| {
        assign(&mut o.bounds.canary_extra, parse_non_negative(t))
    }),
    Setting("bounds", "max_shift", false, |o, t| {
        assign(&mut o.bounds.max_shift, parse_positive(t))
    }),
    Setting("usage", "address", false, |o, t| {
        assign(&mut o.usage.address, parse_address(t).map(Some))
    }),
    Setting("usage", "duties", false, |o, t| {
        assign(&mut o.usage.duties, Ok(t.split(',').map(|duty| duty.trim().to_owned()).collect()))
    }),
    Setting("usage", "window", false, |o, t| {
        assign(&mut o.usage.window, parse_long_duration(t).map(Some))
    }),
    Setting("usage", "due_after", false, |o, t| assign_duration(&mut o.usage.due_after, t)),
    Setting("usage", "tolerance", false, |o, t| {
        assign(&mut o.usage.tolerance, parse_non_negative(t))
    }),
    Setting("usage", "lease", false, |o, t| assign(&mut o.usage.lease, parse_long_duration(t))),
    Setting("usage", "calls_per_second", false, |o, t| {
        assign(&mut o.usage.calls_per_second, parse_positive(t))
    }),
];

/// Descriptors that connections never use, because files need them.
pub const RESERVED_DESCRIPTORS: usize = 200;
/// Smallest limit on descriptors with which a host can serve callers.
const MIN_DESCRIPTORS: usize = 300;
/// Fraction of the host's memory that the bodies of responses may use.
const RESPONSE_MEMORY_FRACTION: f64 = 0.25;
/// Fraction of the host's memory that the bodies of callers' requests may use.
const REQUEST_MEMORY_FRACTION: f64 = 0.4;
/// Fraction of the memory for bodies of requests that only small bodies may use.
const SMALL_REQUEST_MEMORY_FRACTION: f64 = 0.25;
/// Section that assigns each failure domain to its region.
const DOMAINS_SECTION: &str = "domains";

impl Options {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Options, EdgeError> {
        let text = fs::read_to_string(path)
            .map_err(|source| EdgeError::ReadSettings { path: path.to_owned(), source })?;
        Options::parse(&text)
    }

    /// Parses and checks the text of a settings file. A setting without a value keeps its default.
    pub fn parse(text: &str) -> Result<Options, EdgeError> {
        let (sections, errors) = ini::parse(text);
        if let Some(error) = errors.into_iter().next() {
            return Err(EdgeError::Syntax { line: error.line, text: error.text });
        }
        let mut cfg = Options::default();
        for section in &sections {
            cfg.apply_section(section)?;
        }
        for Setting(section, key, required, _) in SETTINGS {
            let is_set = sections
                .iter()
                .any(|s| s.kind == *section && s.get(key).is_some_and(|e| !e.value.is_empty()));
            if *required && !is_set {
                return Err(invalid_setting(section, key, "it is required".to_owned()));
            }
        }
        if !cfg.domains.contains_key(&cfg.domain) {
            let reason = "it must be one of the failure domains in [domains]".to_owned();
            return Err(invalid_setting("host", "domain", reason));
        }
        Ok(cfg)
    }

    /// Maximum size of the bodies of all responses in flight together, in bytes.
    pub fn response_memory(&self) -> usize {
        (f64::from(self.memory_mb) * 1e6 * RESPONSE_MEMORY_FRACTION) as usize
    }

    /// Maximum size of the bodies of all requests in flight together, in bytes.
    pub fn request_memory(&self) -> usize {
        (f64::from(self.memory_mb) * 1e6 * REQUEST_MEMORY_FRACTION) as usize
    }

    /// Part of the memory for bodies of requests that only small bodies may use, in bytes.
    pub fn small_request_memory(&self) -> usize {
        (self.request_memory() as f64 * SMALL_REQUEST_MEMORY_FRACTION) as usize
    }

    /// Limits on the connections of a port.
    pub fn intake_limits(&self, share: PortShare) -> IntakeLimits {
        let memory_bytes = (f64::from(self.memory_mb) * 1e6) as usize;
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        IntakeLimits::new(share, memory_bytes, descriptors)
    }

    fn apply_section(&mut self, section: &Section<'_>) -> Result<(), EdgeError> {
        for entry in &section.entries {
            if section.kind == DOMAINS_SECTION {
                self.domains.insert(entry.key.to_owned(), entry.value.to_owned());
                continue;
            }
            let setting = SETTINGS.iter().find(|s| s.0 == section.kind && s.1 == entry.key);
            let Some(Setting(.., set)) = setting else {
                let reason = "there is no such setting".to_owned();
                return Err(invalid_setting(section.kind, entry.key, reason));
            };
            if entry.value.is_empty() {
                continue;
            }
            set(self, entry.value).map_err(|reason| {
                invalid_setting(
                    section.kind,
                    entry.key,
                    format!("'{}' was given, {reason}", entry.value),
                )
            })?;
        }
        Ok(())
    }
}

fn invalid_setting(section: &str, key: &str, reason: String) -> EdgeError {
    EdgeError::InvalidSetting { section: section.to_owned(), key: key.to_owned(), reason }
}

fn assign<T>(target: &mut T, value: Result<T, String>) -> Result<(), String> {
    *target = value?;
    Ok(())
}

fn assign_duration(target: &mut Duration, text: &str) -> Result<(), String> {
    assign(target, fields::duration(text))
}

/// Parses a duration of at least 1 s. The reports of shorter windows could not be collected in time, and
/// a shorter lease ends between two renewals.
fn parse_long_duration(text: &str) -> Result<Duration, String> {
    let duration = fields::duration(text)?;
    let is_long = duration >= Duration::from_secs(1);
    is_long.then_some(duration).ok_or_else(|| "a duration of at least 1 s is allowed".to_owned())
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    fields::typed("an IP address with a port is allowed")(text)
}

fn parse_bool(text: &str) -> Result<bool, String> {
    fields::typed("'true' or 'false' is allowed")(text)
}

fn parse_positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number > 0.0 && number.is_finite() => Ok(number),
        _ => Err("a number above 0 is allowed".to_owned()),
    }
}

fn parse_count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err("a whole number above 0 is allowed".to_owned()),
    }
}

fn parse_descriptors(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(number) if number >= MIN_DESCRIPTORS => Ok(number),
        _ => Err(format!("a whole number of at least {MIN_DESCRIPTORS} is allowed")),
    }
}

fn parse_non_negative(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number >= 0.0 && number.is_finite() => Ok(number),
        _ => Err("a number of at least 0 is allowed".to_owned()),
    }
}
