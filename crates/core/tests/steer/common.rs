//! A small deployment to decide about.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::{Repeat, key_digest},
    host::Incarnation,
    steer::{
        catalog::{Catalog, Limits, Route, Service, WeightedService, Workspace},
        digest::{Announcement, Digest, Progress, RegionSummary, Summary},
        server::ServerEntry,
        terms::Terms,
        view::{Peer, View},
    },
    time::Instant,
};

pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

pub fn terms() -> Terms {
    Terms { retry_extra: 60.0, quota_overage: 0.1, quota_slack: 20.0, ..Terms::default() }
}

pub fn zones() -> HashMap<String, String> {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    pairs.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect()
}

pub fn announcement(life: u64, zone: &str) -> Announcement {
    let port = 1000 + life as u16;
    Announcement {
        incarnation: Incarnation(life),
        name: format!("host-{life}"),
        zone: zone.to_owned(),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 2], port).into(),
        millicores: 200,
    }
}

pub fn peer(life: u64, zone: &str) -> Peer {
    Peer {
        host: announcement(life, zone),
        region: zones()[zone].clone(),
        ready: true,
        is_heard: true,
    }
}

pub fn digest(life: u64, zone: &str) -> Digest {
    Digest {
        from: announcement(life, zone),
        ready: true,
        reaches_store: true,
        store_read_ms: None,
        progress: Progress::default(),
        in_flight: Vec::new(),
        seen: Summary::default(),
        regions: Vec::new(),
        others: Vec::new(),
    }
}

pub fn region_summary(region: &str, speaker: u64, sequence: u64) -> RegionSummary {
    RegionSummary {
        region: region.to_owned(),
        speaker: Incarnation(speaker),
        address: announcement(speaker, "b1").peers,
        sequence,
        hosts: vec![(Incarnation(speaker), true)],
        unheard: 0,
        progress: Progress::default(),
        seen: Summary::default(),
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
        cold_for: Duration::ZERO,
        sequence: 1,
        born: None,
    }
}

pub fn route(name: &str, service: &str, repeat: Repeat) -> Route {
    Route {
        name: name.to_owned(),
        host: "example".to_owned(),
        prefix: format!("/{name}/"),
        repeat,
        timeout: Duration::from_millis(1200),
        objective: Duration::from_millis(400),
        priority: 1,
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        open: false,
        affinity: true,
        regions: Vec::new(),
    }
}

pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 100,
        cold_start: Duration::from_secs(3),
        cold_rate: 5.0,
    }
}

pub fn workspace(name: &str, rate: f64) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key_digest(format!("key-{name}").as_bytes())],
        priority: 0,
        rate,
        burst: rate,
        regions: Vec::new(),
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

/// A host in zone `a1` with the small catalog and these servers.
pub fn view(list: &[ServerEntry]) -> View {
    View {
        catalog: Arc::new(catalog()),
        servers: servers(list),
        ..View::empty(terms(), announcement(1, "a1"), zones())
    }
}
