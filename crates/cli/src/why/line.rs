//! Log lines of hosts.

use std::io::{self, BufRead};

use jiff::Timestamp;
use serde::Serialize;
use serde_json::{Map, Value};

/// One log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Where it stands: the name of the file, or what precedes the JSON on the line.
    pub source: String,
    /// When it was written, by the clock of its host.
    pub at: Timestamp,
    /// Number of the event.
    pub event: u64,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// The text of a field; empty when it is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// The whole number in a field; 0 when it is missing.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// A field as it stands in the line; `unknown` when it is missing.
    pub fn value(&self, field: &str) -> String {
        self.fields.get(field).map_or_else(|| "unknown".to_owned(), Value::to_string)
    }

    /// The line for people.
    pub fn describe(&self) -> String {
        let hidden = ["timestamp", "level", "message", "event", "request"];
        let fields = self.fields.iter().filter(|(name, _)| !hidden.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let Line { source, at, event, .. } = self;
        format!("{at} {source} [{event}] {} {}", self.text("message"), fields.join(" "))
    }
}

/// Reads the lines of one file. Lines that are no events are passed over; text before the JSON, such
/// as the name of a host, goes before the name of the file.
///
/// # Errors
///
/// Fails when the file cannot be read.
pub fn read(name: &str, file: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in file.lines() {
        lines.extend(parse(name, &text?));
    }
    Ok(lines)
}

fn parse(name: &str, text: &str) -> Option<Line> {
    let (before, json) = text.split_at(text.find('{')?);
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let at = fields.get("timestamp")?.as_str()?.parse().ok()?;
    let event = fields.get("event")?.as_u64()?;
    let host = before.split_whitespace().last();
    Some(Line { source: host.unwrap_or(name).to_owned(), at, event, fields })
}
