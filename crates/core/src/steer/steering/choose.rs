//! Admission and the choice of a server.

use std::{sync::Arc, time::Duration};

use super::{
    ASSUMED_PART, Arrival, Flight, Send, Steering,
    flight::Try,
    lane::{Lane, Lanes},
};
use crate::{
    declaration::Repeat,
    steer::{
        cold::feeder,
        pick::{self, Want},
        quota::QuotaState,
        refusal::{Reason, Refusal},
        regions,
        server::{Server, ServerKey},
        stable_hash, unit_interval,
        view::View,
    },
    time::Instant,
};

/// Expected latency at which a request is refused, as a multiple of its objective.
const REFUSE_AT: f64 = 2.5;
/// Part of the time left that a request may be expected to take.
const USABLE_PART: f64 = 0.85;
/// Part of the time left before which a try is not given up for another server.
const MIN_PATIENCE_PART: f64 = 0.6;

impl Steering {
    /// Decides whether a request is taken.
    pub fn admit(&mut self, now: Instant, req: &Arrival<'_>) -> Result<Flight, Refusal> {
        let view = Arc::clone(&self.view);
        if !view.catalog.is_known() {
            return Err(Reason::NoConfiguration.into());
        }
        let Some(route) = view.catalog.route(req.host, req.path) else {
            return Err(Reason::NoRoute.into());
        };
        let workspace = if route.open || !view.catalog.has_workspaces() {
            None
        } else {
            match req.key.and_then(|key| view.catalog.owner(key)) {
                Some(workspace) => Some(Arc::clone(workspace)),
                None => return Err(Reason::BadKey.into()),
            }
        };
        let patience = req.patience.unwrap_or(route.timeout);
        let position = unit_interval(stable_hash(1, req.id.as_bytes()));
        let service = route.service_at(position).to_owned();
        let fingerprint = stable_hash(3, req.path.as_bytes());
        let object = req.object.filter(|_| route.affinity);
        let object = object.map(|o| stable_hash(stable_hash(4, service.as_bytes()), o.as_bytes()));
        let flight = Flight {
            route: Arc::clone(route),
            workspace,
            service,
            deadline: now + patience.min(route.timeout),
            fingerprint,
            object,
            position: object.map_or_else(
                || unit_interval(stable_hash(5, req.id.as_bytes())),
                |o| unit_interval(stable_hash(6, &o.to_le_bytes())),
            ),
            lane: unit_interval(stable_hash(2, req.id.as_bytes())),
            tried: Vec::new(),
            connect_failures: 0,
            unknown: None,
            is_prepaid: false,
            current: None,
        };
        let state = self.services.entry(flight.service.clone()).or_default();
        state.asked += 1;
        state.first_request.get_or_insert(now);
        state.budget.deposit(&view.terms, view.host_count());
        Ok(flight)
    }

    /// Takes a request out of the quota of its workspace.
    pub fn charge(&mut self, now: Instant, flight: &Flight) -> Result<(), Refusal> {
        let Some(workspace) = &flight.workspace else { return Ok(()) };
        let view = Arc::clone(&self.view);
        let mut quotas = std::mem::take(&mut self.quotas);
        let elsewhere = || self.used_elsewhere(now, &workspace.name);
        let taken = quotas.take(now, &view.terms, workspace, elsewhere);
        self.quotas = quotas;
        taken
            .map_err(|wait| Refusal { retry_after: Some(wait), ..Refusal::from(Reason::OverQuota) })
    }

    /// What this host and the others have used of a workspace's quota, as the last decision saw it.
    pub fn quota_state(&self, workspace: &str) -> QuotaState {
        self.quotas.state(workspace)
    }

    /// Decides whether a request is one that crashes servers; called once its body is known.
    pub fn check_fingerprint(
        &self,
        now: Instant,
        flight: &mut Flight,
        fingerprint: u64,
    ) -> Result<(), Refusal> {
        flight.fingerprint = fingerprint;
        if self.crashes.refuses(now, fingerprint) {
            return Err(Reason::CrashingRequest.into());
        }
        Ok(())
    }

