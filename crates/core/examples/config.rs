//! Figures of the configuration: a change at the target's size, calls to the store and messages
//! against the number of hosts, and what a failure domain loses that is cut off.
//!
//! `cargo run --release -p jasminestage-core --example config`

#![allow(clippy::disallowed_types, reason = "a figure of real time")]

#[path = "../tests/config_net/mod.rs"]
mod config_net;

use std::{collections::BTreeSet, time::Duration, time::Instant as WallClock};

use config_net::{Faults, Net, declaration};
use jasminestage_core::{
    config::{AppliedDeclaration, ChunkHash, Root, chunk::Chunk, split},
    control::{Control, Input},
    host::{HostInfo, Incarnation},
    time::Instant,
    world,
};

/// Client blocks at the target's size.
const BLOCKS: u32 = 420_000;
const SECOND: Duration = Duration::from_secs(1);

fn target(changed: u32) -> String {
    let mut text = String::new();
    for r in 0..22 {
        text.push_str(&format!("[region r{r}]\n"));
    }
    for d in 0..71 {
        text.push_str(&format!("[domain d{d}]\nregion = r{}\nseats = 24\n", d % 22));
    }
    text.push_str("[route katalog]\naccess = keyed\nrepeat = idempotent\n[clients]\n");
    for b in 0..BLOCKS {
        let [_, x, y, z] = (b + (11 << 16)).to_be_bytes();
        let region = if b == changed { 21 } else { b % 22 };
        text.push_str(&format!("{x}.{y}.{z}.0/24 = r{region}\n"));
    }
    text
}

fn chunks_of(text: &str) -> (Vec<Chunk>, Vec<ChunkHash>) {
    let parts = split(text);
    let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
    let chunks = bodies.map(|b| Chunk { hash: ChunkHash::of(b), body: b.to_owned() }).collect();
    (chunks, parts.index.iter().map(|b| ChunkHash::of(b)).collect())
}

fn change_at_target_size() {
    let me = HostInfo {
        name: "h".into(),
        domain: "d0".into(),
        caller_address: ([10, 0, 0, 1], 80).into(),
        peer_address: ([10, 0, 0, 1], 81).into(),
        incarnation: Incarnation(1),
    };
    let mut control = Control::new(me, &[]);
    let mut root = Root::default();
    let mut known: BTreeSet<ChunkHash> = BTreeSet::new();
    println!(
        "{BLOCKS} client blocks: chunks and bytes that a change brings, time to put it in force"
    );
    for (n, changed) in [BLOCKS, 17, 200_000, 419_999].into_iter().enumerate() {
        let text = target(changed);
        let (chunks, index) = chunks_of(&text);
        let seat_counts = world::parse(&text).expect("the declaration is valid").seat_counts();
        let limits = ChunkHash::default();
        let declared = AppliedDeclaration { index, seat_counts, authority: 3 * SECOND, limits };
        root = root.with_declaration(declared, true, &n.to_string()).expect("one table of seats");
        let named = chunks.iter().map(|c| c.hash).collect();
        let new: Vec<_> = chunks.into_iter().filter(|c| !known.contains(&c.hash)).collect();
        known = named;
        let bytes: usize = new.iter().map(|c| c.body.len()).sum();
        let root_bytes = serde_json::to_vec(&root).map_or(0, |b| b.len());
        let now = Instant::from_millis(1000 * (n as u64 + 1));
        let mut effects = Vec::new();
        let started = WallClock::now();
        control.handle(now, Input::Root { root: &root, read_started: now }, &mut effects);
        control.handle(now, Input::Chunks(&new), &mut effects);
        let took = started.elapsed().as_millis();
        assert_eq!(control.config().root.revision, root.revision, "the revision is in force");
        println!(
            "  revision {}: {} chunks, {bytes} B, root record {root_bytes} B, {took} ms",
            root.revision,
            new.len()
        );
    }
}

fn calls_against_hosts() {
    println!("two failure domains, at rest for 60 s: calls to the store and messages sent");
    for hosts in [4, 8, 16, 32] {
        let domains: Vec<&str> = (0..hosts).map(|n| ["a", "b"][n % 2]).collect();
        let mut net = Net::new(1, &domains, Faults::default());
        net.apply(&declaration(&["a", "b"], "3 s", 1));
        net.run(20 * SECOND);
        let (calls, messages) = (net.store.calls, net.messages);
        net.run(60 * SECOND);
        let calls = (net.store.calls - calls) as f64 / 60.0;
        let messages = (net.messages - messages) as f64 / 60.0 / hosts as f64;
        println!("  {hosts:>3} hosts: {calls:.2} calls/s, {messages:.1} messages/s for each host");
    }
}

fn cut_off_domain() {
    println!("a failure domain of three is cut off and a key withdrawn at that moment");
    for authority in ["1500 ms", "3 s", "10 s"] {
        let mut net = Net::new(1, &["a", "a", "b", "b", "c", "c"], Faults::default());
        net.apply(&declaration(&["a", "b", "c"], authority, 1));
        net.run(10 * SECOND);
        net.partitioned.push("b".into());
        let start = net.now;
        net.apply(&declaration(&["a", "b", "c"], authority, 2));
        let (mut lost_at, mut accepted_at) = (None, None);
        while net.now < start + 20 * SECOND {
            net.run(Duration::from_millis(20));
            let since = net.now.saturating_since(start).as_millis();
            if !net.serves(2) && !net.serves(3) {
                lost_at.get_or_insert(since);
            }
            if net.tracker.is_none() {
                accepted_at.get_or_insert(since);
            }
        }
        println!(
            "  authority {authority}: keyed routes end there after {} ms, accepted after {} ms",
            lost_at.unwrap_or_default(),
            accepted_at.unwrap_or_default()
        );
    }
}

fn main() {
    change_at_target_size();
    calls_against_hosts();
    cut_off_domain();
}
