//! Rate limiter of all workspaces on one host.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::{
    MicroTokens, RateContext, RateMsg, SettledLoan, Share, TOKEN,
    borrow::{Distance, Lender},
    bucket::LoanId,
    declarations::PendingDeclarations,
    workspace::{WorkspaceDecision, WorkspaceLimiter},
};
use crate::{
    control::PeerMsg,
    declaration::Declaration,
    event::{Event, Kind},
    host::Incarnation,
    result::Code,
    time::Instant,
    traffic::{FlightKey, Outbox},
};

new_key_type! {
    /// Key of a workspace's rate limiter.
    struct LimiterKey;
}

/// Decision on a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// The request got a token.
    Allowed,
    /// The request waits until it is woken, or until this instant at the latest.
    Wait(Instant),
    /// The request is refused with this code.
    Refused(Code),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that got a token.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that waited.
    pub waited: u64,
    /// Messages sent.
    pub messages: u64,
    /// Tokens lent, in millionths.
    pub lent: MicroTokens,
    /// Tokens borrowed, in millionths.
    pub borrowed: MicroTokens,
    /// Grants that were late, duplicate or not from the requested lender.
    pub grants_dropped: u64,
    /// Violations of invariants.
    pub invariant_violations: u64,
}

/// Rate limiter of all workspaces on one host.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    me: Incarnation,
    authority_until: Instant,
    declarations: PendingDeclarations,
    limiters: SlotMap<LimiterKey, WorkspaceLimiter>,
    keys_by_name: HashMap<String, LimiterKey>,
    /// Peer addresses of the other holders of seats.
    addresses: HashMap<Incarnation, SocketAddr>,
    /// Limiter of the workspace of each unanswered loan request, by request number.
    pending_requests: HashMap<u64, LimiterKey>,
    next_request_number: u64,
    outbox: Outbox,
    counters: Counters,
}

impl RateLimiter {
    /// A limiter without workspaces.
    pub fn new(me: Incarnation) -> Self {
        RateLimiter {
            me,
            authority_until: Instant::ZERO,
            declarations: PendingDeclarations::default(),
            limiters: SlotMap::default(),
            keys_by_name: HashMap::new(),
            addresses: HashMap::new(),
            pending_requests: HashMap::new(),
            next_request_number: 1,
            outbox: Outbox::default(),
            counters: Counters::default(),
        }
    }

    /// Applies a new configuration and state of the fleet.
    pub fn install(&mut self, now: Instant, context: &RateContext) {
        self.authority_until = context.authority_until;
        self.declarations.update(context);
        let addresses = context.holders.values().map(|h| (h.incarnation, h.address));
        self.addresses = addresses.collect();
        let declaration = &context.declaration;
        self.drop_undeclared(declaration);
        for (key, workspace) in &declaration.workspaces {
            let name = &workspace.name;
            let share = match context.seat {
                Some(seat) => self.declarations.share(&context.domain, seat, name),
                None => Share::default(),
            };
            let limiter = *self
                .keys_by_name
                .entry(name.clone())
                .or_insert_with(|| self.limiters.insert(WorkspaceLimiter::new(now, name)));
            let limiter = &mut self.limiters[limiter];
            limiter.declared = Share {
                rate: u64::from(workspace.rate) * TOKEN,
                burst: u64::from(workspace.burst) * TOKEN,
            };
            limiter.is_share_known = self.declarations.is_known();
            limiter.bucket.set_share(now, share);
            set_lenders(now, limiter, declaration.homes_of(key), context);
        }
    }

    /// Extends the authority to use the shares of this host's seat.
    pub fn extend_authority(&mut self, authority_until: Instant) {
        self.authority_until = self.authority_until.max(authority_until);
    }

    /// Takes a token of a workspace for a request that has arrived or is resumed.
    pub fn take(
        &mut self,
        now: Instant,
        flight: FlightKey,
        workspace: &str,
        deadline: Instant,
    ) -> RateDecision {
        let Some(&key) = self.keys_by_name.get(workspace) else {
            return self.refuse(Code::OverRate);
        };
        if now >= self.authority_until {
            self.limiters[key].remove_request(flight);
            return self.refuse(Code::AuthorityEnded);
        }
        let limiter = &mut self.limiters[key];
        let resumed = limiter.resume(now, flight);
        let decision = resumed.unwrap_or_else(|| limiter.admit(now, flight, deadline));
        self.send_loan_requests(now, key);
        match decision {
            WorkspaceDecision::Allowed => {
                self.counters.admitted += 1;
                RateDecision::Allowed
            }
            WorkspaceDecision::Waiting(until) => {
                self.counters.waited += u64::from(resumed.is_none());
                RateDecision::Wait(until)
            }
            WorkspaceDecision::Refused => self.refuse(Code::OverRate),
        }
    }

