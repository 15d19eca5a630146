//! Views and requests of a small fleet, for tests of the request path.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{net::SocketAddr, sync::Arc};

use jasminestage_core::{
    config::root::SeatHolder,
    declaration,
    host::{HostInfo, Incarnation},
    once::{DedupLimits, IdSecret},
    time::Instant,
    traffic::{Request, Traffic},
    view::{LiveHost, View},
};
use sha2::{Digest, Sha256};

/// Secret that the fleet's request ids are signed with.
pub const SECRET: IdSecret = IdSecret::new([7; 32]);
/// Wall-clock time at instant zero, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// A proof later than any instant in these tests, so that hosts keep their authority.
const LATEST_PROOF: Instant = Instant::from_millis(1_000_000_000);

/// A declaration with one route of each kind, `servers` servers for each, and one seat in each of
/// `domains` failure domains.
pub fn declaration_text(domains: usize, servers: usize) -> String {
    let mut text = "[region r]\n".to_owned();
    for n in 0..domains {
        text += &format!("[domain d{n}]\nregion = r\nseats = 1\n");
    }
    text += "[route book]\naccess = keyed\nrepeat = at-most-once\n\
             [route read]\naccess = keyed\nrepeat = idempotent\n";
    for (name, key) in [("w", "key"), ("x", "other")] {
        let digest = hex::encode(Sha256::digest(key));
        text += &format!("[workspace {name}]\nkeys = sha256:{digest}\nrate = 1000000\n");
        text += "burst = 1000000\n";
    }
    for route in ["book", "read"] {
        for n in 0..servers {
            let port = if route == "book" { 1000 + n } else { 2000 + n };
            text += &format!("[server {route}{n}]\nroute = {route}\nversion = v1\ndomain = d0\n");
            text += &format!("address = 127.0.0.1:{port}\nslots = 9\n");
        }
    }
    text
}

/// Host number, failure domain number and incarnation of a host of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostSpec {
    pub number: usize,
    pub domain: usize,
    pub incarnation: Incarnation,
}

/// Address of a host for other hosts.
pub fn peer_address(number: usize) -> SocketAddr {
    ([127, 0, 0, 1], 100 + number as u16).into()
}

fn info(spec: HostSpec) -> HostInfo {
    HostInfo {
        name: format!("h{}", spec.number),
        domain: format!("d{}", spec.domain),
        caller_address: ([127, 0, 0, 1], 200 + spec.number as u16).into(),
        peer_address: peer_address(spec.number),
        incarnation: spec.incarnation,
    }
}

/// The view of `me`, in which `live` are the live hosts; `seats` are the holders of seat 0 of their
/// domains, with the revision in which they took it.
pub fn view(
    declaration: &Arc<declaration::Declaration>,
    me: HostSpec,
    live: &[HostSpec],
    seats: &[(HostSpec, u64)],
    revision: u64,
    accepted: u64,
) -> View {
    let me = info(me);
    let hosts = live.iter().map(|spec| {
        let host = info(*spec);
        LiveHost {
            name: host.name,
            domain: host.domain,
            caller_address: host.caller_address,
            peer_address: host.peer_address,
            incarnation: host.incarnation,
            accepts_callers: true,
        }
    });
    let holders = seats.iter().map(|(spec, since)| {
        let host = info(*spec);
        let holder = SeatHolder {
            host: host.name,
            incarnation: spec.incarnation,
            peer_address: host.peer_address,
            since: *since,
            displaced: None,
        };
        (host.domain, vec![Some(holder)])
    });
    let has_seat = seats.iter().any(|(spec, _)| spec.incarnation == me.incarnation);
    View {
        revision,
        accepted,
        declaration: Arc::clone(declaration),
        seat: has_seat.then_some(0),
        open_seat: has_seat.then_some(0),
        proof: Some(LATEST_PROOF),
        seats: Arc::new(holders.collect()),
        hosts: hosts.collect(),
        ..View::empty(me)
    }
}

/// The request path of a host whose wall clock is ahead by `skew_ms` milliseconds.
pub fn traffic(view: View, now: Instant, skew_ms: i64) -> Traffic {
    let view = Arc::new(view);
    let mut traffic = Traffic::new(Arc::clone(&view));
    traffic.configure_once(SECRET, DedupLimits::default());
    traffic.set_clock(now, (START_UNIX_MS as i64 + skew_ms) as u64 + now.as_micros() / 1000);
    traffic.install(now, view);
    traffic
}

/// A request for the at-most-once route `book`.
pub fn booking<'a>(id: &'a str, key: &'a str) -> Request<'a> {
    Request {
        route: "book",
        key: Some(key.as_bytes()),
        id: Some(id),
        deadline: None,
        fingerprint: 1,
    }
}

/// A version 7 UUID with the timestamp `unix_ms`, in milliseconds since the Unix epoch.
pub fn uuid7(unix_ms: u64, random: u64) -> String {
    let value = u128::from(unix_ms) << 80 | 7 << 76 | 2 << 62 | u128::from(random >> 2);
    let hex = format!("{value:032x}");
    let (a, b, c, d, e) = (&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]);
    format!("{a}-{b}-{c}-{d}-{e}")
}
