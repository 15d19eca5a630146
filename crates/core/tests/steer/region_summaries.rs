//! Summaries of other regions: which hosts send and forward them, and how they affect decisions.

use std::sync::Arc;

use jasminestage_core::{
    declaration::Repeat,
    host::Incarnation,
    steer::{
        catalog::{Catalog, Limits},
        control::{Change, ControlState, DigestParts, StoreStatus},
        digest::{CanaryStats, StoreProgress, TrafficStats, name_hash},
        mirror::CopyState,
        region_summaries::RegionSummaries,
        rollout::Verdict,
        steering::{RequestHead, Steering},
        view::{Peer, View},
    },
};
use test_case::test_case;

use crate::common::{
    announcement, at, bounds, digest, entry, peer, position, region_summary, route, service, view,
    workspace, zone_regions,
};

fn parts() -> DigestParts {
    DigestParts {
        progress: StoreProgress::default(),
        store: StoreStatus { is_reachable: true, read_age_ms: None },
        in_flight: Vec::new(),
        stats: TrafficStats::default(),
        aggregate: None,
    }
}

#[test]
fn a_duplicate_does_not_extend_the_lifetime_of_a_summary() {
    let mut summaries = RegionSummaries::default();
    summaries.insert(at(0), &region_summary("b", 7, 1));
    summaries.insert(at(1400), &region_summary("b", 7, 1));
    assert!(summaries.get(at(1400), "b").is_some());
    assert!(summaries.get(at(1600), "b").is_none());
    summaries.insert(at(1700), &region_summary("b", 7, 2));
    assert!(summaries.get(at(1700), "b").is_some());
}

/// A host of region `a` that gets digests of the larger hosts `reachable` of its region, while the
/// store lists two hosts of region `b`.
fn control(reachable: &[u64]) -> ControlState {
    let mut control = ControlState::new(bounds(), announcement(1, "a1"), zone_regions());
    let listed = [announcement(20, "b1"), announcement(21, "b2")];
    control.apply(at(0), listed.into_iter().map(Change::HostAnnounced).collect());
    for incarnation in reachable {
        let mut digest = digest(*incarnation, "a2");
        digest.sender.millicores = 500;
        control.receive_digest(at(0), &digest);
    }
    control
}

struct GatewayCase {
    /// Larger hosts of the region that are reachable.
    reachable: &'static [u64],
    /// Whether a summary of the other region was received.
    has_summary: bool,
    /// Number of hosts of the other region that a summary is sent to.
    targets: usize,
}

#[test_case(&GatewayCase { reachable: &[], has_summary: true, targets: 1 }; "alone")]
#[test_case(&GatewayCase { reachable: &[2], has_summary: true, targets: 1 }; "one of two gateways")]
#[test_case(&GatewayCase { reachable: &[2, 3], has_summary: true, targets: 0 }; "two larger gateways")]
#[test_case(&GatewayCase { reachable: &[2, 3], has_summary: false, targets: 2 }; "no summary of the other region")]
fn only_gateways_send_summaries_to_a_reachable_region(case: &GatewayCase) {
    let mut control = control(case.reachable);
    if case.has_summary {
        control.receive_region_summary(at(10), region_summary("b", 20, 1));
    }
    control.tick(at(20));
    let (summary, targets) =
        control.build_region_summary(at(20), StoreProgress::default(), TrafficStats::default());
    assert_eq!(targets.len(), case.targets);
    assert_eq!(summary.hosts.len(), case.reachable.len() + 1);
}

struct ReaderCase {
    /// Larger hosts of the region that are reachable, and whether they reach the store.
    reachable: &'static [(u64, bool)],
    /// Whether this host reaches the store.
    reaches_store: bool,
    /// Whether this host reads the store.
    is_reader: bool,
}

#[test_case(&ReaderCase { reachable: &[], reaches_store: true, is_reader: true }; "alone")]
#[test_case(&ReaderCase { reachable: &[(2, true), (3, true)], reaches_store: true, is_reader: false }; "two larger hosts")]
#[test_case(&ReaderCase { reachable: &[(2, true), (3, false)], reaches_store: true, is_reader: true }; "two larger hosts, one without the store")]
#[test_case(&ReaderCase { reachable: &[(2, true), (3, true)], reaches_store: false, is_reader: true }; "a host that cannot reach the store")]
fn the_largest_hosts_that_reach_the_store_read_it(case: &ReaderCase) {
    let mut control = ControlState::new(bounds(), announcement(1, "a1"), zone_regions());
    for (incarnation, reaches_store) in case.reachable {
        let mut digest = digest(*incarnation, "a1");
        digest.sender.millicores = 500;
        digest.reaches_store = *reaches_store;
        control.receive_digest(at(0), &digest);
    }
    assert_eq!(control.is_store_reader(at(10), case.reaches_store), case.is_reader);
}

