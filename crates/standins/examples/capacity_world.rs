//! Memory, parse time and look-up time of the declaration that every host keeps, by its size.
//!
//! `cargo run --release -p jasminestage-standins --example capacity_world`

use std::{alloc::System, fmt::Write, hint::black_box, net::IpAddr, time::Instant};

use jasminestage_core::{
    config,
    declaration::{self, Declaration},
    host::{HostInfo, Incarnation},
    lookup::{Query, look_up},
    view::{LiveHost, View},
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of look-ups in a measurement.
const LOOK_UPS: u32 = 200_000;

/// Number of items of each kind in a declaration; `blocks` are client address blocks.
#[derive(Clone, Copy, Debug)]
struct Size {
    regions: usize,
    domains: usize,
    servers: usize,
    workspaces: usize,
    blocks: usize,
}

impl Default for Size {
    fn default() -> Self {
        Size { regions: 22, domains: 71, servers: 200, workspaces: 8, blocks: 1000 }
    }
}

fn declaration_text(size: Size) -> String {
    let mut text = String::new();
    let mut line = |s: String| {
        let _ = writeln!(text, "{s}");
    };
    for r in 0..size.regions {
        line(format!("[region r{r}]"));
    }
    for d in 0..size.domains {
        line(format!("[domain d{d}]\nregion = r{}\nseats = 24", d % size.regions));
    }
    line("[route katalog]\naccess = open\nrepeat = idempotent".to_owned());
    for w in 0..size.workspaces {
        let digest = format!("{w:064x}");
        line(format!("[workspace w{w}]\nkeys = sha256:{digest}\nrate = 100\nburst = 100"));
    }
    for s in 0..size.servers {
        let (d, a, b) = (s % size.domains, s / 250, s % 250 + 1);
        line(format!(
            "[server s{s}]\nroute = katalog\nversion = v1\ndomain = d{d}\n\
             address = 10.0.{a}.{b}:80\nslots = 9"
        ));
    }
    line("[clients]".to_owned());
    for b in 0..size.blocks {
        let (x, y, z) = (b / 65536 + 11, b / 256 % 256, b % 256);
        line(format!("{x}.{y}.{z}.0/24 = r{}", b % size.regions));
    }
    text
}

struct Measurement {
    bytes: isize,
    parse_micros: u128,
    chunks: usize,
    declaration: Declaration,
}

fn measure(size: Size) -> Measurement {
    let text = declaration_text(size);
    let chunks = config::split(&text).bodies.len();
    let region = Region::new(ALLOCATOR);
    let start = Instant::now();
    let declaration = declaration::parse(&text).expect("the declaration is valid");
    let parse_micros = start.elapsed().as_micros();
    let change = region.change();
    let bytes = change.bytes_allocated as isize - change.bytes_deallocated as isize;
    Measurement { bytes, parse_micros, chunks, declaration }
}

fn view(declaration: Declaration, hosts: usize, domains: usize) -> View {
    let address = |n: usize| ([10, 1, (n / 250) as u8, (n % 250) as u8], 80).into();
    let live_host = |n: usize| LiveHost {
        name: format!("h{n}"),
        domain: format!("d{}", n % domains),
        caller_address: address(n),
        peer_address: address(n),
        incarnation: Incarnation(n as u64),
        accepts_callers: true,
    };
    let this_host = HostInfo {
        name: "h0".into(),
        domain: "d0".into(),
        caller_address: address(0),
        peer_address: address(0),
        incarnation: Incarnation(0),
    };
    View {
        revision: 1,
        declaration: std::sync::Arc::new(declaration),
        hosts: (0..hosts).map(live_host).collect(),
        ..View::empty(this_host)
    }
}

fn nanos_per_look_up(view: &View) -> f64 {
    let start = Instant::now();
    for n in 0..LOOK_UPS {
        let client = IpAddr::from((n.wrapping_mul(2_654_435_761) | 0x0b00_0000).to_be_bytes());
        let _ = black_box(look_up(view, &Query { route: "katalog", client, key: None }));
    }
    start.elapsed().as_nanos() as f64 / f64::from(LOOK_UPS)
}

fn main() {
    let baseline = measure(Size { blocks: 0, ..Size::default() });
    println!("client blocks: bytes in memory, parse time, chunks in the store, time per look-up");
    for blocks in [10_000, 50_000, 100_000, 420_000] {
        let m = measure(Size { blocks, ..Size::default() });
        let per_block = (m.bytes - baseline.bytes) as f64 / blocks as f64;
        let view = view(m.declaration, 24, 71);
        println!(
            "  {blocks:>7}: {per_block:.1} B each, {:.1} ms, {} chunks, {:.0} ns per look-up",
            m.parse_micros as f64 / 1000.0,
            m.chunks,
            nanos_per_look_up(&view)
        );
    }
    println!("workspaces: bytes in memory each");
    for workspaces in [100, 1000, 5000, 10_000] {
        let m = measure(Size { workspaces, blocks: 0, ..Size::default() });
        println!(
            "  {workspaces:>7}: {:.0} B each",
            (m.bytes - baseline.bytes) as f64 / workspaces as f64
        );
    }
    println!("backend servers: bytes in memory each, parse time");
    for servers in [200, 1000, 2000, 4000] {
        let m = measure(Size { servers, blocks: 0, ..Size::default() });
        let ms = m.parse_micros as f64 / 1000.0;
        println!(
            "  {servers:>7}: {:.0} B each, {ms:.1} ms",
            (m.bytes - baseline.bytes) as f64 / (servers - 200).max(1) as f64
        );
    }
    println!("hosts in the view: time per look-up");
    for hosts in [12, 100, 400, 1700] {
        let m = measure(Size { blocks: 100_000, ..Size::default() });
        println!("  {hosts:>7}: {:.0} ns", nanos_per_look_up(&view(m.declaration, hosts, 71)));
    }
}
