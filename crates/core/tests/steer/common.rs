//! Fixtures: the parts of a small deployment.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::{Repeat, key_digest},
    host::Incarnation,
    steer::{
        bounds::Bounds,
        catalog::{Catalog, Limits, Route, Service, WeightedService, Workspace},
        digest::{Announcement, Digest, RegionSummary, StoreProgress, TrafficStats},
        position::StorePosition,
        server::ServerEntry,
        view::{Peer, View},
    },
    time::Instant,
};

/// Position in the first era.
pub fn position(revision: u64) -> StorePosition {
    StorePosition::new(0, revision)
}

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn bounds() -> Bounds {
    Bounds { retry_extra: 60.0, quota_overage: 0.1, quota_slack: 20.0, ..Bounds::default() }
}

pub fn zone_regions() -> HashMap<String, String> {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    pairs.iter().map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned())).collect()
}

pub fn announcement(incarnation: u64, zone: &str) -> Announcement {
    let port = 1000 + incarnation as u16;
    Announcement {
        incarnation: Incarnation(incarnation),
        name: format!("host-{incarnation}"),
        zone: zone.to_owned(),
        caller_address: ([127, 0, 0, 1], port).into(),
        peer_address: ([127, 0, 0, 2], port).into(),
        millicores: 200,
    }
}

pub fn peer(incarnation: u64, zone: &str) -> Peer {
    Peer {
        host: announcement(incarnation, zone),
        region: zone_regions()[zone].clone(),
        ready: true,
        is_reachable: true,
    }
}

pub fn digest(incarnation: u64, zone: &str) -> Digest {
    Digest {
        sender: announcement(incarnation, zone),
        ready: true,
        is_relay: true,
        reaches_store: true,
        store_read_age_ms: None,
        progress: StoreProgress::default(),
        in_flight: Vec::new(),
        stats: TrafficStats::default(),
        aggregate: None,
        region_summaries: Vec::new(),
        known_hosts: Vec::new(),
    }
}

pub fn region_summary(region: &str, sender: u64, sequence: u64) -> RegionSummary {
    RegionSummary {
        region: region.to_owned(),
        sender: Incarnation(sender),
        sender_address: announcement(sender, "b1").peer_address,
        sequence,
        hosts: vec![(Incarnation(sender), true)],
        unreachable_hosts: 0,
        progress: StoreProgress::default(),
        stats: TrafficStats::default(),
    }
}

pub fn entry(id: &str, service: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([127, 0, 0, 3], 8080).into(),
        zone: zone.to_owned(),
        version: "v1".to_owned(),
        slots: 3,
        draining: false,
        cold_duration: Duration::ZERO,
        sequence: 1,
        started_unix_ms: None,
    }
}

pub fn route(name: &str, service: &str, repeat: Repeat) -> Route {
    Route {
        name: name.to_owned(),
        host_name: "example".to_owned(),
        path_prefix: format!("/{name}/"),
        repeat,
        timeout: Duration::from_millis(1200),
        latency_objective: Duration::from_millis(400),
        priority: 1,
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        is_public: false,
        object_affinity: true,
        allowed_regions: Vec::new(),
    }
}

pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 100,
        cold_start: Duration::from_secs(3),
        cold_rate_per_s: 5.0,
    }
}

pub fn workspace(name: &str, rate_per_s: f64) -> Workspace {
    Workspace {
        name: name.to_owned(),
        key_digests: vec![key_digest(format!("key-{name}").as_bytes())],
        priority: 0,
        rate_per_s,
        burst: rate_per_s,
        allowed_regions: Vec::new(),
    }
}

pub fn catalog() -> Catalog {
    Catalog::new(
        1,
        vec![
            route("read", "lookup", Repeat::Idempotent),
            route("book", "booking", Repeat::AtMostOnce),
        ],
        vec![service("lookup"), service("booking")],
        vec![workspace("w", 0.0)],
        Limits::default(),
    )
}

pub fn servers(list: &[ServerEntry]) -> Arc<HashMap<String, Arc<ServerEntry>>> {
    Arc::new(list.iter().map(|e| (e.id.clone(), Arc::new(e.clone()))).collect())
}

/// The view of a host in zone `a1` with the catalog above and these servers.
pub fn view(list: &[ServerEntry]) -> View {
    View {
        catalog: Arc::new(catalog()),
        servers: servers(list),
        ..View::empty(bounds(), announcement(1, "a1"), zone_regions())
    }
}