    /// Whether a request of a workspace that arrives now would be refused.
    pub fn is_exhausted(&mut self, now: Instant, workspace: &str) -> bool {
        let limiter = self.keys_by_name.get(workspace).map(|&key| &mut self.limiters[key]);
        limiter.is_none_or(|limiter| limiter.is_exhausted(now))
    }

    /// Counts a request that was refused without a call of [`RateLimiter::take`].
    pub fn count_refused(&mut self) {
        self.counters.refused += 1;
    }

    /// Estimate of the time after which a refused request of a workspace can get a token.
    pub fn retry_after(&mut self, now: Instant, workspace: &str) -> Duration {
        let limiter = self.keys_by_name.get(workspace).map(|&key| &mut self.limiters[key]);
        limiter.map_or(Duration::ZERO, |limiter| limiter.time_to_token(now))
    }

    /// Removes a request that has ended.
    pub fn remove_request(&mut self, flight: FlightKey, workspace: &str) {
        if let Some(&key) = self.keys_by_name.get(workspace) {
            self.limiters[key].remove_request(flight);
        }
    }

    /// Processes a message of another host.
    pub fn handle_message(&mut self, now: Instant, from: SocketAddr, msg: &RateMsg) {
        match msg {
            RateMsg::RequestLoan { borrower, request_number, workspace, tokens, settled } => {
                let id = LoanId { borrower: *borrower, request_number: *request_number };
                self.lend(now, from, id, workspace, *tokens, settled);
            }
            RateMsg::GrantLoan { borrower, request_number, lender, tokens, tokens_left }
                if *borrower == self.me =>
            {
                self.handle_grant(now, *lender, *request_number, *tokens, *tokens_left);
            }
            RateMsg::GrantLoan { .. } => self.counters.grants_dropped += 1,
            RateMsg::ReturnLoans { borrower, workspace, settled } => {
                if let Some(&key) = self.keys_by_name.get(workspace) {
                    self.limiters[key].bucket.settle(now, *borrower, settled);
                    self.wake_ready(now, key);
                }
            }
        }
    }

    /// Handles timeouts, wakes requests and borrows tokens; called every tick of the request path.
    pub fn tick(&mut self, now: Instant) {
        let active: Vec<_> = self
            .limiters
            .iter()
            .filter(|(_, limiter)| !limiter.is_idle())
            .map(|(key, _)| key)
            .collect();
        for key in active {
            let limiter = &mut self.limiters[key];
            limiter.tick(now);
            let (expired, to_return) = limiter.borrowed.tick(now);
            for request_number in expired {
                self.pending_requests.remove(&request_number);
            }
            for (to, settled) in to_return {
                self.return_tokens(to, key, settled);
            }
            self.wake_ready(now, key);
            self.send_loan_requests(now, key);
        }
    }

