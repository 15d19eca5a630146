//! Callers with persistent connections, and the check of what they and the servers recorded.

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

use crate::departure::{DRAIN_LIMIT, Departure};

/// Number of callers per host and kind of request.
const CALLERS_PER_KIND: usize = 2;
/// Time after the caller's timeout within which a response must still arrive.
const RESPONSE_SLACK: Duration = Duration::from_millis(1500);

/// Result of one request as recorded by its caller.
#[derive(Clone, Debug)]
struct RequestRecord {
    id: String,
    host: usize,
    at_most_once: bool,
    sent_at: Instant,
    ended_at: Instant,
    /// Status, and whether the complete response of a server arrived; `None` without a response.
    response: Option<(u16, bool)>,
    /// Whether the caller gave up because no response arrived in time.
    timed_out: bool,
}

/// Results of all requests, and the periods in which hosts were killed or paused.
#[derive(Default)]
pub struct RequestLog {
    requests: Mutex<Vec<RequestRecord>>,
    disruptions: Mutex<HashMap<usize, Vec<(Instant, Instant)>>>,
}

impl RequestLog {
    /// Records that a host is killed or paused until `until`; its callers may lose their
    /// connections without a response.
    pub fn record_disruption(&self, host: usize, until: Instant) {
        let mut disruptions = self.disruptions.lock().unwrap_or_else(PoisonError::into_inner);
        disruptions.entry(host).or_default().push((Instant::now(), until));
    }

    /// Whether the host of a request was killed or paused during the request.
    fn was_disrupted(&self, record: &RequestRecord) -> bool {
        self.is_disrupted(record.host, (record.sent_at, record.ended_at))
    }

    /// Whether a host was killed or paused between two moments.
    pub fn is_disrupted(&self, host: usize, (first, last): (Instant, Instant)) -> bool {
        let disruptions = self.disruptions.lock().unwrap_or_else(PoisonError::into_inner);
        disruptions
            .get(&host)
            .is_some_and(|spans| spans.iter().any(|(from, to)| first <= *to && *from <= last))
    }

    /// Checks the guarantees: requests that must run at most once run at most once, and 429 and 503
    /// mean that such a request did not run; responses are complete; unless its host was disrupted,
    /// every request that ran gets a response in time; servers receive the workspace but no keys;
    /// and more than a third of the requests are served.
    pub fn check(&self, seed: u64, servers: &[Backend], history: &[String]) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for server in servers {
            for (id, list) in server.executed_requests() {
                *runs.entry(id).or_default() += list.len();
                for run in list {
                    let headers = format!("{:?}", run.headers);
                    assert!(!headers.contains(API_KEY), "seed {seed}: a server received a key");
                    assert_eq!(run.headers["jasminestage-tenant-id"], "w", "seed {seed}");
                }
            }
        }
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let mut violations = Vec::new();
        for request in requests.iter() {
            let run_count = runs.get(&request.id).copied().unwrap_or(0);
            if request.at_most_once && run_count > 1 {
                violations.push(format!("ran {run_count} times: {request:?}"));
            }
            match request.response {
                Some((200, false)) => violations.push(format!("incomplete response: {request:?}")),
                Some((429 | 503, _)) if request.at_most_once && run_count > 0 => {
                    violations.push(format!("refused but ran: {request:?}"));
                }
                None if !self.was_disrupted(request) && run_count > 0 && !request.timed_out => {
                    violations.push(format!(
                        "connection closed without a response after the request ran: {request:?}"
                    ));
                }
                None if !self.was_disrupted(request) && request.timed_out => {
                    violations.push(format!("no response in time: {request:?}"));
                }
                _ => {}
            }
        }
        let served = requests
            .iter()
            .filter(|request| request.response.is_some_and(|response| response.1))
            .count();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}\nfaults: {history:#?}");
        let mut outcomes: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for request in requests.iter() {
            *outcomes.entry(request.response.map(|(status, _)| status)).or_default() += 1;
        }
        let total = requests.len();
        assert!(
            served * 3 > total,
            "seed {seed}: {served} of {total} requests served: {outcomes:?}\n{history:#?}"
        );
    }

    /// Checks that a draining server ran no request that was sent after all hosts had to know of its
    /// report.
    pub fn check_departure(&self, seed: u64, servers: &[Backend], departure: &Departure) {
        let runs = servers[departure.server].executed_requests();
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let late = |request: &&RequestRecord| {
            request.sent_at > departure.at + DRAIN_LIMIT
                && runs.contains_key(&request.id)
                && !self.was_disrupted(request)
        };
        let late: Vec<&RequestRecord> = requests.iter().filter(late).collect();
        assert!(late.is_empty(), "seed {seed}: {departure:?}: sent to it late: {late:#?}");
        let judged = requests.iter().filter(|r| r.sent_at > departure.at + DRAIN_LIMIT).count();
        assert!(judged > 0, "seed {seed}: no request was sent after the limit");
    }
}

/// Starts the callers of all hosts.
pub fn start(hosts: &[SocketAddr], request_log: &Arc<RequestLog>) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for (host, address) in hosts.iter().enumerate() {
        for n in 0..CALLERS_PER_KIND * 2 {
            let (request_log, address) = (Arc::clone(request_log), *address);
            tasks.push(tokio::spawn(send_requests(host, address, n, request_log)));
        }
    }
    tasks
}

async fn send_requests(
    host: usize,
    address: SocketAddr,
    caller: usize,
    request_log: Arc<RequestLog>,
) {
    let at_most_once = caller.is_multiple_of(2);
    let (method, path) = match at_most_once {
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
        let sent_at = Instant::now();
        let request = open.send(method.clone(), path, &id, API_KEY, "body");
        let result = tokio::time::timeout(CALLER_TIMEOUT + RESPONSE_SLACK, request).await;
        let timed_out = result.is_err();
        let response = result.ok().flatten().map(|a| (a.status, a.is_complete(&id)));
        if response.is_none() {
            connection = None;
        }
        let ended_at = Instant::now();
        let record =
            RequestRecord { id, host, at_most_once, sent_at, ended_at, response, timed_out };
        request_log.requests.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
