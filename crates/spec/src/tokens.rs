//! Transfers of tokens between the token buckets of a workspace.
//!
//! There are two hosts, each with a bucket for half of the burst, which refills up to its capacity.
//! A host requests a token from the other one. Messages may be lost, duplicated and delayed. A host
//! may restart, with an empty bucket. Requests are numbered, and a host reserves capacity for the
//! token that it requested.

use crate::checker::{Exploration, explore};

/// Number of hosts.
const HOSTS: usize = 2;
/// Capacity of a bucket in tokens; the workspace's burst is `HOSTS * CAPACITY`.
const CAPACITY: u8 = 2;
/// Tokens that are refilled in one run: the rate multiplied by the length of the run.
const MAX_REFILLS: u8 = 2;
/// Number of token requests that a host may send in one run.
const MAX_REQUESTS: u8 = 2;

/// Enabled mechanisms.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// A host deducts a token from its bucket before it sends it.
    pub deducted_before_sending: bool,
    /// A request is granted once, and a response counts only for the pending request.
    pub responses_count_once: bool,
    /// Capacity for the requested token is kept free until its response can no longer count.
    pub capacity_reserved: bool,
    /// A host starts with an empty bucket after a restart.
    pub restart_empty: bool,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            deducted_before_sending: true,
            responses_count_once: true,
            capacity_reserved: true,
            restart_empty: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    tokens: u8,
    /// Sequence number of the token request that has no response yet.
    pending_request: Option<u8>,
    requests_sent: u8,
    restarts: u8,
}

/// A sent message; it is never removed, so it may arrive late and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { from: u8, number: u8 },
    Response { to: u8, number: u8 },
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    buckets: [Bucket; HOSTS],
    messages: Vec<Message>,
    /// Granted requests, kept so that a duplicate is not granted again.
    granted_requests: Vec<Message>,
    refills: u8,
    spent: u8,
}

/// Explores the protocol with the mechanisms of `model`.
pub fn check(model: &Model) -> Exploration<State> {
    let full = Bucket { tokens: CAPACITY, pending_request: None, requests_sent: 0, restarts: 0 };
    let initial = State {
        buckets: [full; HOSTS],
        messages: Vec::new(),
        granted_requests: Vec::new(),
        refills: 0,
        spent: 0,
    };
    explore(initial, |s| successors(s, model), |s| violated_invariant(s, model))
}

fn violated_invariant(state: &State, model: &Model) -> Option<&'static str> {
    let burst = HOSTS as u8 * CAPACITY;
    if state.spent > burst + state.refills {
        return Some("more tokens were spent than burst and rate allow");
    }
    let held: u8 = state.buckets.iter().map(|b| b.tokens).sum();
    let reserved = |b: &Bucket| u8::from(b.pending_request.is_some() && model.capacity_reserved);
    let reserved_tokens: u8 = state.buckets.iter().map(reserved).sum();
    if held + reserved_tokens > burst {
        return Some("the buckets hold and reserve more tokens than the burst");
    }
    let surplus = held + state.spent > burst + state.refills;
    surplus.then_some("more tokens exist than burst and rate provide")
}

fn successors(state: &State, model: &Model) -> Vec<State> {
    let mut next = Vec::new();
    for host in 0..HOSTS {
        let bucket = state.buckets[host];
        let mut push = |update: &dyn Fn(&mut State)| {
            let mut s = state.clone();
            update(&mut s);
            next.push(s);
        };
        let reserved = u8::from(bucket.pending_request.is_some() && model.capacity_reserved);
        if state.refills < MAX_REFILLS {
            push(&|s| {
                s.refills += 1;
                let b = &mut s.buckets[host];
                b.tokens = (b.tokens + 1).min(CAPACITY - reserved).max(b.tokens);
            });
        }
        if bucket.tokens > 0 {
            push(&|s| {
                s.buckets[host].tokens -= 1;
                s.spent += 1;
            });
        }
        if bucket.pending_request.is_none()
            && bucket.requests_sent < MAX_REQUESTS
            && bucket.tokens < CAPACITY
        {
            push(&|s| {
                let b = &mut s.buckets[host];
                b.requests_sent += 1;
                b.pending_request = Some(b.requests_sent);
                insert_sorted(
                    &mut s.messages,
                    Message::Request { from: host as u8, number: b.requests_sent },
                );
            });
        }
        if bucket.pending_request.is_some() {
            push(&|s| s.buckets[host].pending_request = None);
        }
        if bucket.restarts == 0 {
            push(&|s| {
                let b = &mut s.buckets[host];
                b.tokens = if model.restart_empty { 0 } else { CAPACITY };
                b.pending_request = None;
                b.restarts = 1;
            });
        }
    }
    for message in &state.messages {
        next.extend(deliver(state, *message, model));
    }
    next
}

fn deliver(state: &State, message: Message, model: &Model) -> Option<State> {
    let mut s = state.clone();
    match message {
        Message::Request { from, number } => {
            let granting_bucket = &mut s.buckets[1 - usize::from(from)];
            let is_duplicate = model.responses_count_once && s.granted_requests.contains(&message);
            if granting_bucket.tokens == 0 || is_duplicate {
                return None;
            }
            if model.deducted_before_sending {
                granting_bucket.tokens -= 1;
            }
            insert_sorted(&mut s.granted_requests, message);
            insert_sorted(&mut s.messages, Message::Response { to: from, number });
        }
        Message::Response { to, number } => {
            let requesting_bucket = &mut s.buckets[usize::from(to)];
            if model.responses_count_once && requesting_bucket.pending_request != Some(number) {
                return None;
            }
            if !model.capacity_reserved || requesting_bucket.tokens < CAPACITY {
                requesting_bucket.tokens += 1;
            }
            requesting_bucket.pending_request = None;
        }
    }
    Some(s)
}

fn insert_sorted(messages: &mut Vec<Message>, message: Message) {
    if let Err(at) = messages.binary_search(&message) {
        messages.insert(at, message);
    }
}