    /// Moves pending wakes, messages and events to `outbox`.
    pub fn drain_into(&mut self, outbox: &mut Outbox) {
        outbox.wakes.append(&mut self.outbox.wakes);
        outbox.sends.append(&mut self.outbox.sends);
        outbox.events.append(&mut self.outbox.events);
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn lend(
        &mut self,
        now: Instant,
        from: SocketAddr,
        id: LoanId,
        workspace: &str,
        wanted: MicroTokens,
        settled: &[SettledLoan],
    ) {
        let Some(&key) = self.keys_by_name.get(workspace) else { return };
        let limiter = &mut self.limiters[key];
        limiter.bucket.settle(now, id.borrower, settled);
        let may_lend = now < self.authority_until && limiter.flights().next().is_none();
        let tokens = if may_lend { limiter.bucket.lend(now, id, wanted) } else { 0 };
        let tokens_left = if may_lend { limiter.bucket.tokens(now) } else { 0 };
        self.counters.lent += tokens;
        let LoanId { borrower, request_number } = id;
        let to = self.addresses.get(&borrower).copied().unwrap_or(from);
        self.send(
            to,
            RateMsg::GrantLoan { borrower, request_number, lender: self.me, tokens, tokens_left },
        );
        self.check_bucket(key);
        self.wake_ready(now, key);
    }

    fn handle_grant(
        &mut self,
        now: Instant,
        from: Incarnation,
        request_number: u64,
        tokens: MicroTokens,
        tokens_left: MicroTokens,
    ) {
        let request_key = self.pending_requests.get(&request_number).copied().filter(|key| {
            self.limiters.get_mut(*key).is_some_and(|limiter| {
                limiter.borrowed.handle_grant(now, from, request_number, tokens, tokens_left)
            })
        });
        let Some(key) = request_key else {
            self.counters.grants_dropped += u64::from(tokens > 0);
            return;
        };
        self.pending_requests.remove(&request_number);
        self.counters.borrowed += tokens;
        self.wake_ready(now, key);
        self.send_loan_requests(now, key);
    }

    fn wake_ready(&mut self, now: Instant, key: LimiterKey) {
        self.outbox.wakes.extend(self.limiters[key].reserve_tokens(now));
        self.check_bucket(key);
    }

    fn send_loan_requests(&mut self, now: Instant, key: LimiterKey) {
        let loan_requests = self.limiters[key].loan_requests(now);
        for request in loan_requests {
            let request_number = self.next_request_number;
            self.next_request_number += 1;
            let limiter = &mut self.limiters[key];
            limiter.borrowed.record_request(now, request_number, &request);
            let workspace = limiter.name.clone();
            self.pending_requests.insert(request_number, key);
            let msg = RateMsg::RequestLoan {
                borrower: self.me,
                request_number,
                workspace,
                tokens: request.tokens,
                settled: request.settled,
            };
            self.send(request.to, msg);
        }
    }

    fn return_tokens(&mut self, to: SocketAddr, key: LimiterKey, settled: SettledLoan) {
        let workspace = self.limiters[key].name.clone();
        let msg = RateMsg::ReturnLoans { borrower: self.me, workspace, settled: vec![settled] };
        self.send(to, msg);
    }

    fn send(&mut self, to: SocketAddr, msg: RateMsg) {
        self.counters.messages += 1;
        self.outbox.sends.push((to, PeerMsg::Rate(msg)));
    }

    fn refuse(&mut self, code: Code) -> RateDecision {
        self.counters.refused += 1;
        RateDecision::Refused(code)
    }

    /// Drops the tokens of a bucket that exceeds its share.
    fn check_bucket(&mut self, key: LimiterKey) {
        let limiter = &mut self.limiters[key];
        if limiter.bucket.is_consistent() {
            return;
        }
        limiter.bucket.discard_tokens();
        self.counters.invariant_violations += 1;
        let detail = format!("the bucket of workspace {} exceeded its share", limiter.name);
        self.outbox.events.push(Event::new(Kind::InvariantBroken, detail));
    }

    /// Removes workspaces that are no longer declared and wakes their requests.
    fn drop_undeclared(&mut self, declaration: &Declaration) {
        let outbox = &mut self.outbox;
        self.limiters.retain(|_, limiter| {
            let is_declared = declaration.workspace_names.contains_key(&limiter.name);
            if !is_declared {
                outbox.wakes.extend(limiter.flights());
            }
            is_declared
        });
        self.keys_by_name.retain(|_, key| self.limiters.contains_key(*key));
        self.pending_requests.retain(|_, key| self.limiters.contains_key(*key));
    }
}

/// Updates the lenders of a workspace; unchanged lenders keep their state.
fn set_lenders(
    now: Instant,
    limiter: &mut WorkspaceLimiter,
    homes: &[super::Home],
    context: &RateContext,
) {
    let declaration = &context.declaration;
    let mut old = std::mem::take(&mut limiter.borrowed.lenders);
    for home in homes {
        let domain = &declaration.domains[home.domain];
        let home_seat = (domain.name.clone(), home.seat);
        let Some(&holder) = context.holders.get(&home_seat) else { continue };
        let distance = match () {
            () if domain.name == context.domain => Distance::SameDomain,
            () if declaration.region_of(&context.domain) == Some(domain.region) => {
                Distance::SameRegion
            }
            () => Distance::OtherRegion,
        };
        let is_unchanged = |l: &Lender| {
            l.incarnation == holder.incarnation
                && l.address == holder.address
                && l.share == home.share
        };
        let lender = match old.iter().position(is_unchanged) {
            Some(n) => old.swap_remove(n),
            None => Lender::new(now, holder, distance, home.share),
        };
        limiter.borrowed.lenders.push(lender);
    }
}
