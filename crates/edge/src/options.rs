//! The settings file.

use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::Path,
    time::Duration,
};

use jasminestage_core::{
    ini::{self, Section},
    steer::bounds::Bounds,
    world::fields,
};

use crate::error::EdgeError;

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of the machine.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Address for other hosts (UDP and TCP).
    pub peers: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Part of a core that the host may use, in thousandths.
    pub millicores: u32,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Region of each failure domain.
    pub domains: HashMap<String, String>,
    /// Bounds of the deployment.
    pub terms: Bounds,
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
            first_start: false,
            store: local(8382),
            domains: HashMap::new(),
            terms: Bounds::default(),
        }
    }
}

/// Sets one setting from its text; the error says what is allowed.
type Setter = fn(&mut Options, &str) -> Result<(), String>;

/// One setting: its section, its key, whether it must stand, and how it is set.
struct Setting(&'static str, &'static str, bool, Setter);

const SETTINGS: &[Setting] = &[
    Setting("host", "name", true, |o, t| put(&mut o.name, fields::name(t))),
    Setting("host", "domain", true, |o, t| put(&mut o.domain, fields::name(t))),
    Setting("host", "callers", true, |o, t| put(&mut o.callers, address(t))),
    Setting("host", "readiness", true, |o, t| put(&mut o.readiness, address(t))),
    Setting("host", "directory", true, |o, t| put(&mut o.directory, address(t))),
    Setting("host", "peers", true, |o, t| put(&mut o.peers, address(t))),
    Setting("host", "metrics", true, |o, t| put(&mut o.metrics, address(t))),
    Setting("host", "cores", false, |o, t| {
        put(&mut o.millicores, positive(t).map(|cores| (cores * 1000.0) as u32))
    }),
    Setting("host", "first_start", false, |o, t| put(&mut o.first_start, yes_or_no(t))),
    Setting("store", "address", true, |o, t| put(&mut o.store, address(t))),
    Setting("bounds", "max_lookup_ttl", false, |o, t| time(&mut o.terms.max_lookup_ttl, t)),
    Setting("bounds", "stop_grace", false, |o, t| time(&mut o.terms.stop_grace, t)),
    Setting("bounds", "retry_ratio", false, |o, t| put(&mut o.terms.retry_ratio, positive(t))),
    Setting("bounds", "retry_extra", false, |o, t| put(&mut o.terms.retry_extra, positive(t))),
    Setting("bounds", "quota_window", false, |o, t| time(&mut o.terms.quota_window, t)),
    Setting("bounds", "quota_overage", false, |o, t| {
        put(&mut o.terms.quota_overage, not_negative(t))
    }),
    Setting("bounds", "quota_slack", false, |o, t| put(&mut o.terms.quota_slack, not_negative(t))),
    Setting("bounds", "canary_share", false, |o, t| put(&mut o.terms.canary_share, positive(t))),
    Setting("bounds", "max_shift", false, |o, t| put(&mut o.terms.max_shift, positive(t))),
];

/// Section that names the region of each failure domain.
const DOMAINS: &str = "domains";

impl Options {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Options, EdgeError> {
        let text = fs::read_to_string(path)
            .map_err(|source| EdgeError::ReadSettings { path: path.to_owned(), source })?;
        Options::parse(&text)
    }

    /// Checks the text of a settings file. A setting without a value keeps its default.
    pub fn parse(text: &str) -> Result<Options, EdgeError> {
        let (sections, faults) = ini::parse(text);
        if let Some(fault) = faults.into_iter().next() {
            return Err(EdgeError::Syntax { line: fault.line, text: fault.text });
        }
        let mut cfg = Options::default();
        for section in &sections {
            cfg.read(section)?;
        }
        for Setting(section, key, required, _) in SETTINGS {
            let stands = sections
                .iter()
                .any(|s| s.kind == *section && s.get(key).is_some_and(|e| !e.value.is_empty()));
            if *required && !stands {
                return Err(wrong(section, key, "it is required".to_owned()));
            }
        }
        if !cfg.domains.contains_key(&cfg.domain) {
            let allowed = "it must be one of the failure domains in [domains]".to_owned();
            return Err(wrong("host", "domain", allowed));
        }
        Ok(cfg)
    }

    fn read(&mut self, section: &Section<'_>) -> Result<(), EdgeError> {
        for entry in &section.entries {
            if section.kind == DOMAINS {
                self.domains.insert(entry.key.to_owned(), entry.value.to_owned());
                continue;
            }
            let found = SETTINGS.iter().find(|s| s.0 == section.kind && s.1 == entry.key);
            let Some(Setting(.., set)) = found else {
                let allowed = "there is no such setting".to_owned();
                return Err(wrong(section.kind, entry.key, allowed));
            };
            if entry.value.is_empty() {
                continue;
            }
            set(self, entry.value).map_err(|allowed| {
                wrong(section.kind, entry.key, format!("'{}' was given, {allowed}", entry.value))
            })?;
        }
        Ok(())
    }
}

fn wrong(section: &str, key: &str, allowed: String) -> EdgeError {
    EdgeError::Setting { section: section.to_owned(), key: key.to_owned(), allowed }
}

fn put<T>(to: &mut T, value: Result<T, String>) -> Result<(), String> {
    *to = value?;
    Ok(())
}

fn time(to: &mut Duration, text: &str) -> Result<(), String> {
    put(to, fields::duration(text))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    fields::plain("an IP address with a port is allowed")(text)
}

fn yes_or_no(text: &str) -> Result<bool, String> {
    fields::plain("'true' or 'false' is allowed")(text)
}

fn positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number > 0.0 && number.is_finite() => Ok(number),
        _ => Err("a number above 0 is allowed".to_owned()),
    }
}

fn not_negative(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if number >= 0.0 && number.is_finite() => Ok(number),
        _ => Err("a number of at least 0 is allowed".to_owned()),
    }
}
