//! Reading of HTTP/1.1 messages from a blocking socket.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Number `n` (from 0) of the words in the start line.
    pub fn word(&self, n: usize) -> &str {
        self.start.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if reader.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    if !bytes.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&bytes).trim_end().to_owned()))
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let Some(start) = line(reader)? else { return Ok(None) };
    let mut fields = Vec::new();
    loop {
        match line(reader)? {
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(l) if l.is_empty() => return Ok(Some(Head { start, fields })),
            Some(l) => {
                let (name, value) = l.split_once(':').unwrap_or((&l, ""));
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a body with a length or in chunks; a message with neither has none.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let len = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let start = body.len();
            body.resize(start + len, 0);
            reader.read_exact(&mut body[start..])?;
            line(reader)?;
            if len == 0 {
                return Ok(body);
            }
        }
    }
    let len = head.field("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    body.resize(len, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}
