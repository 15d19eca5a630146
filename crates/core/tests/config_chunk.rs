//! Splitting a declaration into chunks: guards against lost text, chunks that the store refuses for
//! their size, and small changes that replace many chunks.

use std::collections::BTreeSet;

use jasminestage_core::{
    config::{
        ChunkHash,
        chunk::{MAX_CHUNK_BYTES, read_index, split},
    },
    world::{self, BlockPart, ClientBlocks},
};

fn clients(count: u32) -> String {
    let mut text = "[region a]\n[region b]\n; blocks of clients\n[clients]\n".to_owned();
    for n in 0..count {
        let [_, x, y, z] = (n + (11 << 16)).to_be_bytes();
        text.push_str(&format!("{x}.{y}.{z}.0/24 = a\n"));
    }
    text
}

struct Case {
    name: &'static str,
    text: fn() -> String,
    /// Text that the change replaces by `to`.
    from: &'static str,
    to: &'static str,
    /// Most new chunks that the change may cause, index chunks included.
    max_new_chunks: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a key of a small declaration",
        text: || include_str!("../../../samples/lagerwerk.ini").to_owned(),
        from: "rate = 300",
        to: "rate = 301",
        max_new_chunks: 2,
    },
    Case {
        name: "one client block of many",
        text: || clients(50_000),
        from: "11.100.7.0/24 = a",
        to: "11.100.7.0/24 = b",
        max_new_chunks: 4,
    },
    Case {
        name: "an inserted client block",
        text: || clients(50_000),
        from: "11.100.7.0/24 = a",
        to: "11.100.7.0/24 = a\n11.100.7.128/25 = b",
        max_new_chunks: 4,
    },
    Case {
        name: "sections after the client blocks",
        text: || clients(1000) + "[domain d]\nregion = a\n[clients]\n10.0.0.0/8 = b\n",
        from: "region = a",
        to: "region = b",
        max_new_chunks: 2,
    },
    Case {
        name: "a line longer than a chunk",
        text: || format!("; {}\n[region a]\n", "x".repeat(3 * MAX_CHUNK_BYTES)),
        from: "[region a]",
        to: "[region b]",
        max_new_chunks: 3,
    },
    Case {
        name: "no line break at the end",
        text: || "[region a]\n[region b]".to_owned(),
        from: "[region b]",
        to: "[region c]",
        max_new_chunks: 2,
    },
];

fn hashes(text: &str) -> BTreeSet<ChunkHash> {
    let parts = split(text);
    let bodies = parts.bodies.iter().copied().chain(parts.index.iter().map(String::as_str));
    bodies.map(ChunkHash::of).collect()
}

#[test]
fn a_change_replaces_few_chunks_and_the_text_is_preserved() {
    for case in CASES {
        let text = (case.text)();
        let parts = split(&text);
        assert_eq!(parts.bodies.concat(), text, "{}", case.name);
        let listed: Vec<_> = parts.index.iter().flat_map(|body| read_index(body)).collect();
        let expected: Vec<_> = parts.bodies.iter().map(|b| ChunkHash::of(b)).collect();
        assert_eq!(listed.iter().map(|l| l.hash).collect::<Vec<_>>(), expected, "{}", case.name);
        let is_within_limit = |b: &&str| b.len() <= MAX_CHUNK_BYTES || b.lines().count() == 1;
        assert!(parts.bodies.iter().all(is_within_limit), "{}", case.name);
        let changed = text.replace(case.from, case.to);
        assert_ne!(changed, text, "{}", case.name);
        let new_chunks = hashes(&changed).difference(&hashes(&text)).count();
        assert!(
            (1..=case.max_new_chunks).contains(&new_chunks),
            "{}: {new_chunks} new chunks",
            case.name
        );
    }
}

#[test]
fn client_blocks_parsed_by_chunk_match_the_whole_declaration() {
    let text = clients(2000) + "11.0.0.0/8 = b\n11.0.3.0/25 = b\n2001:db8::/32 = b\n";
    let world = world::parse(&text).expect("the declaration is valid");
    let body = text.split_once("[clients]\n").expect("a section with blocks").1;
    let lines: Vec<&str> = body.split_inclusive('\n').collect();
    let parts: Vec<BlockPart> = lines
        .chunks(97)
        .map(|part| BlockPart::parse(&part.concat()).expect("the blocks are valid"))
        .collect();
    let blocks = ClientBlocks::build(&parts, &world.region_names).expect("the regions are known");
    assert_eq!(blocks.len(), 2003);
    for client in ["11.0.3.1", "11.0.3.200", "11.0.7.9", "11.200.0.1", "12.0.0.1", "2001:db8::1"] {
        let client = client.parse().expect("an address");
        assert_eq!(blocks.region(client), world.blocks.region(client), "{client}");
    }
    let name = |client: &str| {
        let key = blocks.region(client.parse().expect("an address"))?;
        Some(world.regions[key].name.as_str())
    };
    assert_eq!(name("11.0.3.1"), Some("b"), "the most specific block applies");
    assert_eq!(name("11.0.3.200"), Some("a"));
    assert_eq!(name("2001:db8::1"), Some("b"));
    assert_eq!(name("12.0.0.1"), None);
}
