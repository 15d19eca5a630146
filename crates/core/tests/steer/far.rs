//! Summaries of other regions, and who makes, reads and passes them on.

use std::sync::Arc;

use jasminestage_core::{
    declaration::Repeat,
    host::Incarnation,
    steer::{
        catalog::{Catalog, Limits},
        control::{Change, Control, StoreContact},
        digest::{Progress, Summary, Trial, name_hash},
        far::FarRegions,
        steering::{Arrival, Steering},
        view::{Peer, View},
    },
};
use test_case::test_case;

use crate::common::{
    announcement, at, digest, entry, peer, region_summary, route, service, terms, view, workspace,
    zones,
};

const CONTACT: StoreContact = StoreContact { answers: true, read_ms: None };

#[test]
fn a_repeated_summary_is_no_news() {
    let mut far = FarRegions::default();
    far.hear(at(0), &region_summary("b", 7, 1));
    far.hear(at(1400), &region_summary("b", 7, 1));
    assert!(far.get(at(1400), "b").is_some());
    assert!(far.get(at(1600), "b").is_none());
    far.hear(at(1700), &region_summary("b", 7, 2));
    assert!(far.get(at(1700), "b").is_some());
}

/// A host of region `a` that hears some of its region and has listed two hosts of region `b`.
fn control(near: &[u64]) -> Control {
    let mut control = Control::new(terms(), announcement(1, "a1"), zones());
    let listed = [announcement(20, "b1"), announcement(21, "b2")];
    control.apply(at(0), 0, listed.into_iter().map(Change::HostAnnounced).collect());
    for life in near {
        let mut digest = digest(*life, "a2");
        digest.from.millicores = 500;
        control.hear(at(0), &digest);
    }
    control
}

struct Speaking {
    /// Larger hosts of the region that are heard.
    near: &'static [u64],
    hears_region: bool,
    /// Hosts of the other region that are told.
    told: usize,
}

#[test_case(&Speaking { near: &[], hears_region: true, told: 1 }; "alone")]
#[test_case(&Speaking { near: &[2], hears_region: true, told: 1 }; "one of two speakers")]
#[test_case(&Speaking { near: &[2, 3], hears_region: true, told: 0 }; "others speak")]
#[test_case(&Speaking { near: &[2, 3], hears_region: false, told: 2 }; "the region is not heard")]
fn few_hosts_speak_to_other_regions(case: &Speaking) {
    let mut control = control(case.near);
    if case.hears_region {
        control.hear_region(at(10), region_summary("b", 20, 1));
    }
    control.tick(at(20));
    let (summary, told) = control.region_summary(at(20), Progress::default(), Summary::default());
    assert_eq!(told.len(), case.told);
    assert_eq!(summary.hosts.len(), case.near.len() + 1);
}

struct Reading {
    near: &'static [(u64, bool)],
    reaches_store: bool,
    reads: bool,
}

#[test_case(&Reading { near: &[], reaches_store: true, reads: true }; "alone")]
#[test_case(&Reading { near: &[(2, true), (3, true)], reaches_store: true, reads: false }; "two larger hosts")]
#[test_case(&Reading { near: &[(2, true), (3, false)], reaches_store: true, reads: true }; "one of them has lost the store")]
#[test_case(&Reading { near: &[(2, true), (3, true)], reaches_store: false, reads: true }; "a host that lost the store tries on")]
fn few_hosts_read_the_store(case: &Reading) {
    let mut control = Control::new(terms(), announcement(1, "a1"), zones());
    for (life, reaches) in case.near {
        let mut digest = digest(*life, "a1");
        digest.from.millicores = 500;
        digest.reaches_store = *reaches;
        control.hear(at(0), &digest);
    }
    assert_eq!(control.is_reader(at(10), case.reaches_store), case.reads);
}

#[test]
fn hosts_of_other_regions_are_alive_as_their_region_says() {
    let mut control = control(&[]);
    assert!(control.view().peers.iter().all(|p| !p.is_heard));
    let mut passed_on = digest(2, "a2");
    passed_on.regions = vec![region_summary("b", 20, 1)];
    control.hear(at(10), &passed_on);
    control.tick(at(20));
    let heard: Vec<Incarnation> = control
        .view()
        .peers
        .iter()
        .filter(|p| p.is_heard && p.region == "b")
        .map(|p| p.host.incarnation)
        .collect();
    assert_eq!(heard, [Incarnation(20)]);
    // What was only passed on is not passed on again.
    let digest = control.digest(Progress::default(), CONTACT, vec![], Summary::default());
    assert!(digest.regions.is_empty());
}

