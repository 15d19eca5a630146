//! Directory answers: the hosts that callers are sent to.

use std::sync::Arc;

use jasminestage_core::steer::{directory::resolve, view::Peer};
use test_case::test_case;

use crate::common::{entry, peer, view};

struct Case {
    peers: fn() -> Vec<Peer>,
    stopping: bool,
    region: &'static str,
    zone: &'static str,
    /// Incarnations of the hosts in the answer.
    returned: &'static [u64],
}

fn fleet() -> Vec<Peer> {
    vec![peer(2, "a1"), peer(3, "a2"), peer(4, "b1")]
}

fn with_unreachable(incarnation: u64) -> Vec<Peer> {
    let mut peers = fleet();
    for peer in peers.iter_mut().filter(|p| p.host.incarnation.0 == incarnation) {
        peer.is_reachable = false;
    }
    peers
}

fn with_unready(incarnation: u64) -> Vec<Peer> {
    let mut peers = fleet();
    for peer in peers.iter_mut().filter(|p| p.host.incarnation.0 == incarnation) {
        peer.ready = false;
    }
    peers
}

#[test_case(&Case { peers: fleet, stopping: false, region: "a", zone: "a1", returned: &[1, 2] }; "the failure domain of the caller")]
#[test_case(&Case { peers: fleet, stopping: false, region: "a", zone: "a2", returned: &[1, 2, 3] }; "a failure domain with one host")]
#[test_case(&Case { peers: || with_unreachable(2), stopping: false, region: "a", zone: "a1", returned: &[1, 3] }; "an unreachable host")]
#[test_case(&Case { peers: || with_unready(2), stopping: false, region: "a", zone: "a1", returned: &[1, 3] }; "a host that is not ready")]
#[test_case(&Case { peers: fleet, stopping: true, region: "a", zone: "a1", returned: &[2, 3] }; "this host is stopping")]
#[test_case(&Case { peers: || with_unreachable(4), stopping: false, region: "b", zone: "b1", returned: &[1, 2, 3] }; "a region without reachable hosts")]
#[test_case(&Case { peers: fleet, stopping: false, region: "", zone: "", returned: &[1, 2, 3, 4] }; "an unknown region")]
fn callers_are_sent_to_ready_hosts_in_their_failure_domain_or_region(case: &Case) {
    let mut view = view(&[entry("s", "lookup", "a1")]);
    view.peers = Arc::new((case.peers)());
    view.stopping = case.stopping;
    let mut returned: Vec<u64> = resolve(&view, case.region, case.zone)
        .addresses
        .iter()
        .map(|a| u64::from(a.port()) - 1000)
        .collect();
    returned.sort_unstable();
    assert_eq!(returned, case.returned);
}

#[test]
fn a_host_without_servers_returns_only_other_hosts() {
    let mut view = view(&[]);
    view.peers = Arc::new(vec![peer(2, "a1")]);
    let addresses = resolve(&view, "a", "a1").addresses;
    assert_eq!(addresses.len(), 1);
    assert_eq!(addresses[0].port(), 1002);
}

struct SizeCase {
    /// CPU quotas of the hosts 1, 2, 3 ... in thousandths of a core. Pairs of hosts are in failure
    /// domains `a1` and `a2` in turn.
    millicores: &'static [u32],
    /// Incarnations of the hosts in the answer to a caller in failure domain `a1`.
    returned: &'static [u64],
}

const LARGE_AND_SMALL: SizeCase =
    SizeCase { millicores: &[500, 100, 500, 100, 500, 100, 100], returned: &[1, 3, 5] };
const TWO_LARGE: SizeCase =
    SizeCase { millicores: &[500, 100, 500, 100, 100], returned: &[1, 2, 5] };
const LARGE_WITH_SMALL_QUOTA: SizeCase = SizeCase {
    millicores: &[
        110, 50, 110, 110, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50, 50,
    ],
    returned: &[1, 2, 5, 6, 9, 10, 13, 14, 17, 18],
};
const EQUAL_SIZES: SizeCase = SizeCase { millicores: &[200; 5], returned: &[1, 2, 5] };

#[test_case(&LARGE_AND_SMALL; "large hosts suffice")]
#[test_case(&TWO_LARGE; "too few large hosts")]
#[test_case(&LARGE_WITH_SMALL_QUOTA; "large hosts with too little CPU quota")]
#[test_case(&EQUAL_SIZES; "hosts of one size")]
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
    let mut returned: Vec<u64> =
        resolve(&view, "a", "a1").addresses.iter().map(|a| u64::from(a.port()) - 1000).collect();
    returned.sort_unstable();
    assert_eq!(returned, case.returned);
}
