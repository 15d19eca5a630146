//! Measures the configuration: the cost of a change in a declaration of the target size, store
//! calls and messages by number of hosts, and how long a partitioned failure domain serves keyed
//! routes.
//!
//! `cargo run --release -p jasminestage-core --example config`

#![allow(clippy::disallowed_types, reason = "measures real time")]

#[path = "../tests/config_net/mod.rs"]
mod config_net;

use std::{collections::BTreeSet, time::Duration, time::Instant as WallClock};

use config_net::{Faults, Net, declaration_text};
use jasminestage_core::{
    config::{AppliedDeclaration, ChunkHash, Root, chunk::Chunk, split},
    control::{Control, Input},
    declaration,
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Number of client address blocks in a declaration of the target size.
const BLOCK_COUNT: u32 = 420_000;
const SECOND: Duration = Duration::from_secs(1);

/// Declaration of the target size, in which one block is assigned to another region.
fn target_declaration(changed_block: u32) -> String {
    let mut text = String::new();
    for region in 0..22 {
        text.push_str(&format!("[region r{region}]\n"));
    }
    for domain in 0..71 {
        text.push_str(&format!("[domain d{domain}]\nregion = r{}\nseats = 24\n", domain % 22));
    }
    text.push_str("[route katalog]\naccess = keyed\nrepeat = idempotent\n[clients]\n");
    for block in 0..BLOCK_COUNT {
        let [_, x, y, z] = (block + (11 << 16)).to_be_bytes();
        let region = if block == changed_block { 21 } else { block % 22 };
        text.push_str(&format!("{x}.{y}.{z}.0/24 = r{region}\n"));
    }
    text
}

/// Returns the chunks of a declaration, and the hashes of those that form its index.
fn split_into_chunks(text: &str) -> (Vec<Chunk>, Vec<ChunkHash>) {
    let parts = split(text);
    let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
    let chunks =
        bodies.map(|body| Chunk { hash: ChunkHash::of(body), body: body.to_owned() }).collect();
    (chunks, parts.index.iter().map(|body| ChunkHash::of(body)).collect())
}

fn measure_change_at_target_size() {
    let host_info = HostInfo {
        name: "h".into(),
        domain: "d0".into(),
        caller_address: ([10, 0, 0, 1], 80).into(),
        peer_address: ([10, 0, 0, 1], 81).into(),
        incarnation: Incarnation(1),
    };
    let mut control = Control::new(host_info, &[]);
    let mut root = Root::default();
    let mut previous_hashes: BTreeSet<ChunkHash> = BTreeSet::new();
    println!(
        "{BLOCK_COUNT} client blocks: new chunks and bytes of a change, time to put it in force"
    );
    // No block has the index `BLOCK_COUNT`, so the first declaration is the unchanged one.
    for (n, changed_block) in [BLOCK_COUNT, 17, 200_000, 419_999].into_iter().enumerate() {
        let text = target_declaration(changed_block);
        let (chunks, index) = split_into_chunks(&text);
        let seat_counts =
            declaration::parse(&text).expect("the declaration is valid").seat_counts();
        let limits = ChunkHash::default();
        let declared = AppliedDeclaration { index, seat_counts, authority: 3 * SECOND, limits };
        root = root.with_declaration(declared, true, &n.to_string()).expect("one table of seats");
        let current_hashes = chunks.iter().map(|c| c.hash).collect();
        let new_chunks: Vec<_> =
            chunks.into_iter().filter(|c| !previous_hashes.contains(&c.hash)).collect();
        previous_hashes = current_hashes;
        let bytes: usize = new_chunks.iter().map(|c| c.body.len()).sum();
        let root_bytes = serde_json::to_vec(&root).map_or(0, |bytes| bytes.len());
        let now = Instant::from_millis(1000 * (n as u64 + 1));
        let mut effects = Vec::new();
        let started = WallClock::now();
        control.handle(now, Input::Root { root: &root, read_started: now, era: 1 }, &mut effects);
        control.handle(now, Input::Chunks(&new_chunks), &mut effects);
        let elapsed_ms = started.elapsed().as_millis();
        assert_eq!(control.config().root.revision, root.revision, "the revision is in force");
        println!(
            "  revision {}: {} chunks, {bytes} B, root record {root_bytes} B, {elapsed_ms} ms",
            root.revision,
            new_chunks.len()
        );
    }
}

fn measure_calls_by_host_count() {
    println!("two failure domains, no changes for 60 s: calls to the store and messages sent");
    for hosts in [4, 8, 16, 32] {
        let domains: Vec<&str> = (0..hosts).map(|n| ["a", "b"][n % 2]).collect();
        let mut net = Net::new(1, &domains, Faults::default());
        net.apply(&declaration_text(&["a", "b"], "3 s", 1));
        net.run(20 * SECOND);
        let (calls, messages) = (net.store.calls, net.messages);
        net.run(60 * SECOND);
        let calls = (net.store.calls - calls) as f64 / 60.0;
        let messages = (net.messages - messages) as f64 / 60.0 / hosts as f64;
        println!("  {hosts:>3} hosts: {calls:.2} calls/s, {messages:.1} messages/s for each host");
    }
}

fn measure_partitioned_domain() {
    println!("one of three failure domains is partitioned and a key withdrawn at the same time");
    for authority in ["1500 ms", "3 s", "10 s"] {
        let mut net = Net::new(1, &["a", "a", "b", "b", "c", "c"], Faults::default());
        net.apply(&declaration_text(&["a", "b", "c"], authority, 1));
        net.run(10 * SECOND);
        net.partitioned.push("b".into());
        let start = net.now;
        net.apply(&declaration_text(&["a", "b", "c"], authority, 2));
        let (mut serving_ended_ms, mut accepted_ms) = (None, None);
        while net.now < start + 20 * SECOND {
            net.run(Duration::from_millis(20));
            let elapsed_ms = net.now.saturating_since(start).as_millis();
            if !net.serves(2) && !net.serves(3) {
                serving_ended_ms.get_or_insert(elapsed_ms);
            }
            if net.tracker.is_none() {
                accepted_ms.get_or_insert(elapsed_ms);
            }
        }
        println!(
            "  authority {authority}: keyed routes are refused there after {} ms, the change is accepted after {} ms",
            serving_ended_ms.unwrap_or_default(),
            accepted_ms.unwrap_or_default()
        );
    }
}

fn main() {
    measure_change_at_target_size();
    measure_calls_by_host_count();
    measure_partitioned_domain();
}
