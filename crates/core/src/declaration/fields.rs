//! Parses the values of one section and collects all errors.

use std::{str::FromStr, time::Duration};

use super::{KeyDigest, PartsPerMillion, error::ValidationError};
use crate::{
    ini::{Entry, Section},
    time::UnixMillis,
};

/// 100% in parts per million.
pub const WHOLE_PPM: PartsPerMillion = 1_000_000;

/// Reader of one section's entries.
pub struct Fields<'s, 'a> {
    section: &'s Section<'a>,
    errors: &'s mut Vec<ValidationError>,
}

impl<'s, 'a> Fields<'s, 'a> {
    /// Creates a reader that reports keys that are not in `known` and duplicate keys.
    pub fn new(
        section: &'s Section<'a>,
        known: &[&str],
        errors: &'s mut Vec<ValidationError>,
    ) -> Self {
        for (i, entry) in section.entries.iter().enumerate() {
            if !known.contains(&entry.key) {
                let text = format!(
                    "[{}] has no key '{}'; allowed: {}.",
                    section.kind,
                    entry.key,
                    known.join(", ")
                );
                errors.push(ValidationError { line: entry.line, text });
            }
            if section.entries[..i].iter().any(|e| e.key == entry.key) {
                let text =
                    format!("The key '{}' occurs twice in this section; remove one.", entry.key);
                errors.push(ValidationError { line: entry.line, text });
            }
        }
        Fields { section, errors }
    }

    /// Adds an error at a line.
    pub fn add_error(&mut self, line: u32, text: String) {
        self.errors.push(ValidationError { line, text });
    }

    /// A required value. An error of `parse` is a description of the allowed values.
    pub fn required<T>(
        &mut self,
        key: &str,
        parse: impl FnOnce(&'a str) -> Result<T, String>,
    ) -> Option<T> {
        let Some(entry) = self.section.get(key) else {
            let text =
                format!("[{} {}] needs the key '{key}'.", self.section.kind, self.section.name);
            self.add_error(self.section.line, text);
            return None;
        };
        self.parsed(entry, parse)
    }

    /// An optional value, or its default if the key is absent or the value is invalid.
    pub fn optional<T>(
        &mut self,
        key: &str,
        default: T,
        parse: impl FnOnce(&'a str) -> Result<T, String>,
    ) -> T {
        match self.section.get(key) {
            Some(entry) => self.parsed(entry, parse).unwrap_or(default),
            None => default,
        }
    }

    /// Line of a key, or of the section if the key is absent.
    pub fn line_of(&self, key: &str) -> u32 {
        self.section.get(key).map_or(self.section.line, |e| e.line)
    }

    fn parsed<T>(
        &mut self,
        entry: Entry<'a>,
        parse: impl FnOnce(&'a str) -> Result<T, String>,
    ) -> Option<T> {
        match parse(entry.value) {
            Ok(value) => Some(value),
            Err(allowed) => {
                let text =
                    format!("'{}' is not valid for '{}': {allowed}.", entry.value, entry.key);
                self.add_error(entry.line, text);
                None
            }
        }
    }
}

/// Parser for a value that implements `FromStr`.
pub fn typed<T: FromStr>(allowed: &'static str) -> impl Fn(&str) -> Result<T, String> {
    move |text| text.parse().map_err(|_| allowed.to_owned())
}

/// Parser for a whole number within bounds.
pub fn number(min: u64, max: u64) -> impl Fn(&str) -> Result<u64, String> {
    move |text| match text.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n),
        _ => Err(format!("a whole number from {min} to {max} is allowed")),
    }
}

/// Parses a name of letters, digits, `-`, `_` and `.`.
pub fn name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !text.is_empty() && text.len() <= 64 && text.chars().all(allowed) {
        Ok(text.to_owned())
    } else {
        Err("1 to 64 letters, digits, '-', '_' and '.' are allowed".to_owned())
    }
}

/// Parser for one of several words.
pub fn word<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        words.iter().find(|(w, _)| *w == text).map(|(_, value)| *value).ok_or_else(|| {
            let allowed: Vec<_> = words.iter().map(|(w, _)| *w).collect();
            format!("one of {} is allowed", allowed.join(", "))
        })
    }
}

/// Parses a duration such as `300 ms`, `2.5 s`, `10 min` or `1 h`.
pub fn duration(text: &str) -> Result<Duration, String> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (digits, unit) = text.split_at(split);
    let unit_seconds = match unit.trim() {
        "ms" => 0.001,
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => 0.0,
    };
    let duration =
        digits.parse::<f64>().ok().map(|n| Duration::try_from_secs_f64(n * unit_seconds));
    match duration {
        Some(Ok(duration)) if duration >= Duration::from_millis(1) => Ok(duration),
        _ => Err("a positive number with 'ms', 's', 'min' or 'h' is allowed".to_owned()),
    }
}

/// Parses a percentage such as `5%` or `99.95%`.
pub fn share(text: &str) -> Result<PartsPerMillion, String> {
    let percent = text.strip_suffix('%').and_then(|t| t.trim().parse::<f64>().ok());
    match percent {
        Some(p) if p > 0.0 && p <= 100.0 => Ok((p * 10_000.0).round() as PartsPerMillion),
        _ => Err("a percentage above 0% and up to 100% is allowed".to_owned()),
    }
}

/// Parses digests of keys: `sha256:` and 64 hexadecimal digits, separated by commas.
pub fn digests(text: &str) -> Result<Vec<KeyDigest>, String> {
    text.split(',').map(str::trim).filter(|t| !t.is_empty()).map(digest).collect()
}

fn digest(text: &str) -> Result<KeyDigest, String> {
    let mut out = KeyDigest::default();
    text.strip_prefix("sha256:")
        .and_then(|t| hex::decode_to_slice(t, &mut out).ok())
        .map(|()| out)
        .ok_or_else(|| "'sha256:' and 64 hexadecimal digits are allowed".to_owned())
}

/// Parses milliseconds since the Unix epoch.
pub fn unix_millis(text: &str) -> Result<UnixMillis, String> {
    text.parse().map_err(|_| "milliseconds since 1970-01-01 UTC are allowed".to_owned())
}
