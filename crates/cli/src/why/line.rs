//! Parses the log lines of hosts.

use std::io::{self, BufRead};

use jiff::Timestamp;
use serde::Serialize;
use serde_json::{Map, Value};

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Origin of the line: the last word before the JSON, or the name of the file without one.
    pub source: String,
    /// Time of the line, by the clock of its host.
    #[serde(rename = "at")]
    pub timestamp: Timestamp,
    /// Number of the event.
    pub event: u64,
    /// All fields of the JSON.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the text of a field; empty when it is missing or no text.
    pub fn str_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the whole number in a field; 0 when it is missing or no such number.
    pub fn u64_field(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Returns a field as JSON; `unknown` when it is missing.
    pub fn raw_field(&self, field: &str) -> String {
        self.fields.get(field).map_or_else(|| "unknown".to_owned(), Value::to_string)
    }

    /// Formats the line for text output.
    pub fn describe(&self) -> String {
        let omitted = ["timestamp", "level", "message", "event", "request"];
        let fields = self.fields.iter().filter(|(name, _)| !omitted.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let LogLine { source, timestamp, event, .. } = self;
        format!("{timestamp} {source} [{event}] {} {}", self.str_field("message"), fields.join(" "))
    }
}

/// Reads the log lines of one file and skips lines that are no events. The source of a line is the
/// last word before its JSON, such as the name of a host, or `name` without one.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn read_log(name: &str, file: impl BufRead) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for text in file.lines() {
        lines.extend(parse(name, &text?));
    }
    Ok(lines)
}

fn parse(name: &str, text: &str) -> Option<LogLine> {
    let (prefix, json) = text.split_at(text.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let timestamp = fields.get("timestamp")?.as_str()?.parse().ok()?;
    let event = fields.get("event")?.as_u64()?;
    let host = prefix.split_whitespace().last();
    Some(LogLine { source: host.unwrap_or(name).to_owned(), timestamp, event, fields })
}
