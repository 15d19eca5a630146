//! Minimal JSON and base64, enough for the calls of a host to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Json {
        let mut at = 0;
        value(bytes, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(t) => t.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = value(b, at)? else { return None };
                        skip(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, value(b, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return Some(Json::Text(String::from_utf8(text).ok()?)),
                    b'\\' => {
                        let escaped = *b.get(*at)?;
                        *at += 1;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                    }
                    other => text.push(other),
                }
            }
        }
        b't' => word(at, 4, Json::Bool),
        b'f' => word(at, 5, Json::Bool),
        b'n' => word(at, 4, Json::Null),
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn word(at: &mut usize, len: usize, json: Json) -> Option<Json> {
    *at += len;
    Some(json)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().enumerate().fold(0u32, |n, (i, b)| n | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|d| *d == c) else { continue };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits & 255) as u8);
        }
    }
    out
}
