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
        peer.is_heard = false;
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
