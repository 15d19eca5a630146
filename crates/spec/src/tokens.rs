//! Moves of tokens between the buckets of a workspace.
//!
//! Two hosts own a part of the burst each and refill to their caps. A host asks the other one for a
//! token; answers may be lost, doubled and late; a host may die and come back empty. Requests carry
//! a number, and a host reserves room for what it asked.

use crate::checker::{Explored, explore};

/// Hosts.
const HOSTS: usize = 2;
/// Tokens that a bucket holds at most; the workspace's burst is `HOSTS * CAP`.
const CAP: u8 = 2;
/// Refills in one run: rate times time.
const REFILLS: u8 = 2;
/// Asks of one host in one run.
const ASKS: u8 = 2;

/// Which mechanisms are in place.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The sender deducts a token before it sends it.
    pub deduct_first: bool,
    /// An answer counts once, and only for the ask that is under way.
    pub answers_count_once: bool,
    /// Room for what was asked is kept free until the answer can no longer count.
    pub room_reserved: bool,
    /// A host that comes back starts with an empty bucket.
    pub start_empty: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            deduct_first: true,
            answers_count_once: true,
            room_reserved: true,
            start_empty: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    tokens: u8,
    /// Number of the ask under way.
    asking: Option<u8>,
    asked: u8,
    deaths: u8,
}

/// A message under way; it is never removed, so it may arrive late and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { from: u8, number: u8 },
    Answer { to: u8, number: u8 },
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    buckets: [Bucket; HOSTS],
    messages: Vec<Message>,
    /// Asks that were answered, so that a doubled one is not answered again.
    answered: Vec<Message>,
    refills: u8,
    spent: u8,
}

/// Explores the protocol under `rules`.
pub fn check(rules: &Rules) -> Explored<State> {
    let full = Bucket { tokens: CAP, asking: None, asked: 0, deaths: 0 };
    let initial = State {
        buckets: [full; HOSTS],
        messages: Vec::new(),
        answered: Vec::new(),
        refills: 0,
        spent: 0,
    };
    explore(initial, |s| successors(s, rules), |s| broken(s, rules))
}

fn broken(state: &State, rules: &Rules) -> Option<&'static str> {
    let burst = HOSTS as u8 * CAP;
    if state.spent > burst + state.refills {
        return Some("more was spent than burst and rate allow");
    }
    let held: u8 = state.buckets.iter().map(|b| b.tokens).sum();
    let reserved = |b: &Bucket| u8::from(b.asking.is_some() && rules.room_reserved);
    let room: u8 = state.buckets.iter().map(reserved).sum();
    if held + room > burst {
        return Some("more tokens are held than the burst");
    }
    let free = held + state.spent > burst + state.refills;
    free.then_some("tokens were made from nothing")
}

fn successors(state: &State, rules: &Rules) -> Vec<State> {
    let mut next = Vec::new();
    for host in 0..HOSTS {
        let bucket = state.buckets[host];
        let mut push = |change: &dyn Fn(&mut State)| {
            let mut s = state.clone();
            change(&mut s);
            next.push(s);
        };
        let reserved = u8::from(bucket.asking.is_some() && rules.room_reserved);
        if state.refills < REFILLS {
            push(&|s| {
                s.refills += 1;
                let b = &mut s.buckets[host];
                b.tokens = (b.tokens + 1).min(CAP - reserved).max(b.tokens);
            });
        }
        if bucket.tokens > 0 {
            push(&|s| {
                s.buckets[host].tokens -= 1;
                s.spent += 1;
            });
        }
        if bucket.asking.is_none() && bucket.asked < ASKS && bucket.tokens < CAP {
            push(&|s| {
                let b = &mut s.buckets[host];
                b.asked += 1;
                b.asking = Some(b.asked);
                add(&mut s.messages, Message::Ask { from: host as u8, number: b.asked });
            });
        }
        if bucket.asking.is_some() {
            push(&|s| s.buckets[host].asking = None);
        }
        if bucket.deaths == 0 {
            push(&|s| {
                let b = &mut s.buckets[host];
                b.tokens = if rules.start_empty { 0 } else { CAP };
                b.asking = None;
                b.deaths = 1;
            });
        }
    }
    for message in &state.messages {
        next.extend(deliver(state, *message, rules));
    }
    next
}

fn deliver(state: &State, message: Message, rules: &Rules) -> Option<State> {
    let mut s = state.clone();
    match message {
        Message::Ask { from, number } => {
            let giver = &mut s.buckets[1 - usize::from(from)];
            let seen = rules.answers_count_once && s.answered.contains(&message);
            if giver.tokens == 0 || seen {
                return None;
            }
            if rules.deduct_first {
                giver.tokens -= 1;
            }
            add(&mut s.answered, message);
            add(&mut s.messages, Message::Answer { to: from, number });
        }
        Message::Answer { to, number } => {
            let taker = &mut s.buckets[usize::from(to)];
            if rules.answers_count_once && taker.asking != Some(number) {
                return None;
            }
            if !rules.room_reserved || taker.tokens < CAP {
                taker.tokens += 1;
            }
            taker.asking = None;
        }
    }
    Some(s)
}

fn add(messages: &mut Vec<Message>, message: Message) {
    if let Err(at) = messages.binary_search(&message) {
        messages.insert(at, message);
    }
}