#[test]
fn reachability_in_other_regions_follows_their_summaries() {
    let mut control = control(&[]);
    assert!(control.view().peers.iter().all(|p| !p.is_reachable));
    let mut digest_with_summary = digest(2, "a2");
    digest_with_summary.region_summaries = vec![region_summary("b", 20, 1)];
    control.receive_digest(at(10), &digest_with_summary);
    control.tick(at(20));
    let reachable: Vec<Incarnation> = control
        .view()
        .peers
        .iter()
        .filter(|p| p.is_reachable && p.region == "b")
        .map(|p| p.host.incarnation)
        .collect();
    assert_eq!(reachable, [Incarnation(20)]);
    // A forwarded summary is not forwarded again.
    let digest = control.build_digest(at(20), parts());
    assert!(digest.region_summaries.is_empty());
}

#[test]
fn failures_in_other_regions_make_a_version_faulty() {
    let mut steering = Steering::new(Arc::new(View {
        servers: Arc::default(),
        ..view(&[entry("s", "lookup", "a1")])
    }));
    let order = jasminestage_core::steer::rollout::RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: std::time::Duration::from_secs(10),
        position: position(3),
    };
    let mut control = ControlState::new(bounds(), announcement(1, "a1"), zone_regions());
    control.apply(at(0), vec![Change::RolloutOrdered(order)]);
    let ordered = control.take_view().expect("the order changes the view");
    steering.install_view(at(0), ordered);
    let canary = CanaryStats {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        order: position(3),
        responses: 20,
        failures: 10,
        ..CanaryStats::default()
    };
    let mut summary = region_summary("b", 20, 1);
    summary.stats.canaries = vec![canary];
    summary.stats.admitted = [(name_hash("w"), vec![3].into())].into();
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Sound);
    steering.receive_region_summary(at(10), &summary);
    steering.tick(at(20));
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Faulty);
}

#[test]
fn a_digest_shows_when_its_sender_read_the_store() {
    let mut control = control(&[]);
    let mut reader = digest(2, "a2");
    reader.store_read_age_ms = Some(400);
    reader.progress.store_steady_ms = Some(3000);
    control.receive_digest(at(5000), &reader);
    let available_for =
        |last_failed_call| control.store_available_for(at(5100), at(last_failed_call)).as_millis();
    assert_eq!(available_for(4500), 3100);
    assert_eq!(available_for(4700), 0, "the read was made before the call that failed");
}

/// Fails if a host whose region has lost the store takes that for an outage of the store, although another
/// region reads it: it would defer removals of servers that have left.
#[test]
fn a_summary_shows_for_how_long_the_store_has_been_available() {
    let mut control = control(&[]);
    let mut summary = region_summary("b", 20, 1);
    summary.progress.store_steady_ms = Some(7000);
    control.receive_region_summary(at(5000), summary);
    assert_eq!(control.store_available_for(at(5100), at(5050)).as_millis(), 7000);
}

struct HostCountCase {
    /// Whether a summary of region `b`, of which the store lists two hosts, was received.
    has_summary: bool,
    /// Numbers of reachable and unreachable hosts in that summary.
    in_summary: (usize, u32),
    /// Numbers of all hosts that may be running and of those that are unreachable, as counted here.
    counted: (usize, usize),
}

