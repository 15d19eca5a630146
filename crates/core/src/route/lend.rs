//! Requests for loans of slots, grants and returns.

use std::{net::SocketAddr, time::Duration};

use super::{
    RouteMsg,
    backend::{Backend, Distance},
    balancer::{BackendKey, Balancer},
    loan::{BorrowedSlots, LOAN_DURATION, LoanId, LoanRequest},
};
use crate::{
    control::PeerMsg, host::Incarnation, time::Instant, traffic::Outbox, traffic::TICK_PERIOD,
};

/// Number of hosts that are asked for a loan at the same time.
const LOAN_FAN_OUT: usize = 2;
/// Number of distances at which hosts are asked, in turn: same domain, same region, other regions.
const DISTANCE_COUNT: u8 = 3;
/// Time after which an unanswered loan request is dropped.
const LOAN_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which an unused loan from another region is returned.
const CROSS_REGION_IDLE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time that a woken request has to use the slot that was borrowed for it.
const WAKE_GRACE: Duration = Duration::from_millis(10);
/// Fraction of the owned slots that is never lent to other regions, as a divisor.
const CROSS_REGION_RESERVE_DIVISOR: f64 = 5.0;

impl Balancer {
    /// Handles a message from another host.
    pub fn handle_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        msg: &RouteMsg,
        out: &mut Outbox,
    ) {
        match msg {
            RouteMsg::RequestLoan { borrower, loan_id, domain, route, slots } => {
                if self.lender.has_loan(*borrower, *loan_id) {
                    return;
                }
                let distance =
                    self.distance_by_domain.get(domain).copied().unwrap_or(Distance::OtherRegion);
                let grant = self.grant_loan(now, (*borrower, *loan_id), distance, route, *slots);
                out.sends.push((from, PeerMsg::Route(grant)));
            }
            RouteMsg::GrantLoan { loan_id, duration, slots, response_bytes_per_slot } => {
                let Some((route, request)) = self.loan_requests.remove(loan_id) else {
                    return self.return_late_loan(from, *loan_id, slots, out);
                };
                self.record_borrowed_slots(
                    now,
                    from,
                    *loan_id,
                    request.sent_at + *duration,
                    (slots, *response_bytes_per_slot),
                    request.cross_region,
                );
                if let Some(state) = self.routes.get_mut(&route) {
                    state.pending_loan_requests = state.pending_loan_requests.saturating_sub(1);
                    if !slots.is_empty() {
                        state.next_distance = 0;
                    }
                }
                self.wake(now, &route, out);
                self.request_loans(now, &route, out);
            }
            RouteMsg::ReturnLoan { borrower, loan_id } => {
                if let Some(lent) = self.lender.end_loan(*borrower, *loan_id) {
                    self.reclaim(now, &lent.slots, out);
                }
            }
        }
    }

    /// Lends up to `requested` of the spare slots of a route; grants none if there are none.
    fn grant_loan(
        &mut self,
        now: Instant,
        (borrower, loan_id): (Incarnation, LoanId),
        distance: Distance,
        route: &str,
        requested: u16,
    ) -> RouteMsg {
        let duration =
            LOAN_DURATION + self.routes.get(route).map_or(LOAN_DURATION, |s| s.max_deadline);
        let mut left = requested.min(self.spare_slots(route, distance));
        let mut lent: Vec<(BackendKey, u16)> = Vec::new();
        let mut slots_by_server = Vec::new();
        let owned_slots: u16 = self.backends_with_owned_slots(route).map(|b| b.owned).sum();
        let rollouts = &self.rollouts;
        let servers = self.backends.iter_mut().filter(|(_, b)| {
            b.route == route && b.serving && rollouts.receives_traffic(route, &b.version)
        });
        for (key, backend) in servers {
            let limit =
                backend.health.concurrency_limit(now, backend.owned.saturating_sub(backend.lent));
            let room = limit.saturating_sub(backend.owned_in_use);
            let count = room.min(backend.owned_free()).min(left);
            if count > 0 && !backend.health.is_ejected_or_on_probation() {
                backend.lent += count;
                left -= count;
                lent.push((key, count));
                slots_by_server.push((backend.name.clone(), count));
            }
        }
        let response_bytes_per_slot = match distance {
            Distance::OtherRegion => {
                (self.response_bytes_per_second as f64 * duration.as_secs_f64()) as u64
                    / u64::from(owned_slots.max(1))
            }
            _ => 0,
        };
        if !lent.is_empty() {
            self.lender.record_loan(now, borrower, loan_id, duration, lent);
        }
        RouteMsg::GrantLoan { loan_id, duration, slots: slots_by_server, response_bytes_per_slot }
    }

    /// Number of owned slots of a route that this host may lend to a host at this distance.
    ///
    /// None are lent while requests of this host are queued. Lending to other regions leaves enough
    /// slots for this host's mean load and a reserve.
    fn spare_slots(&self, route: &str, distance: Distance) -> u16 {
        let Some(state) = self.routes.get(route) else { return 0 };
        if !state.queue.is_empty() {
            return 0;
        }
        let (mut owned, mut lent) = (0, 0);
        for backend in self.backends_with_owned_slots(route) {
            owned += backend.owned;
            lent += backend.lent;
        }
        let reserved = match distance {
            Distance::OtherRegion => {
                state.mean_load + f64::from(owned) / CROSS_REGION_RESERVE_DIVISOR
            }
            _ => 0.0,
        };
        (f64::from(owned) - f64::from(lent) - reserved).max(0.0) as u16
    }

    fn backends_with_owned_slots(&self, route: &str) -> impl Iterator<Item = &Backend> {
        self.backends.values().filter(move |b| b.route == route && b.serving && b.owned > 0)
    }

    fn record_borrowed_slots(
        &mut self,
        now: Instant,
        from: SocketAddr,
        loan_id: LoanId,
        until: Instant,
        (slots, response_bytes_per_slot): (&[(String, u16)], u64),
        cross_region: bool,
    ) {
        if until <= now {
            return;
        }
        for (name, count) in slots {
            let Some(key) = self.keys_by_name.get(name) else { continue };
            let response_bytes_left = (response_bytes_per_slot * u64::from(*count)) as i64;
            let loan = BorrowedSlots {
                lender: from,
                loan_id,
                until,
                slots: *count,
                in_use: 0,
                cross_region,
                response_bytes_left,
                idle_since: now + WAKE_GRACE,
            };
            self.backends[*key].borrowed.push(loan);
        }
    }

    /// Returns a loan that was granted after its request had timed out. A duplicate grant of a loan
    /// that this host still holds is ignored.
    fn return_late_loan(
        &self,
        from: SocketAddr,
        loan_id: LoanId,
        slots: &[(String, u16)],
        out: &mut Outbox,
    ) {
        let is_held =
            self.backends.values().any(|b| b.borrowed.iter().any(|l| l.loan_id == loan_id));
        if let Some(me) = self.local_host.as_ref().filter(|_| !is_held && !slots.is_empty()) {
            let msg = RouteMsg::ReturnLoan { borrower: me.incarnation, loan_id };
            out.sends.push((from, PeerMsg::Route(msg)));
        }
    }

    /// Makes lent slots available to this host again.
    fn reclaim(&mut self, now: Instant, slots: &[(BackendKey, u16)], out: &mut Outbox) {
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

    /// Requests loans from the next nearest hosts when requests are queued and no loan request is
    /// pending.
    pub(super) fn request_loans(&mut self, now: Instant, route: &str, out: &mut Outbox) {
        let Some(me) = &self.local_host else { return };
        let Some(state) = self.routes.get_mut(route) else { return };
        let needed = state.queue.len().saturating_sub(state.queue.woken());
        if state.pending_loan_requests > 0 || needed == 0 {
            return;
        }
        while state.next_distance < DISTANCE_COUNT {
            let distance = usize::from(state.next_distance);
            let hosts = &self.peers_by_distance[distance];
            state.next_distance += 1;
            let cross_region = distance == Distance::OtherRegion as usize;
            let may_ask =
                !cross_region || (self.link_share.has_bytes(now) && self.retry_budget.has_token());
            if hosts.is_empty() || !may_ask {
                continue;
            }
            let count = hosts.len().min(LOAN_FAN_OUT);
            let each = needed.div_ceil(count).min(usize::from(u16::MAX)) as u16;
            state.rotation = state.rotation.wrapping_add(1);
            for n in 0..count {
                self.last_loan_id = (self.last_loan_id + 1).max(now.as_micros());
                let to = hosts[(state.rotation + n) % hosts.len()];
                let msg = RouteMsg::RequestLoan {
                    borrower: me.incarnation,
                    loan_id: self.last_loan_id,
                    domain: me.domain.clone(),
                    route: route.to_owned(),
                    slots: each,
                };
                out.sends.push((to, PeerMsg::Route(msg)));
                self.loan_requests.insert(
                    self.last_loan_id,
                    (route.to_owned(), LoanRequest { sent_at: now, cross_region }),
                );
            }
            state.pending_loan_requests += count as u16;
            state.last_loan_request_at = now;
            return;
        }
    }

    /// Expires loans, loan requests and ejections, returns idle loans and requests new ones.
    pub fn tick(&mut self, now: Instant, out: &mut Outbox) {
        for lent in self.lender.expire_loans(now) {
            self.reclaim(now, &lent.slots, out);
        }
        self.return_loans(now, out);
        self.expire_loan_requests(now);
        for backend in self.backends.values_mut() {
            backend.health.end_ejection(now);
        }
        let names: Vec<String> = self.routes.keys().cloned().collect();
        for name in &names {
            self.sample_load(name);
            if let Some(state) = self.routes.get_mut(name)
                && state.last_loan_request_at + TICK_PERIOD <= now
            {
                state.next_distance = 0;
            }
            self.wake(now, name, out);
            self.request_loans(now, name, out);
        }
        self.rollouts.tick(now, out);
    }

    fn expire_loan_requests(&mut self, now: Instant) {
        let routes = &mut self.routes;
        self.loan_requests.retain(|_, (route, request)| {
            let is_expired = request.sent_at + LOAN_REQUEST_TIMEOUT <= now;
            if is_expired && let Some(state) = routes.get_mut(route) {
                state.pending_loan_requests = state.pending_loan_requests.saturating_sub(1);
            }
            !is_expired
        });
    }

    /// Returns loans that are idle or expired, once all of their slots are free.
    ///
    /// A loan from this region counts as idle as soon as no request uses its slots or waits for them.
    /// One from another region is kept for [`CROSS_REGION_IDLE_TIMEOUT`], because requesting it again
    /// takes long.
    pub(super) fn return_loans(&mut self, now: Instant, out: &mut Outbox) {
        let Some(me) = &self.local_host else { return };
        let is_kept = |b: &BorrowedSlots| {
            let limit = if b.cross_region && !self.stopping {
                CROSS_REGION_IDLE_TIMEOUT
            } else {
                Duration::ZERO
            };
            b.in_use > 0 || (now < b.until && now < b.idle_since + limit)
        };
        let mut kept: Vec<LoanId> = Vec::new();
        for backend in self.backends.values() {
            kept.extend(backend.borrowed.iter().filter(|b| is_kept(b)).map(|b| b.loan_id));
        }
        let mut ended: Vec<(SocketAddr, LoanId)> = Vec::new();
        for backend in self.backends.values_mut() {
            backend.borrowed.retain(|b| {
                let kept = kept.contains(&b.loan_id);
                if !kept && !ended.contains(&(b.lender, b.loan_id)) {
                    ended.push((b.lender, b.loan_id));
                }
                kept
            });
        }
        for (to, loan_id) in ended {
            let msg = RouteMsg::ReturnLoan { borrower: me.incarnation, loan_id };
            out.sends.push((to, PeerMsg::Route(msg)));
        }
    }
}
