//! The rates of all workspaces on one host.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slotmap::{SlotMap, new_key_type};

use super::{
    MicroTokens, RateMsg, Settled, Share, Standing, TOKEN,
    basis::Basis,
    borrow::{Distance, Lender},
    bucket::LoanId,
    pool::{Entry, Pool},
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
    /// Key of a workspace's state on this host.
    struct PoolKey;
}

/// What a request for a token came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The request has its token.
    Taken,
    /// The request waits until it is woken, at the latest until this instant.
    Wait(Instant),
    /// The request is refused with this code.
    Refused(Code),
}

/// What the rates have done since the start of the process.
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
    /// Answers that came late, twice or from elsewhere.
    pub answers_dropped: u64,
    /// Broken invariants.
    pub broken: u64,
}

/// The rates of all workspaces on one host.
#[derive(Clone, Debug)]
pub struct Buckets {
    me: Incarnation,
    usable_until: Instant,
    basis: Basis,
    pools: SlotMap<PoolKey, Pool>,
    names: HashMap<String, PoolKey>,
    /// Addresses of the other holders of seats.
    addresses: HashMap<Incarnation, SocketAddr>,
    /// Questions without an answer.
    asked: HashMap<u64, PoolKey>,
    next_number: u64,
    outbox: Outbox,
    counters: Counters,
}

impl Buckets {
    /// No rates yet.
    pub fn new(me: Incarnation) -> Self {
        Buckets {
            me,
            usable_until: Instant::ZERO,
            basis: Basis::default(),
            pools: SlotMap::default(),
            names: HashMap::new(),
            addresses: HashMap::new(),
            asked: HashMap::new(),
            next_number: 1,
            outbox: Outbox::default(),
            counters: Counters::default(),
        }
    }

    /// Takes over the configuration and the fleet.
    pub fn install(&mut self, now: Instant, standing: &Standing) {
        self.usable_until = standing.usable_until;
        self.basis.note(standing);
        let addresses = standing.holders.values().map(|h| (h.incarnation, h.address));
        self.addresses = addresses.collect();
        let declaration = &standing.declaration;
        self.drop_undeclared(declaration);
        for (key, workspace) in &declaration.workspaces {
            let name = &workspace.name;
            let share = match standing.seat {
                Some(seat) => self.basis.share(&standing.domain, seat, name),
                None => Share::default(),
            };
            let pool = *self
                .names
                .entry(name.clone())
                .or_insert_with(|| self.pools.insert(Pool::new(now, name)));
            let pool = &mut self.pools[pool];
            pool.whole = Share {
                rate: u64::from(workspace.rate) * TOKEN,
                burst: u64::from(workspace.burst) * TOKEN,
            };
            pool.is_known = self.basis.is_known();
            pool.bucket.set_share(now, share);
            set_lenders(now, pool, declaration.homes_of(key), standing);
        }
    }

    /// Goes on until a later instant with what this host's seat owns.
    pub fn extend(&mut self, usable_until: Instant) {
        self.usable_until = self.usable_until.max(usable_until);
    }

    /// Asks for a token of a workspace, for a request that has arrived or was woken.
    pub fn take(
        &mut self,
        now: Instant,
        flight: FlightKey,
        workspace: &str,
        deadline: Instant,
    ) -> Take {
        let Some(&key) = self.names.get(workspace) else {
            return self.refuse(Code::OverRate);
        };
        if now >= self.usable_until {
            self.pools[key].forget(flight);
            return self.refuse(Code::AuthorityEnded);
        }
        let pool = &mut self.pools[key];
        let again = pool.enter_again(now, flight);
        let entry = again.unwrap_or_else(|| pool.enter(now, flight, deadline));
        self.ask(now, key);
        match entry {
            Entry::Taken => {
                self.counters.admitted += 1;
                Take::Taken
            }
            Entry::Waiting(until) => {
                self.counters.waited += u64::from(again.is_none());
                Take::Wait(until)
            }
            Entry::Refused => self.refuse(Code::OverRate),
        }
    }

    /// Whether a request of a workspace that arrives now would be refused.
    pub fn is_exhausted(&mut self, now: Instant, workspace: &str) -> bool {
        let pool = self.names.get(workspace).map(|&key| &mut self.pools[key]);
        pool.is_none_or(|pool| pool.is_exhausted(now))
    }

    /// Counts a request that was refused before it came to [`Buckets::take`].
    pub fn count_refused(&mut self) {
        self.counters.refused += 1;
    }

    /// Time after which a refused request of a workspace can be expected to find a token.
    pub fn retry_after(&mut self, now: Instant, workspace: &str) -> Duration {
        let pool = self.names.get(workspace).map(|&key| &mut self.pools[key]);
        pool.map_or(Duration::ZERO, |pool| pool.next_token(now))
    }

    /// Forgets a request that has ended.
    pub fn forget(&mut self, flight: FlightKey, workspace: &str) {
        if let Some(&key) = self.names.get(workspace) {
            self.pools[key].forget(flight);
        }
    }

