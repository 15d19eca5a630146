//! Parsing of the settings file.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use jasminestage_core::{
    declaration::fields,
    ini::{self, Entry},
    lookup::ANSWER_LIFETIME,
};
use tracing_subscriber::EnvFilter;

use super::Options;
use crate::error::DaemonError;

/// Shortest timeout of a transfer: a second covers a lost packet that is sent again.
const MIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum length of the secret of a fleet, in characters.
const MIN_SECRET_CHARS: usize = 16;

/// Parses and assigns the value of a setting; the error states the allowed values.
type Setter = fn(&mut Options, &str) -> Result<(), String>;

/// Formats the value of a setting as in the settings file.
type ValueFormatter = fn(&Options) -> String;

/// A setting: its section, its key, and functions that parse and format its value.
struct Setting {
    section: &'static str,
    key: &'static str,
    is_required: bool,
    set: Setter,
    format_value: ValueFormatter,
}

/// A setting as listed in the operators' documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingReference {
    /// Section of the setting.
    pub section: &'static str,
    /// Key of the setting.
    pub key: &'static str,
    /// Default value, `None` for a required setting.
    pub default: Option<String>,
}

const fn setting(
    section: &'static str,
    key: &'static str,
    set: Setter,
    format_value: ValueFormatter,
) -> Setting {
    Setting { section, key, is_required: false, set, format_value }
}

const fn required(section: &'static str, key: &'static str, set: Setter) -> Setting {
    Setting { section, key, is_required: true, set, format_value: |_| String::new() }
}

const SETTINGS: &[Setting] = &[
    required("host", "name", |o, t| assign(&mut o.name, fields::name(t))),
    required("host", "domain", |o, t| assign(&mut o.domain, fields::name(t))),
    required("host", "caller_address", |o, t| assign(&mut o.caller_address, parse_address(t))),
    required("host", "peer_address", |o, t| assign(&mut o.peer_address, parse_address(t))),
    setting(
        "host",
        "peer_listen",
        |o, t| assign(&mut o.peer_listen, parse_address(t).map(Some)),
        |o| o.peer_listen.map(|a| a.to_string()).unwrap_or_default(),
    ),
    required("host", "admin_address", |o, t| assign(&mut o.admin_address, parse_address(t))),
    required("fleet", "secret", |o, t| parse_secret(t).map(|s| o.fleet_key.set_secret(s))),
    setting(
        "fleet",
        "old_secret",
        |o, t| parse_secret(t).map(|s| o.fleet_key.set_old_secret(s)),
        |_| String::new(),
    ),
    setting("fleet", "seeds", |o, t| assign(&mut o.seeds, parse_addresses(t)), |_| String::new()),
    required("platform", "store", |o, t| assign(&mut o.platform.store, parse_url(t))),
    setting(
        "platform",
        "timeout",
        |o, t| assign(&mut o.platform.timeout, fields::duration(t)),
        |o| format_millis(o.platform.timeout),
    ),
    setting(
        "traffic",
        "threads",
        |o, t| assign(&mut o.traffic.threads, parse_size(t, 1, 256)),
        |o| o.traffic.threads.to_string(),
    ),
    setting(
        "traffic",
        "max_body_bytes",
        |o, t| assign(&mut o.traffic.max_body_bytes, parse_size(t, 1, 64 * 1024 * 1024)),
        |o| o.traffic.max_body_bytes.to_string(),
    ),
    setting(
        "traffic",
        "stop_limit",
        |o, t| assign(&mut o.traffic.stop_limit, fields::duration(t)),
        |o| format_millis(o.traffic.stop_limit),
    ),
    setting(
        "traffic",
        "stop_delay",
        |o, t| assign(&mut o.traffic.stop_delay, parse_stop_delay(t)),
        |o| format_millis(o.traffic.stop_delay),
    ),
    setting(
        "limits",
        "memory_mb",
        |o, t| assign(&mut o.limits.memory_mb, parse_size(t, 16, 1024 * 1024)),
        |o| o.limits.memory_mb.to_string(),
    ),
    setting(
        "limits",
        "max_descriptors",
        |o, t| assign(&mut o.limits.max_descriptors, parse_size(t, 64, 1024 * 1024).map(Some)),
        |o| o.limits.max_descriptors.map(|n| n.to_string()).unwrap_or_default(),
    ),
    setting(
        "limits",
        "max_header_bytes",
        |o, t| assign(&mut o.limits.max_header_bytes, parse_size(t, 8192, 1024 * 1024)),
        |o| o.limits.max_header_bytes.to_string(),
    ),
    setting(
        "limits",
        "header_timeout",
        |o, t| assign(&mut o.limits.header_timeout, parse_timeout(t)),
        |o| format_millis(o.limits.header_timeout),
    ),
    setting(
        "limits",
        "transfer_grace",
        |o, t| assign(&mut o.limits.transfer_grace, parse_timeout(t)),
        |o| format_millis(o.limits.transfer_grace),
    ),
    setting(
        "limits",
        "min_transfer_rate",
        |o, t| assign(&mut o.limits.min_transfer_rate, parse_size(t, 1, 1024 * 1024)),
        |o| o.limits.min_transfer_rate.to_string(),
    ),
    setting(
        "log",
        "format",
        |o, t| assign(&mut o.log.json, fields::word(&[("text", false), ("json", true)])(t)),
        |o| if o.log.json { "json" } else { "text" }.to_owned(),
    ),
    setting(
        "log",
        "filter",
        |o, t| assign(&mut o.log.filter, parse_filter(t)),
        |o| o.log.filter.clone(),
    ),
];

