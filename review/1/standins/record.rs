//! What was sent, answered and run, with the time since the start.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A run of a request at a server.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub server: String,
    pub request: String,
    pub body: Vec<u8>,
}

/// How a client's request ended.
#[derive(Clone, PartialEq)]
pub enum End {
    Status(u16),
    /// The connection ended before a complete answer.
    Closed,
    /// No answer before the client's deadline.
    Deadline,
}

/// A request of a client.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    pub to: SocketAddr,
    pub end: Option<End>,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
    runs: Mutex<Vec<Run>>,
    sent: Mutex<Vec<Sent>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            sent: Mutex::default(),
        }
    }

    pub fn line(&self, text: &str) {
        self.lines
            .lock()
            .expect("no thread panicked")
            .push((self.start.elapsed(), text.to_owned()));
    }

    pub fn run(&self, run: Run) {
        let (id, server, request, len) = (&run.id, &run.server, &run.request, run.body.len());
        self.line(&format!("{id} runs at {server}: {request}, {len} bytes of body"));
        self.runs.lock().expect("no thread panicked").push(run);
    }

    pub fn sent(&self, id: &str, to: SocketAddr) {
        self.line(&format!("{id} is sent to {to}"));
        let sent = Sent { at: Instant::now(), id: id.to_owned(), to, end: None };
        self.sent.lock().expect("no thread panicked").push(sent);
    }

    pub fn ended(&self, id: &str, end: End) {
        let text = match &end {
            End::Status(status) => format!("is answered {status}"),
            End::Closed => "gets no complete answer: its connection ends".to_owned(),
            End::Deadline => "gets no answer before its deadline".to_owned(),
        };
        self.line(&format!("{id} {text}"));
        let mut all = self.sent.lock().expect("no thread panicked");
        if let Some(sent) = all.iter_mut().rev().find(|s| s.id == id) {
            sent.end = Some(end);
        }
    }

    pub fn all_runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panicked").clone()
    }

    pub fn all_sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no thread panicked").clone()
    }

    /// Writes the record in the order of time.
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("no thread panicked").clone();
        lines.sort();
        let text: String =
            lines.iter().map(|(at, l)| format!("{:8.3} s  {l}\n", at.as_secs_f64())).collect();
        if let Err(e) = std::fs::write(path, text) {
            eprintln!("writing {path} failed: {e}");
        }
    }
}