    /// Takes in a message of another host.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, msg: &RateMsg) {
        match msg {
            RateMsg::Want { asker, number, workspace, tokens, settled } => {
                let id = LoanId { asker: *asker, number: *number };
                self.lend(now, from, id, workspace, *tokens, settled);
            }
            RateMsg::Grant { asker, number, lender, tokens, left } if *asker == self.me => {
                self.granted(now, *lender, *number, *tokens, *left);
            }
            RateMsg::Grant { .. } => self.counters.answers_dropped += 1,
            RateMsg::Return { asker, workspace, settled } => {
                if let Some(&key) = self.names.get(workspace) {
                    self.pools[key].bucket.settle(now, *asker, settled);
                    self.deliver(now, key);
                }
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        let active: Vec<_> =
            self.pools.iter().filter(|(_, p)| !p.is_idle()).map(|(key, _)| key).collect();
        for key in active {
            let pool = &mut self.pools[key];
            pool.tick(now);
            let (ended, back) = pool.borrowed.tick(now);
            for number in ended {
                self.asked.remove(&number);
            }
            for (to, settled) in back {
                self.give_back(to, key, settled);
            }
            self.deliver(now, key);
            self.ask(now, key);
        }
    }

    /// Moves what is to be done outside to `outbox`.
    pub fn drain_into(&mut self, outbox: &mut Outbox) {
        outbox.wakes.append(&mut self.outbox.wakes);
        outbox.sends.append(&mut self.outbox.sends);
        outbox.events.append(&mut self.outbox.events);
    }

    /// What was done since the start of the process.
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
        settled: &[Settled],
    ) {
        let Some(&key) = self.names.get(workspace) else { return };
        let pool = &mut self.pools[key];
        pool.bucket.settle(now, id.asker, settled);
        let may = now < self.usable_until && pool.flights().next().is_none();
        let tokens = if may { pool.bucket.lend(now, id, wanted) } else { 0 };
        let left = if may { pool.bucket.tokens(now) } else { 0 };
        self.counters.lent += tokens;
        let LoanId { asker, number } = id;
        let to = self.addresses.get(&asker).copied().unwrap_or(from);
        self.send(to, RateMsg::Grant { asker, number, lender: self.me, tokens, left });
        self.verify(key);
        self.deliver(now, key);
    }

    fn granted(
        &mut self,
        now: Instant,
        from: Incarnation,
        number: u64,
        tokens: MicroTokens,
        left: MicroTokens,
    ) {
        let counts = self.asked.get(&number).copied().filter(|key| {
            self.pools
                .get_mut(*key)
                .is_some_and(|p| p.borrowed.granted(now, from, number, tokens, left))
        });
        let Some(key) = counts else {
            self.counters.answers_dropped += u64::from(tokens > 0);
            return;
        };
        self.asked.remove(&number);
        self.counters.borrowed += tokens;
        self.deliver(now, key);
        self.ask(now, key);
    }

    fn deliver(&mut self, now: Instant, key: PoolKey) {
        self.outbox.wakes.extend(self.pools[key].deliver(now));
        self.verify(key);
    }

    fn ask(&mut self, now: Instant, key: PoolKey) {
        let questions = self.pools[key].questions(now);
        for question in questions {
            let number = self.next_number;
            self.next_number += 1;
            let pool = &mut self.pools[key];
            pool.borrowed.asked(now, number, &question);
            let workspace = pool.name.clone();
            self.asked.insert(number, key);
            let msg = RateMsg::Want {
                asker: self.me,
                number,
                workspace,
                tokens: question.tokens,
                settled: question.settled,
            };
            self.send(question.to, msg);
        }
    }

    fn give_back(&mut self, to: SocketAddr, key: PoolKey, settled: Settled) {
        let workspace = self.pools[key].name.clone();
        let msg = RateMsg::Return { asker: self.me, workspace, settled: vec![settled] };
        self.send(to, msg);
    }

    fn send(&mut self, to: SocketAddr, msg: RateMsg) {
        self.counters.messages += 1;
        self.outbox.sends.push((to, PeerMsg::Rate(msg)));
    }

    fn refuse(&mut self, code: Code) -> Take {
        self.counters.refused += 1;
        Take::Refused(code)
    }

    /// Drops the tokens of a bucket that holds more than its share.
    fn verify(&mut self, key: PoolKey) {
        let pool = &mut self.pools[key];
        if pool.bucket.is_sound() {
            return;
        }
        pool.bucket.empty();
        self.counters.broken += 1;
        let detail = format!("the bucket of workspace {} exceeded its share", pool.name);
        self.outbox.events.push(Event::new(Kind::InvariantBroken, detail));
    }

    /// Forgets workspaces that are no longer declared and wakes their requests.
    fn drop_undeclared(&mut self, declaration: &Declaration) {
        let outbox = &mut self.outbox;
        self.pools.retain(|_, pool| {
            let declared = declaration.workspace_names.contains_key(&pool.name);
            if !declared {
                outbox.wakes.extend(pool.flights());
            }
            declared
        });
        self.names.retain(|_, key| self.pools.contains_key(*key));
        self.asked.retain(|_, key| self.pools.contains_key(*key));
    }
}

/// Renews the lenders of a workspace and keeps what is known of those that stay.
fn set_lenders(now: Instant, pool: &mut Pool, homes: &[super::Home], standing: &Standing) {
    let declaration = &standing.declaration;
    let mut old = std::mem::take(&mut pool.borrowed.lenders);
    for home in homes {
        let domain = &declaration.domains[home.domain];
        let at = (domain.name.clone(), home.seat);
        let Some(&holder) = standing.holders.get(&at) else { continue };
        let distance = match () {
            () if domain.name == standing.domain => Distance::SameDomain,
            () if declaration.region_of(&standing.domain) == Some(domain.region) => {
                Distance::SameRegion
            }
            () => Distance::OtherRegion,
        };
        let same = |l: &Lender| {
            l.life == holder.incarnation && l.address == holder.address && l.share == home.share
        };
        let lender = match old.iter().position(same) {
            Some(n) => old.swap_remove(n),
            None => Lender::new(now, holder, distance, home.share),
        };
        pool.borrowed.lenders.push(lender);
    }
}
