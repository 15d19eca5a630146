//! Where callers are told to connect.

use std::sync::Arc;

use jasminestage_core::steer::{directory::resolve, view::Peer};
use test_case::test_case;

use crate::common::{entry, peer, view};

struct Case {
    peers: fn() -> Vec<Peer>,
    stopping: bool,
    region: &'static str,
    zone: &'static str,
    /// Lives of the hosts that are named.
    named: &'static [u64],
}

fn fleet() -> Vec<Peer> {
    vec![peer(2, "a1"), peer(3, "a2"), peer(4, "b1")]
}

fn without(life: u64) -> Vec<Peer> {
    let mut peers = fleet();
    for peer in peers.iter_mut().filter(|p| p.host.incarnation.0 == life) {
        peer.is_reachable = false;
    }
    peers
}

fn leaving(life: u64) -> Vec<Peer> {
    let mut peers = fleet();
    for peer in peers.iter_mut().filter(|p| p.host.incarnation.0 == life) {
        peer.ready = false;
    }
    peers
}

#[test_case(&Case { peers: fleet, stopping: false, region: "a", zone: "a1", named: &[1, 2] }; "own zone")]
#[test_case(&Case { peers: fleet, stopping: false, region: "a", zone: "a2", named: &[1, 2, 3] }; "a zone with one host")]
#[test_case(&Case { peers: || without(2), stopping: false, region: "a", zone: "a1", named: &[1, 3] }; "a silent host")]
#[test_case(&Case { peers: || leaving(2), stopping: false, region: "a", zone: "a1", named: &[1, 3] }; "a host that leaves")]
#[test_case(&Case { peers: fleet, stopping: true, region: "a", zone: "a1", named: &[2, 3] }; "this host stops")]
#[test_case(&Case { peers: || without(4), stopping: false, region: "b", zone: "b1", named: &[1, 2, 3] }; "a region without hosts")]
#[test_case(&Case { peers: fleet, stopping: false, region: "", zone: "", named: &[1, 2, 3, 4] }; "an unknown place")]
fn callers_are_sent_to_ready_hosts_nearby(case: &Case) {
    let mut view = view(&[entry("s", "lookup", "a1")]);
    view.peers = Arc::new((case.peers)());
    view.stopping = case.stopping;
    let mut named: Vec<u64> = resolve(&view, case.region, case.zone)
        .addresses
        .iter()
        .map(|a| u64::from(a.port()) - 1000)
        .collect();
    named.sort_unstable();
    assert_eq!(named, case.named);
}

#[test]
fn a_host_without_configuration_names_only_others() {
    let mut view = view(&[]);
    view.peers = Arc::new(vec![peer(2, "a1")]);
    let addresses = resolve(&view, "a", "a1").addresses;
    assert_eq!(addresses.len(), 1);
    assert_eq!(addresses[0].port(), 1002);
}

struct SizeCase {
    /// Processor shares in thousandths of a core of the hosts 1, 2, 3 ..., two in each failure domain.
    millicores: &'static [u32],
    /// Lives of the hosts that are named in failure domain `a1`.
    named: &'static [u64],
}

const LARGE_AND_SMALL: SizeCase =
    SizeCase { millicores: &[500, 100, 500, 100, 500, 100, 100], named: &[1, 3, 5] };
const TWO_LARGE: SizeCase = SizeCase { millicores: &[500, 100, 500, 100, 100], named: &[1, 2, 5] };
const WEAK_LARGE: SizeCase = SizeCase {
    millicores: &[
        110, 50, 110, 110, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50,
    ],
    named: &[1, 2, 5, 6, 9, 10, 13, 14, 17, 18],
};
const ALIKE: SizeCase = SizeCase { millicores: &[200; 5], named: &[1, 2, 5] };

#[test_case(&LARGE_AND_SMALL; "large hosts suffice")]
#[test_case(&TWO_LARGE; "too few large hosts")]
#[test_case(&WEAK_LARGE; "large hosts too weak")]
#[test_case(&ALIKE; "hosts of one size")]
fn small_hosts_are_left_out_where_large_ones_suffice(case: &SizeCase) {
    let mut view = view(&[entry("s", "lookup", "a1")]);
    let zone = |n: usize| if (n / 2).is_multiple_of(2) { "a1" } else { "a2" };
    view.local_host.millicores = case.millicores[0];
    let peers = case.millicores.iter().enumerate().skip(1).map(|(n, millicores)| {
        let mut peer = peer(n as u64 + 1, zone(n));
        peer.host.millicores = *millicores;
        peer
    });
    view.peers = Arc::new(peers.collect());
    let mut named: Vec<u64> =
        resolve(&view, "a", "a1").addresses.iter().map(|a| u64::from(a.port()) - 1000).collect();
    named.sort_unstable();
    assert_eq!(named, case.named);
}