/// All settings with their defaults.
pub fn setting_reference() -> Vec<SettingReference> {
    let defaults = Options::default();
    let to_reference = |s: &Setting| SettingReference {
        section: s.section,
        key: s.key,
        default: (!s.is_required).then(|| (s.format_value)(&defaults)),
    };
    SETTINGS.iter().map(to_reference).collect()
}

impl Options {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Options, DaemonError> {
        let text = fs::read_to_string(path)
            .map_err(|source| DaemonError::ReadSettings { path: path.to_owned(), source })?;
        Options::parse(&text, &path.display().to_string())
    }

    /// Parses and validates the text of a settings file; `file` is its name in errors.
    pub fn parse(text: &str, file: &str) -> Result<Options, DaemonError> {
        let (sections, faults) = ini::parse(text);
        if let Some(fault) = faults.first() {
            let entry = Entry { key: "", value: "", line: fault.line };
            return Err(setting_error(
                file,
                "",
                entry,
                fault.text.trim_end_matches('.').to_owned(),
            ));
        }
        let mut cfg = Options::default();
        let mut present: Vec<(&str, &str)> = Vec::new();
        for section in &sections {
            if !section.name.is_empty() || !SETTINGS.iter().any(|s| s.section == section.kind) {
                let entry = Entry { key: "", value: "", line: section.line };
                let heading = format!("{} {}", section.kind, section.name);
                return Err(setting_error(file, heading.trim(), entry, unknown_section()));
            }
            for entry in &section.entries {
                let found =
                    SETTINGS.iter().find(|s| s.section == section.kind && s.key == entry.key);
                let Some(setting) = found else {
                    let allowed = unknown_setting(section.kind);
                    return Err(setting_error(file, section.kind, *entry, allowed));
                };
                if present.contains(&(setting.section, setting.key)) {
                    let allowed = "a setting may be given only once".to_owned();
                    return Err(setting_error(file, section.kind, *entry, allowed));
                }
                present.push((setting.section, setting.key));
                (setting.set)(&mut cfg, entry.value)
                    .map_err(|allowed| setting_error(file, section.kind, *entry, allowed))?;
            }
        }
        let absent =
            SETTINGS.iter().find(|s| s.is_required && !present.contains(&(s.section, s.key)));
        if let Some(s) = absent {
            let line = text.lines().count() as u32;
            let entry = Entry { key: s.key, value: "", line };
            return Err(setting_error(
                file,
                s.section,
                entry,
                "this setting is required".to_owned(),
            ));
        }
        Ok(cfg)
    }
}

fn setting_error(file: &str, section: &str, entry: Entry<'_>, allowed: String) -> DaemonError {
    let is_secret = entry.key.contains("secret");
    DaemonError::Setting {
        file: file.to_owned(),
        line: entry.line,
        section: section.to_owned(),
        key: entry.key.to_owned(),
        value: if is_secret { "(hidden)".to_owned() } else { entry.value.to_owned() },
        allowed,
    }
}

fn unknown_setting(section: &str) -> String {
    let keys: Vec<_> = SETTINGS.iter().filter(|s| s.section == section).map(|s| s.key).collect();
    format!("there is no such setting; known are {}", keys.join(", "))
}

fn unknown_section() -> String {
    let mut known: Vec<_> = SETTINGS.iter().map(|s| s.section).collect();
    known.dedup();
    format!("there is no such section; known are {}", known.join(", "))
}

fn format_millis(span: Duration) -> String {
    format!("{} ms", span.as_millis())
}

fn parse_filter(text: &str) -> Result<String, String> {
    EnvFilter::try_new(text)
        .map(|_| text.to_owned())
        .map_err(|_| "a filter such as 'info' or 'warn,jasminestage_daemon=info' is allowed".into())
}

fn assign<T>(to: &mut T, value: Result<T, String>) -> Result<(), String> {
    *to = value?;
    Ok(())
}

fn parse_stop_delay(text: &str) -> Result<Duration, String> {
    match fields::duration(text) {
        Ok(delay) if delay >= ANSWER_LIFETIME => Ok(delay),
        _ => Err(format!(
            "at least {} s, the lifetime of look-ups, is allowed",
            ANSWER_LIFETIME.as_secs()
        )),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    fields::typed("an IP address with a port is allowed")(text)
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',').map(str::trim).filter(|t| !t.is_empty()).map(parse_address).collect()
}

fn parse_secret(text: &str) -> Result<&str, String> {
    if text.chars().count() < MIN_SECRET_CHARS {
        return Err(format!("a secret of at least {MIN_SECRET_CHARS} characters is allowed"));
    }
    Ok(text)
}

fn parse_url(text: &str) -> Result<String, String> {
    match reqwest::Url::parse(text) {
        Ok(url) if url.scheme() == "http" => Ok(text.trim_end_matches('/').to_owned()),
        _ => Err("an http:// URL is allowed".to_owned()),
    }
}

fn parse_timeout(text: &str) -> Result<Duration, String> {
    let timeout = fields::duration(text)?;
    if timeout < MIN_TIMEOUT {
        return Err(format!("a time of at least {} is allowed", format_millis(MIN_TIMEOUT)));
    }
    Ok(timeout)
}

fn parse_size(text: &str, min: u64, max: u64) -> Result<usize, String> {
    fields::number(min, max)(text).map(|n| n as usize)
}