    /// Chooses a server for a request.
    pub fn choose(&mut self, now: Instant, flight: &mut Flight) -> Result<Send, Refusal> {
        let view = Arc::clone(&self.view);
        let left = flight.deadline.saturating_since(now);
        if left.is_zero() {
            return Err(self.give_up(flight, Reason::Expired));
        }
        if view.evacuated.len() >= view.zones.len() && !view.zones.is_empty() {
            return Err(self.give_up(flight, Reason::NoServer));
        }
        let is_faulty =
            view.rollouts.contains_key(&flight.service) && self.is_faulty(&flight.service);
        let lanes = Lanes::of(&view, now, flight, is_faulty);
        let objective = flight.route.objective.as_secs_f64();
        let state = self.services.entry(flight.service.clone()).or_default();
        let base = state.base.unwrap_or(objective * ASSUMED_PART);
        let shares = state.shares.clone();
        let fetch_cost = state.fetch_cost();
        let want = Want { object: flight.object, zone: &view.me.zone, base, fetch_cost };
        let region = self.region_of(&view, flight, &shares);
        let mut found = None;
        for lane in lanes.order() {
            found = self.best_in(now, &view, flight, lane, &want, Some(&region));
            if found.is_none() {
                found = self.best_in(now, &view, flight, lane, &want, None);
            }
            if found.is_some() {
                break;
            }
        }
        let Some(found) = found else {
            return Err(self.give_up(flight, Reason::NoServer));
        };
        let limit = (objective * REFUSE_AT).min(left.as_secs_f64() * USABLE_PART);
        if found.latency > limit && flight.tried.is_empty() {
            let wait = Duration::from_secs_f64((found.latency - limit).clamp(0.1, 1.0));
            return Err(Refusal {
                reason: Reason::Overloaded,
                retry_after: Some(wait),
                expected: Some(Duration::from_secs_f64(found.latency)),
            });
        }
        let cold_rate = view.catalog.services.get(&flight.service).map_or(1.0, |s| s.cold_rate);
        let server = &mut self.servers[found.server];
        if now < server.cold_until {
            self.cold.note(now, server.hash, cold_rate);
        }
        let (load, load_age) = (server.load(now), server.report_age(now));
        server.start(flight.object);
        let entry = Arc::clone(&server.entry);
        flight.tried.push(found.server);
        flight.current = Some(Try {
            server: found.server,
            sent: now,
            multiple: found.multiple,
            queueing: found.queueing,
            is_warm: found.is_warm,
            version: entry.version.clone(),
        });
        let patience = Duration::from_secs_f64((found.latency * 4.0).max(objective * 1.2));
        Ok(Send {
            address: entry.address,
            server: entry,
            timeout: left,
            patience: patience.max(left.mul_f64(MIN_PATIENCE_PART)),
            expected: Duration::from_secs_f64(found.latency),
            load,
            load_age,
        })
    }

    /// Whether a try that is overdue should be given up for another server. A host that stops lets
    /// servers finish what they have begun.
    pub fn may_switch(&mut self, now: Instant, flight: &mut Flight) -> bool {
        let may_repeat = flight.route.repeat == Repeat::Idempotent && !self.view.stopping;
        flight.is_prepaid = may_repeat && self.may_go_again(now, flight);
        flight.is_prepaid
    }

    /// The region that a request should run in.
    fn region_of(&self, view: &View, flight: &Flight, shares: &[f64]) -> String {
        let home = view.region_index(&view.region).unwrap_or(0);
        if shares.len() != view.regions.len() {
            return view.region.clone();
        }
        let region = &view.regions[regions::region_at(shares, home, flight.position)];
        region.clone()
    }

    fn best_in(
        &self,
        now: Instant,
        view: &View,
        flight: &Flight,
        lane: &Lane,
        want: &Want<'_>,
        region: Option<&str>,
    ) -> Option<pick::Estimate> {
        let candidates: Vec<(ServerKey, &Server)> = self
            .servers
            .iter()
            .filter(|(key, s)| {
                s.entry.service == flight.service
                    && region.is_none_or(|r| r == s.region)
                    && lane.takes(&s.entry.version)
                    && self.may_use(now, view, flight, *key, s)
            })
            .collect();
        pick::best(now, want, &candidates)
    }

    fn may_use(
        &self,
        now: Instant,
        view: &View,
        flight: &Flight,
        key: ServerKey,
        server: &Server,
    ) -> bool {
        let homes = |regions: &[String]| regions.is_empty() || regions.contains(&server.region);
        self.is_in_service(view, server)
            && homes(&flight.route.regions)
            && flight.workspace.as_ref().is_none_or(|w| homes(&w.regions))
            && !flight.tried.contains(&key)
            && !server.is_backing_off(now)
            && (now >= server.cold_until || self.feeds(now, view, server))
    }

    /// Whether this host may send a request to a cold server now.
    fn feeds(&self, now: Instant, view: &View, server: &Server) -> bool {
        let peers = view.peers.iter().filter(|p| p.is_heard && p.region == server.region);
        let me = (view.region == server.region).then_some(view.me.incarnation.0);
        let hosts = peers.map(|p| p.host.incarnation.0).chain(me);
        feeder(server.hash, hosts) == Some(view.me.incarnation.0)
            && self.cold.is_due(now, server.hash)
    }
}
