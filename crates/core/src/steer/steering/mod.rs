//! The request path: every decision between the arrival of a request and its answer.

mod choose;
mod flight;
mod lane;
mod outcome;
mod peers;
mod plan;

use std::{collections::HashMap, sync::Arc, time::Duration};

use slotmap::SlotMap;

pub use self::flight::{Arrival, Flight, Next, Send};
use super::{
    cold::ColdFeeds,
    crash::Crashes,
    digest::{CanaryStats, Digest, NameHash},
    quota::Quotas,
    region_summaries::RegionSummaries,
    retry::RetryBudget,
    server::{Server, ServerKey},
    view::View,
};
use crate::{host::Incarnation, time::Instant};

/// Part of a route's objective that is assumed as latency before the first answer.
const ASSUMED_PART: f64 = 0.4;
/// Utilization of a service's slots up to which objects may be fetched freely.
const AMPLE_UTILIZATION: f64 = 0.35;
/// Growth of the cost of a fetch with the utilization above that.
const SCARCITY_COST: f64 = 8.0;

#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Latency of an idle server that knows the object, in seconds.
    base: Option<f64>,
    /// Mean time that a request fills a slot, in seconds.
    busy: Option<f64>,
    budget: RetryBudget,
    asked: u32,
    demand: f64,
    first_request: Option<Instant>,
    shares: Vec<f64>,
    /// Demand of all regions as a part of their slots.
    utilization: f64,
    planned: bool,
    trial: CanaryStats,
}

impl ServiceState {
    /// Fetching an object fills a slot several times as long, so where slots are scarce a request
    /// rather waits for a server that has it: otherwise fetches would keep the slots scarce.
    fn fetch_cost(&self) -> f64 {
        1.0 + (self.utilization - AMPLE_UTILIZATION).max(0.0) * SCARCITY_COST
    }
}

/// State of the request path of one host.
#[derive(Debug)]
pub struct Steering {
    view: Arc<View>,
    servers: SlotMap<ServerKey, Server>,
    ids: HashMap<String, ServerKey>,
    names: HashMap<NameHash, ServerKey>,
    services: HashMap<String, ServiceState>,
    digests: HashMap<Incarnation, (Instant, Digest)>,
    far: RegionSummaries,
    quotas: Quotas,
    cold: ColdFeeds,
    crashes: Crashes,
    planned_at: Instant,
    ticked_at: Instant,
}

impl Steering {
    /// The state of a host that has just started.
    pub fn new(view: Arc<View>) -> Self {
        Steering {
            view,
            servers: SlotMap::default(),
            ids: HashMap::new(),
            names: HashMap::new(),
            services: HashMap::new(),
            digests: HashMap::new(),
            far: RegionSummaries::default(),
            quotas: Quotas::default(),
            cold: ColdFeeds::default(),
            crashes: Crashes::default(),
            planned_at: Instant::ZERO,
            ticked_at: Instant::ZERO,
        }
    }

    /// The view in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Takes over a new view.
    pub fn install(&mut self, now: Instant, view: Arc<View>) {
        let servers_changed = !Arc::ptr_eq(&view.servers, &self.view.servers);
        let reopened_changed = !Arc::ptr_eq(&view.reopened, &self.view.reopened);
        self.view = Arc::clone(&view);
        if servers_changed {
            self.install_servers(now, &view);
        }
        if reopened_changed {
            self.chill_reopened(&view);
        }
        for (service, rollout) in view.rollouts.iter() {
            let state = self.services.entry(service.clone()).or_default();
            if state.trial.version != rollout.order.version {
                state.trial = CanaryStats {
                    service: service.clone(),
                    version: rollout.order.version.clone(),
                    ..CanaryStats::default()
                };
            }
        }
    }

    fn install_servers(&mut self, now: Instant, view: &View) {
        for entry in view.servers.values() {
            match self.ids.get(&entry.id) {
                Some(key) => {
                    let server = &mut self.servers[*key];
                    if server.entry.born != entry.born {
                        let cold = now + entry.cold_for;
                        *server = Server::new(Arc::clone(entry), server.region.clone(), cold);
                    } else if server.entry.sequence != entry.sequence {
                        server.cold_until = now + entry.cold_for;
                        server.entry = Arc::clone(entry);
                    } else {
                        server.entry = Arc::clone(entry);
                    }
                }
                None => {
                    let region = view.zones.get(&entry.zone).cloned().unwrap_or_default();
                    let cold = now + entry.cold_for;
                    let server = Server::new(Arc::clone(entry), region, cold);
                    let name = server.name;
                    let key = self.servers.insert(server);
                    self.ids.insert(entry.id.clone(), key);
                    self.names.insert(name, key);
                }
            }
        }
        self.ids.retain(|id, _| view.servers.contains_key(id));
        self.servers.retain(|_, s| {
            s.is_announced = view.servers.contains_key(&s.entry.id);
            s.is_announced || s.in_flight > 0
        });
        self.names.retain(|_, key| self.servers.contains_key(*key));
    }

    /// Servers of a failure domain that was evacuated may have become cold meanwhile.
    fn chill_reopened(&mut self, view: &View) {
        for server in self.servers.values_mut() {
            let Some(at) = view.reopened.get(&server.entry.zone) else { continue };
            let service = view.catalog.services.get(&server.entry.service);
            let cold_start = service.map_or(Duration::ZERO, |s| s.cold_start);
            server.cold_until = server.cold_until.max(*at + cold_start);
        }
    }

    /// Does what is due; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.ticked_at = now;
        self.cold.expire(now);
        self.crashes.expire(now);
        self.far.expire(now);
        self.expire_digests(now);
        let mut quotas = std::mem::take(&mut self.quotas);
        quotas.update(now, &self.view.terms, |workspace| self.used_elsewhere(now, workspace));
        self.quotas = quotas;
        if now.saturating_since(self.planned_at) >= plan::PLAN_PERIOD {
            self.plan_regions(now);
        }
    }

    /// Whether a server takes requests as far as the operators' orders and its announcement go.
    fn is_in_service(&self, view: &View, server: &Server) -> bool {
        server.is_announced
            && !server.entry.draining
            && !view.evacuated.contains(&server.entry.zone)
    }
}
