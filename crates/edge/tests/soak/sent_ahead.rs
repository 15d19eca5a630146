//! Callers that send requests ahead, on connections that begin with or without a body, and that leave
//! or read to the end.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use jasminestage_platform_standin::{backend::Backend, fleet::API_KEY};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::callers::RequestLog;

/// Callers of each host.
const CALLERS: u64 = 2;
/// Time after which a caller that gets nothing more gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time from the close of a caller until servers get none of its requests. The rest is for the delay
/// between the two processes on a busy machine.
const LATE_AFTER: Duration = Duration::from_millis(700);
/// Part of the exchanges in which the caller leaves.
const LEAVING_SHARE: f64 = 0.3;

/// Requests whose caller has left, and responses that ended early.
#[derive(Default)]
pub struct SentAheadLog {
    left: Mutex<Vec<Departed>>,
    cut: Mutex<Vec<String>>,
}

struct Departed {
    id: String,
    host: usize,
    sent_at: Instant,
    left_at: Instant,
}

impl SentAheadLog {
    /// Checks that no server got a request long after its caller had left, and that no response ended
    /// early, unless the host was killed or paused.
    pub fn check(&self, seed: u64, servers: &[Backend], requests: &RequestLog) {
        let mut last_run: HashMap<String, Instant> = HashMap::new();
        for (id, runs) in servers.iter().flat_map(Backend::executed_requests) {
            for run in runs {
                let last = last_run.entry(id.clone()).or_insert(run.began_at);
                *last = (*last).max(run.began_at);
            }
        }
        let left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        let mut late = Vec::new();
        for departed in left.iter() {
            let span = (departed.sent_at, departed.left_at + READ_TIMEOUT);
            let last = last_run.get(&departed.id);
            let is_late = last.is_some_and(|at| *at > departed.left_at + LATE_AFTER);
            if is_late && !requests.is_disrupted(departed.host, span) {
                late.push(&departed.id);
            }
        }
        assert!(late.is_empty(), "seed {seed}: servers got requests after the close: {late:?}");
        let cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        assert!(cut.is_empty(), "seed {seed}: responses ended early: {cut:#?}");
    }
}

/// Starts the callers of all hosts.
pub fn start(
    seed: u64,
    hosts: &[SocketAddr],
    log: &Arc<SentAheadLog>,
    requests: &Arc<RequestLog>,
) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (host, address) in hosts.iter().enumerate() {
        for caller in 0..CALLERS {
            let rng = StdRng::seed_from_u64(seed ^ (caller << 8) ^ ((host as u64) << 16));
            let (log, requests, address) = (Arc::clone(log), Arc::clone(requests), *address);
            let name = format!("ahead-{host}-{caller}");
            tasks.push(tokio::spawn(async move {
                run(rng, &name, host, address, &log, &requests).await;
            }));
        }
    }
    tasks
}

async fn run(
    mut rng: StdRng,
    name: &str,
    host: usize,
    address: SocketAddr,
    log: &SentAheadLog,
    requests: &RequestLog,
) {
    for n in 0.. {
        sleep(Duration::from_millis(rng.random_range(10..100))).await;
        let Ok(Ok(mut stream)) = timeout(READ_TIMEOUT, TcpStream::connect(address)).await else {
            continue;
        };
        let sent_at = Instant::now();
        let count = rng.random_range(2..12);
        let begins_with_body = rng.random_bool(0.5);
        let padding = if rng.random_bool(0.3) { 3000 } else { 10 };
        let ids: Vec<String> = (0..count).map(|k| format!("{name}-{n}-{k}")).collect();
        let text: String = ids
            .iter()
            .enumerate()
            .map(|(k, id)| request(id, begins_with_body && k == 0, padding))
            .collect();
        let leaves = rng.random_bool(LEAVING_SHARE);
        if stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        if leaves {
            sleep(Duration::from_millis(rng.random_range(0..200))).await;
            drop(stream);
            let left_at = Instant::now();
            let departed = ids.into_iter().map(|id| Departed { id, host, sent_at, left_at });
            log.left.lock().unwrap_or_else(PoisonError::into_inner).extend(departed);
            continue;
        }
        if let Err(text) = read_responses(&mut stream, ids.len()).await
            && !requests.is_disrupted(host, (sent_at, Instant::now()))
        {
            let line = format!("host {host}, {}: {text}", ids[0]);
            log.cut.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    }
}

fn request(id: &str, has_body: bool, padding: usize) -> String {
    let line = if has_body { "POST /book/x" } else { "GET /read/x" };
    let (framing, body) = if has_body { ("content-length: 4\r\n", "body") } else { ("", "") };
    let padding = "x".repeat(padding);
    format!(
        "{line} HTTP/1.1\r\nhost: shop.example\r\njasminestage-request-id: {id}\r\n\
         jasminestage-deadline-ms: 3000\r\nauthorization: Token {API_KEY}\r\n\
         x-padding: {padding}\r\n{framing}\r\n{body}"
    )
}

/// Reads until all responses or one that closes the connection have arrived. The error is the text of a
/// response that ended early; an end between two responses is allowed.
async fn read_responses(stream: &mut TcpStream, count: usize) -> Result<(), String> {
    let mut buf = Vec::new();
    for _ in 0..count {
        loop {
            if let Some((len, closes)) = complete_response(&buf) {
                buf.drain(..len);
                if closes {
                    return Ok(());
                }
                break;
            }
            match timeout(READ_TIMEOUT, stream.read_buf(&mut buf)).await {
                Ok(Ok(1..)) => {}
                _ if buf.is_empty() => return Ok(()),
                end => return Err(format!("{end:?}: {}", String::from_utf8_lossy(&buf))),
            }
        }
    }
    Ok(())
}

/// Length of the response at the start of the buffer, and whether it closes the connection.
fn complete_response(buf: &[u8]) -> Option<(usize, bool)> {
    let text = String::from_utf8_lossy(buf).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let len = head.lines().find_map(|l| l.strip_prefix("content-length: "))?;
    let len: usize = len.parse().ok()?;
    (body.len() >= len).then(|| (head.len() + 4 + len, head.contains("connection: close")))
}