#[test]
fn evidence_of_other_regions_counts() {
    let mut steering = Steering::new(Arc::new(View {
        servers: Arc::default(),
        ..view(&[entry("s", "lookup", "a1")])
    }));
    let order = jasminestage_core::steer::rollout::RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: std::time::Duration::from_secs(10),
        revision: 3,
    };
    let mut control = Control::new(terms(), announcement(1, "a1"), zones());
    control.apply(at(0), 0, vec![Change::RolloutOrdered(order)]);
    let ordered = control.take_view().expect("the view has changed");
    steering.install(at(0), ordered);
    let trial = Trial {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        answers: 20,
        failures: 10,
        ..Trial::default()
    };
    let mut summary = region_summary("b", 20, 1);
    summary.seen.trials = vec![trial];
    summary.seen.workspaces = [(name_hash("w"), 3)].into();
    assert!(!steering.is_faulty("lookup"));
    steering.hear_region(at(10), &summary);
    steering.tick(at(20));
    assert!(steering.is_faulty("lookup"));
}

#[test]
fn a_read_of_another_host_shows_that_the_store_was_there() {
    let mut control = control(&[]);
    let mut reader = digest(2, "a2");
    reader.store_read_ms = Some(400);
    control.hear(at(5000), &reader);
    assert!(control.others_read_since(at(4500)));
    assert!(!control.others_read_since(at(4700)));
}

struct Alive {
    /// Whether region `b`, of which the store lists two hosts, is heard.
    hears_region: bool,
    /// Hosts that its summary names, and those that it does not hear.
    told: (usize, u32),
    /// Hosts that may be alive, and those that are not heard.
    counted: (usize, usize),
}

#[test_case(&Alive { hears_region: false, told: (0, 0), counted: (3, 2) }; "the region is silent")]
#[test_case(&Alive { hears_region: true, told: (2, 0), counted: (3, 0) }; "its hosts have started anew")]
#[test_case(&Alive { hears_region: true, told: (3, 0), counted: (4, 0) }; "one more has started")]
#[test_case(&Alive { hears_region: true, told: (1, 1), counted: (3, 1) }; "it does not hear one of them")]
fn a_region_that_is_heard_counts_its_hosts_itself(case: &Alive) {
    let silent = |life, zone| Peer { is_heard: false, ready: false, ..peer(life, zone) };
    let mut limited = view(&[entry("s", "lookup", "a1")]);
    limited.peers = Arc::new(vec![silent(20, "b1"), silent(21, "b2")]);
    let route = route("read", "lookup", Repeat::Idempotent);
    let (services, limits) = (vec![service("lookup")], Limits::default());
    let workspaces = vec![workspace("w", 20.0)];
    limited.catalog = Arc::new(Catalog::new(2, vec![route], services, workspaces, limits));
    let mut steering = Steering::new(Arc::new(limited));
    if case.hears_region {
        let mut summary = region_summary("b", 30, 1);
        summary.hosts = (0..case.told.0).map(|n| (Incarnation(30 + n as u64), true)).collect();
        summary.unheard = case.told.1;
        steering.hear_region(at(1000), &summary);
    }
    let arrival = Arrival {
        id: "r1",
        host: "example",
        path: "/read/x",
        key: Some("key-w"),
        object: None,
        patience: None,
    };
    let flight = steering.admit(at(1100), &arrival).expect("the request is allowed");
    assert!(steering.charge(at(1100), &flight).is_ok());
    let elsewhere = steering.quota_state("w").elsewhere;
    assert_eq!((elsewhere.hosts, elsewhere.unheard), case.counted);
}

#[test]
fn one_summary_of_a_region_is_passed_on() {
    let mut control = control(&[2]);
    control.hear_region(at(10), region_summary("b", 20, 1));
    control.hear_region(at(20), region_summary("b", 21, 1));
    let digest = control.digest(Progress::default(), CONTACT, vec![], Summary::default());
    let speakers: Vec<Incarnation> = digest.regions.iter().map(|s| s.speaker).collect();
    assert_eq!(speakers, [Incarnation(21)]);
}

/// A host that started while the store was away has no list of hosts.
#[test]
fn a_region_that_is_known_by_its_summary_only_is_answered() {
    let mut control = Control::new(terms(), announcement(1, "a1"), zones());
    let summary = region_summary("b", 20, 1);
    let speaker = summary.address;
    control.hear_region(at(10), summary);
    control.tick(at(20));
    let (_, told) = control.region_summary(at(20), Progress::default(), Summary::default());
    assert_eq!(told, [speaker]);
}
