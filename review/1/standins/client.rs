//! Stand-in of a client, after the page PROTOCOL.md.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head};
use crate::record::{End, Record};

/// Time that a client gives a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, deadline: Duration) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIME).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(deadline)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, reader })
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads one answer.
    pub fn read(&mut self) -> End {
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return End::Closed,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => return End::Deadline,
            Err(_) => return End::Closed,
        };
        match read_body(&mut self.reader, &head) {
            Ok(_) => End::Status(head.status()),
            Err(_) => End::Closed,
        }
    }
}

/// Head of a request.
pub fn head(method: &str, path: &str, id: &str, deadline: Duration, body_len: usize) -> String {
    let deadline = deadline.as_millis();
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {body_len}\r\n") };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nJasminestage-Request-Id: {id}\r\nJasminestage-Deadline-Ms: {deadline}\r\n{length}\r\n"
    )
}

/// Bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline: Duration, body: &[u8]) -> Vec<u8> {
    [head(method, path, id, deadline, body.len()).as_bytes(), body].concat()
}

/// Sends one request on a new connection and waits for its end.
pub fn send(record: &Record, to: SocketAddr, path: &str, id: &str, deadline: Duration) -> End {
    let is_safe = path.starts_with("/read/");
    let (method, body) = if is_safe { ("GET", &b""[..]) } else { ("POST", &b"one crew"[..]) };
    let Some(mut client) = Client::connect(to, deadline) else {
        record.line(&format!("{id} finds no connection to {to}"));
        return End::Closed;
    };
    record.sent(id, to);
    client.write(&request(method, path, id, deadline, body));
    let end = client.read();
    record.ended(id, end.clone());
    end
}
