//! Asking for slots, lending them and giving them back.

use std::{net::SocketAddr, time::Duration};

use super::{
    RouteMsg,
    backend::{Backend, Distance},
    balancer::{BackendKey, Balancer},
    loan::{Ask, AskId, Borrowed, LOAN_TIME},
};
use crate::{
    control::PeerMsg, host::Incarnation, time::Instant, traffic::Outbox, traffic::TICK_PERIOD,
};

/// Hosts that are asked at the same time.
const FAN_OUT: usize = 2;
/// Groups of hosts to ask: the domain, the region, other regions.
const RINGS: u8 = 3;
/// Time after which an unanswered ask is given up.
const ASK_LIMIT: Duration = Duration::from_millis(200);
/// Time after which a loan that is not used is given back.
const IDLE_LIMIT: Duration = Duration::from_millis(200);
/// Time in which a woken request takes the slot that was borrowed for it.
const WAKE_TIME: Duration = Duration::from_millis(10);
/// Part of the own slots that is never lent to other regions, as a divisor.
const FAR_RESERVE_DIVISOR: f64 = 5.0;

impl Balancer {
    /// Takes in a message of another host.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, msg: &RouteMsg, out: &mut Outbox) {
        match msg {
            RouteMsg::Ask { borrower, ask, domain, route, slots } => {
                if self.lender.knows(*borrower, *ask) {
                    return;
                }
                let far = self.domain_distance.get(domain).copied().unwrap_or(Distance::Far);
                let lend = self.lend(now, (*borrower, *ask), far, route, *slots);
                out.sends.push((from, PeerMsg::Route(lend)));
            }
            RouteMsg::Lend { ask, span, slots, bytes } => {
                let Some((route, asked)) = self.asks.remove(ask) else {
                    return self.decline(from, *ask, slots, out);
                };
                self.borrow(now, from, *ask, asked.asked + *span, (slots, *bytes), asked.far);
                if let Some(state) = self.routes.get_mut(&route) {
                    state.asks = state.asks.saturating_sub(1);
                    if !slots.is_empty() {
                        state.ring = 0;
                    }
                }
                self.wake(now, &route, out);
                self.ask(now, &route, out);
            }
            RouteMsg::GiveBack { borrower, ask } => {
                if let Some(lent) = self.lender.end(*borrower, *ask) {
                    self.take_back(now, &lent.slots, out);
                }
            }
        }
    }

    /// Lends idle slots of a route that this host can spare.
    fn lend(
        &mut self,
        now: Instant,
        (borrower, ask): (Incarnation, AskId),
        distance: Distance,
        route: &str,
        wanted: u16,
    ) -> RouteMsg {
        let span = LOAN_TIME + self.routes.get(route).map_or(LOAN_TIME, |s| s.deadline);
        let mut left = wanted.min(self.spare(route, distance));
        let mut lent: Vec<(BackendKey, u16)> = Vec::new();
        let mut named = Vec::new();
        let own_slots: u16 = self.own_of(route).map(|b| b.own).sum();
        let rollouts = &self.rollouts;
        let servers = self.backends.iter_mut().filter(|(_, b)| {
            b.route == route && b.serving && rollouts.receives_traffic(route, &b.version)
        });
        for (key, backend) in servers {
            let limit = backend.health.limit(now, backend.own.saturating_sub(backend.lent));
            let room = limit.saturating_sub(backend.own_used);
            let count = room.min(backend.own_free()).min(left);
            if count > 0 && !backend.health.is_held_out() {
                backend.lent += count;
                left -= count;
                lent.push((key, count));
                named.push((backend.name.clone(), count));
            }
        }
        let bytes = match distance {
            Distance::Far => {
                (self.answer_share as f64 * span.as_secs_f64()) as u64 / u64::from(own_slots.max(1))
            }
            _ => 0,
        };
        if !lent.is_empty() {
            self.lender.lend(now, borrower, ask, span, lent);
        }
        RouteMsg::Lend { ask, span, slots: named, bytes }
    }

    /// Own slots of a route that this host does not need itself.
    fn spare(&self, route: &str, distance: Distance) -> u16 {
        let Some(state) = self.routes.get(route) else { return 0 };
        if !state.queue.is_empty() {
            return 0;
        }
        let (mut own, mut lent) = (0, 0);
        for backend in self.own_of(route) {
            own += backend.own;
            lent += backend.lent;
        }
        let kept = match distance {
            Distance::Far => state.mean + f64::from(own) / FAR_RESERVE_DIVISOR,
            _ => 0.0,
        };
        (f64::from(own) - f64::from(lent) - kept).max(0.0) as u16
    }

    fn own_of(&self, route: &str) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |b| b.route == route && b.serving && b.own > 0)
    }

    fn borrow(
        &mut self,
        now: Instant,
        from: SocketAddr,
        ask: AskId,
        until: Instant,
        (slots, bytes): (&[(String, u16)], u64),
        far: bool,
    ) {
        if until <= now {
            return;
        }
        for (name, count) in slots {
            let Some(key) = self.names.get(name) else { continue };
            let bytes = (bytes * u64::from(*count)) as i64;
            let loan = Borrowed {
                from,
                ask,
                until,
                slots: *count,
                used: 0,
                far,
                bytes,
                idle_since: now + WAKE_TIME,
            };
            self.backends[*key].borrowed.push(loan);
        }
    }

    /// Gives back a loan that came too late to be used.
    fn decline(&self, from: SocketAddr, ask: AskId, slots: &[(String, u16)], out: &mut Outbox) {
        let held = self.backends.values().any(|b| b.borrowed.iter().any(|l| l.ask == ask));
        if let Some(me) = self.me.as_ref().filter(|_| !held && !slots.is_empty()) {
            let msg = RouteMsg::GiveBack { borrower: me.incarnation, ask };
            out.sends.push((from, PeerMsg::Route(msg)));
        }
    }

    fn take_back(&mut self, now: Instant, slots: &[(BackendKey, u16)], out: &mut Outbox) {
        let mut routes = Vec::new();
        for (key, count) in slots {
            if let Some(backend) = self.backends.get_mut(*key) {
                backend.lent = backend.lent.saturating_sub(*count);
                routes.push(backend.route.clone());
            }
        }
        for route in routes {
            self.wake(now, &route, out);
        }
    }

    /// Asks the next hosts for slots when requests wait and no ask is under way.
    pub(super) fn ask(&mut self, now: Instant, route: &str, out: &mut Outbox) {
        let Some(me) = &self.me else { return };
        let Some(state) = self.routes.get_mut(route) else { return };
        let short = state.queue.len().saturating_sub(state.queue.woken());
        if state.asks > 0 || short == 0 {
            return;
        }
        while state.ring < RINGS {
            let ring = usize::from(state.ring);
            let hosts = &self.rings[ring];
            state.ring += 1;
            let far = ring == Distance::Far as usize;
            let open = !far || (self.link.is_open(now) && self.budget.has_token());
            if hosts.is_empty() || !open {
                continue;
            }
            let count = hosts.len().min(FAN_OUT);
            let each = short.div_ceil(count).min(usize::from(u16::MAX)) as u16;
            state.turn = state.turn.wrapping_add(1);
            for n in 0..count {
                self.last_ask = (self.last_ask + 1).max(now.as_micros());
                let to = hosts[(state.turn + n) % hosts.len()];
                let msg = RouteMsg::Ask {
                    borrower: me.incarnation,
                    ask: self.last_ask,
                    domain: me.domain.clone(),
                    route: route.to_owned(),
                    slots: each,
                };
                out.sends.push((to, PeerMsg::Route(msg)));
                self.asks.insert(self.last_ask, (route.to_owned(), Ask { asked: now, far }));
            }
            state.asks += count as u16;
            state.asked = now;
            return;
        }
    }

    /// Ends what is over: asks, loans and ejections; gives back idle loans.
    pub fn tick(&mut self, now: Instant, out: &mut Outbox) {
        for lent in self.lender.expire(now) {
            self.take_back(now, &lent.slots, out);
        }
        self.give_back(now, out);
        self.expire_asks(now);
        for backend in self.backends.values_mut() {
            backend.health.refresh(now);
        }
        let names: Vec<String> = self.routes.keys().cloned().collect();
        for name in &names {
            self.sample_load(name);
            if let Some(state) = self.routes.get_mut(name)
                && state.asked + TICK_PERIOD <= now
            {
                state.ring = 0;
            }
            self.wake(now, name, out);
            self.ask(now, name, out);
        }
        self.rollouts.tick(now, out);
    }

    fn expire_asks(&mut self, now: Instant) {
        let routes = &mut self.routes;
        self.asks.retain(|_, (route, ask)| {
            let over = ask.asked + ASK_LIMIT <= now;
            if over && let Some(state) = routes.get_mut(route) {
                state.asks = state.asks.saturating_sub(1);
            }
            !over
        });
    }

    /// Gives back loans that are idle or over, once all of their slots are free.
    ///
    /// A loan from this region is idle at once when no request waits; one from another region is
    /// kept for a while, because to ask for it again takes long.
    pub(super) fn give_back(&mut self, now: Instant, out: &mut Outbox) {
        let Some(me) = &self.me else { return };
        let keep = |b: &Borrowed| {
            let limit = if b.far && !self.stopping { IDLE_LIMIT } else { Duration::ZERO };
            b.used > 0 || (now < b.until && now < b.idle_since + limit)
        };
        let mut kept: Vec<AskId> = Vec::new();
        for backend in self.backends.values() {
            kept.extend(backend.borrowed.iter().filter(|b| keep(b)).map(|b| b.ask));
        }
        let mut ended: Vec<(SocketAddr, AskId)> = Vec::new();
        for backend in self.backends.values_mut() {
            backend.borrowed.retain(|b| {
                let kept = kept.contains(&b.ask);
                if !kept && !ended.contains(&(b.from, b.ask)) {
                    ended.push((b.from, b.ask));
                }
                kept
            });
        }
        for (to, ask) in ended {
            let msg = RouteMsg::GiveBack { borrower: me.incarnation, ask };
            out.sends.push((to, PeerMsg::Route(msg)));
        }
    }
}
