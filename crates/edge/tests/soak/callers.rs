//! Callers that keep connections open, and what they and the servers saw.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::Method;
use jasminestage_platform_standin::{
    backend::Backend,
    caller::{CALLER_TIMEOUT, Caller},
    fleet::API_KEY,
};
use tokio::{task::JoinHandle, time::Instant};

/// Callers of each host and kind of request.
const CALLERS: usize = 2;
/// Time within which an answer must come, after the caller's patience.
const SLACK: Duration = Duration::from_millis(1500);

/// One request as its caller saw it.
#[derive(Clone, Debug)]
struct Asked {
    id: String,
    host: usize,
    booking: bool,
    sent: Instant,
    ended: Instant,
    /// Status, and whether it was the server's whole answer; none when the connection ended.
    answer: Option<(u16, bool)>,
    /// No answer came at all in time.
    late: bool,
}

/// What the callers saw, and when hosts were harmed.
#[derive(Default)]
pub struct Ledger {
    asked: Mutex<Vec<Asked>>,
    harmed: Mutex<HashMap<usize, Vec<(Instant, Instant)>>>,
}

impl Ledger {
    /// Notes that a host is killed or paused until some time: its callers may be cut off.
    pub fn note_harm(&self, host: usize, until: Instant) {
        let mut harmed = self.harmed.lock().unwrap_or_else(PoisonError::into_inner);
        harmed.entry(host).or_default().push((Instant::now(), until));
    }

    fn is_harmed(&self, asked: &Asked) -> bool {
        let harmed = self.harmed.lock().unwrap_or_else(PoisonError::into_inner);
        harmed.get(&asked.host).is_some_and(|spans| {
            spans.iter().any(|(from, to)| asked.sent <= *to && *from <= asked.ended)
        })
    }

    /// Checks the promises.
    pub fn check(&self, seed: u64, servers: &[Backend], history: &[String]) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for server in servers {
            for (id, list) in server.executed_requests() {
                *runs.entry(id).or_default() += list.len();
                for run in list {
                    let headers = format!("{:?}", run.headers);
                    assert!(!headers.contains(API_KEY), "seed {seed}: a server saw a key");
                    assert_eq!(run.headers["jasminestage-tenant-id"], "w", "seed {seed}");
                }
            }
        }
        let asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        let mut broken = Vec::new();
        for request in asked.iter() {
            let ran = runs.get(&request.id).copied().unwrap_or(0);
            if request.booking && ran > 1 {
                broken.push(format!("ran {ran} times: {request:?}"));
            }
            match request.answer {
                Some((200, false)) => broken.push(format!("not the whole answer: {request:?}")),
                Some((429 | 503, _)) if request.booking && ran > 0 => {
                    broken.push(format!("refused and ran: {request:?}"));
                }
                None if !self.is_harmed(request) && ran > 0 && !request.late => {
                    broken.push(format!("cut after it was passed on: {request:?}"));
                }
                None if !self.is_harmed(request) && request.late => {
                    broken.push(format!("never answered: {request:?}"));
                }
                _ => {}
            }
        }
        let served = asked.iter().filter(|a| a.answer.is_some_and(|a| a.1)).count();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}\nfaults: {history:#?}");
        let mut ends: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for request in asked.iter() {
            *ends.entry(request.answer.map(|(status, _)| status)).or_default() += 1;
        }
        let of = asked.len();
        assert!(served * 3 > of, "seed {seed}: {served} of {of} served: {ends:?}\n{history:#?}");
    }
}

/// Starts callers of all hosts.
pub fn start(hosts: &[SocketAddr], ledger: &Arc<Ledger>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (host, address) in hosts.iter().enumerate() {
        for n in 0..CALLERS * 2 {
            let (ledger, address) = (Arc::clone(ledger), *address);
            tasks.push(tokio::spawn(call(host, address, n, ledger)));
        }
    }
    tasks
}

async fn call(host: usize, address: SocketAddr, caller: usize, ledger: Arc<Ledger>) {
    let booking = caller.is_multiple_of(2);
    let (method, path) = match booking {
        true => (Method::POST, "/book/x"),
        false => (Method::GET, "/read/x"),
    };
    let mut connection: Option<Caller> = None;
    for n in 0.. {
        if connection.is_none() {
            let connected = tokio::time::timeout(CALLER_TIMEOUT, Caller::connect(address)).await;
            connection = connected.ok().flatten();
        }
        let Some(open) = connection.as_mut() else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let id = format!("{host}-{caller}-{n}");
        let sent = Instant::now();
        let sending = open.send(method.clone(), path, &id, API_KEY, "body");
        let answered = tokio::time::timeout(CALLER_TIMEOUT + SLACK, sending).await;
        let late = answered.is_err();
        let answer = answered.ok().flatten().map(|a| (a.status, a.is_complete(&id)));
        if answer.is_none() {
            connection = None;
        }
        let ended = Instant::now();
        let asked = Asked { id, host, booking, sent, ended, answer, late };
        ledger.asked.lock().unwrap_or_else(PoisonError::into_inner).push(asked);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