#[test_case(&HostCountCase { has_summary: false, in_summary: (0, 0), counted: (3, 2) }; "no summary of the region")]
#[test_case(&HostCountCase { has_summary: true, in_summary: (2, 0), counted: (3, 0) }; "all its hosts have restarted")]
#[test_case(&HostCountCase { has_summary: true, in_summary: (3, 0), counted: (4, 0) }; "one more host has started")]
#[test_case(&HostCountCase { has_summary: true, in_summary: (1, 1), counted: (3, 1) }; "one of its hosts is unreachable")]
fn a_summary_overrides_the_hosts_that_the_store_lists(case: &HostCountCase) {
    let unreachable_peer =
        |incarnation, zone| Peer { is_reachable: false, ready: false, ..peer(incarnation, zone) };
    let mut limited = view(&[entry("s", "lookup", "a1")]);
    limited.peers = Arc::new(vec![unreachable_peer(20, "b1"), unreachable_peer(21, "b2")]);
    let route = route("read", "lookup", Repeat::Idempotent);
    let (services, limits) = (vec![service("lookup")], Limits::default());
    let workspaces = vec![workspace("w", 20.0)];
    limited.catalog = Arc::new(Catalog::new(2, vec![route], services, workspaces, limits));
    let mut steering = Steering::new(Arc::new(limited));
    if case.has_summary {
        let mut summary = region_summary("b", 30, 1);
        summary.hosts =
            (0..case.in_summary.0).map(|n| (Incarnation(30 + n as u64), true)).collect();
        summary.unreachable_hosts = case.in_summary.1;
        steering.receive_region_summary(at(1000), &summary);
    }
    let request_head = RequestHead {
        id: "r1",
        host: "example",
        path: "/read/x",
        key: Some("key-w"),
        object: None,
        caller_timeout: None,
    };
    let request = steering.admit(at(1100), &request_head).expect("the request is allowed");
    assert!(steering.charge_quota(at(1100), &request).is_ok());
    let remote = steering.quota_state("w").remote;
    assert_eq!((remote.host_count, remote.unreachable_hosts), case.counted);
}

#[test]
fn only_the_newest_summary_of_a_region_is_forwarded() {
    let mut control = control(&[2]);
    control.receive_region_summary(at(10), region_summary("b", 20, 1));
    control.receive_region_summary(at(20), region_summary("b", 21, 1));
    let digest = control.build_digest(at(20), parts());
    let senders: Vec<Incarnation> = digest.region_summaries.iter().map(|s| s.sender).collect();
    assert_eq!(senders, [Incarnation(21)]);
}

/// A host that starts while the store is unreachable has no list of the hosts in other regions, so it
/// could not send them summaries.
#[test]
fn summaries_are_sent_back_to_senders_that_the_store_does_not_list() {
    let mut control = ControlState::new(bounds(), announcement(1, "a1"), zone_regions());
    let summary = region_summary("b", 20, 1);
    let sender_address = summary.sender_address;
    control.receive_region_summary(at(10), summary);
    control.tick(at(20));
    let (_, targets) =
        control.build_region_summary(at(20), StoreProgress::default(), TrafficStats::default());
    assert_eq!(targets, [sender_address]);
}

/// A copy whose content changed at its revision.
fn copy_of(revision: u64) -> CopyState {
    CopyState { position: position(revision), fingerprint: revision, retained: 0 }
}

struct CopyCase {
    /// Larger hosts of the region that send digests: incarnation, failure domain and revision of the
    /// operators' data.
    hosts: &'static [(u64, &'static str, u64)],
    /// Revision in the summary of the other region.
    elsewhere: u64,
    /// Incarnation of the host that this one, which has revision 5, copies from.
    copies_from: Option<u64>,
}

/// When every host copied a change from the first region that has it, the links between regions
/// would carry it once for each host.
#[test_case(&CopyCase { hosts: &[(2, "a2", 5)], elsewhere: 5, copies_from: None }; "nothing is newer")]
#[test_case(&CopyCase { hosts: &[(2, "a1", 7), (3, "a2", 8)], elsewhere: 9, copies_from: Some(2) }; "a newer host in its own failure domain")]
#[test_case(&CopyCase { hosts: &[(2, "a1", 5), (3, "a2", 8)], elsewhere: 9, copies_from: Some(3) }; "a newer host in its region")]
#[test_case(&CopyCase { hosts: &[(2, "a2", 5), (3, "a2", 5)], elsewhere: 9, copies_from: None }; "a newer region and two larger gateways")]
#[test_case(&CopyCase { hosts: &[(2, "a2", 5)], elsewhere: 9, copies_from: Some(20) }; "a newer region for a gateway")]
fn changes_are_copied_from_the_nearest_host(case: &CopyCase) {
    let mut control = control(&[]);
    for (incarnation, zone, revision) in case.hosts {
        let mut digest = digest(*incarnation, zone);
        digest.sender.millicores = 500;
        digest.progress.operator_data = copy_of(*revision);
        control.receive_digest(at(0), &digest);
    }
    let mut summary = region_summary("b", 20, 1);
    summary.progress.operator_data = copy_of(case.elsewhere);
    control.receive_region_summary(at(10), summary);
    control.tick(at(20));
    let expected = case.copies_from.map(|n| announcement(n, "a1").peer_address);
    assert_eq!(control.host_with_newer_operator_data(at(20), &copy_of(5)), expected);
}
