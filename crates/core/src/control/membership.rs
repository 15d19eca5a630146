//! Membership: heartbeats inside the failure domain, digests between domains, and the view.

use std::{net::SocketAddr, sync::Arc};

use super::{Control, Effect, PeerMsg};
use crate::{
    event::Kind,
    host::HostInfo,
    member::{
        Digest, DomainHost, Heard, Heartbeat, MemberMsg, News, Told,
        fleet::{DOMAIN_SILENCE_LIMIT, MAX_DOMAIN_HOSTS, NEWS_LIMIT},
        list_hash,
    },
    time::Instant,
    view::{LiveHost, View},
};

/// Digests that a delegate sends in one tick when nothing has changed.
const DIGESTS_PER_TICK: usize = 16;
/// Most ticks from one digest to the next for the same delegate.
const MAX_DIGEST_TURNS: usize = 4;
/// Ticks between two confirmations of what is known of a failure domain.
const TICKS_PER_NEWS: u64 = 2;
/// Addresses of hosts not heard yet that are tried at each tick.
const HINTS_PER_TICK: usize = 8;

impl Control {
    pub(super) fn tick_members(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let fell = self.members.expire(now, self.last_tick);
        let is_relay = self.members.is_relay(now, &self.me);
        let limit = if is_relay { DOMAIN_SILENCE_LIMIT } else { NEWS_LIMIT };
        let silent = self.fleet.expire(now, limit);
        for name in &fell {
            self.log(Kind::MemberSilent, name, fx);
        }
        for domain in &silent {
            self.log(Kind::DomainSilent, domain, fx);
            self.tell_members(now, domain, fx);
        }
        if !fell.is_empty() || !silent.is_empty() {
            self.publish(now, fx);
        }
    }

    pub(super) fn hear(
        &mut self,
        now: Instant,
        from: SocketAddr,
        msg: &MemberMsg,
        fx: &mut Vec<Effect>,
    ) {
        match msg {
            MemberMsg::Heartbeat(beat) if beat.host.incarnation == self.me.incarnation => {}
            MemberMsg::Heartbeat(beat) if beat.host.domain == self.me.domain => {
                self.hear_member(now, beat, fx);
            }
            MemberMsg::Heartbeat(beat) => self.hear_stranger(now, beat, fx),
            MemberMsg::Digest(digest) if digest.host.domain != self.me.domain => {
                self.hear_digest(now, digest, fx);
            }
            MemberMsg::News(news) if news.domain != self.me.domain => {
                let told = self.fleet.learn(now, news);
                if told == Told::Missing {
                    send(from, MemberMsg::WantNews { domain: news.domain.clone() }, fx);
                }
                if told == Told::Changed {
                    self.publish(now, fx);
                    if !self.members.has_address(from) {
                        self.tell_members(now, &news.domain, fx);
                    }
                }
            }
            MemberMsg::News(news) if news.domain == self.me.domain => self.meet_members(news),
            MemberMsg::WantNews { domain } => {
                if let Some(news) = self.news_of(domain, true) {
                    send(from, MemberMsg::News(news), fx);
                }
            }
            _ => {}
        }
    }

    fn hear_member(&mut self, now: Instant, beat: &Heartbeat, fx: &mut Vec<Effect>) {
        let heard = self.members.hear(now, self.me.incarnation, beat);
        if heard == Heard::Old {
            return;
        }
        if heard == Heard::Joined {
            self.log(Kind::MemberJoined, &beat.host.name, fx);
            self.send_heartbeat(now, beat.host.peer_address, fx);
            // It may have come by one seed only and not know the others.
            let own = self.own_news(now);
            send(beat.host.peer_address, MemberMsg::News(own), fx);
        }
        if matches!(heard, Heard::Joined | Heard::Changed) {
            self.publish(now, fx);
            self.send_digests(now, fx);
        }
        if heard == Heard::Revised {
            self.tick_acks(now, fx);
        }
        self.see_revision(now, beat.revision, beat.host.peer_address, fx);
        self.see_accepted(now, beat.accepted, fx);
        self.prove_by_peer(now, beat.revision, beat.echo, fx);
    }

    /// Notes the addresses of hosts of this failure domain that have not been heard.
    fn meet_members(&mut self, news: &News) {
        let hosts = news.hosts.iter().flatten().take(MAX_DOMAIN_HOSTS);
        for address in hosts.map(|h| h.info.peer_address) {
            let is_new = address != self.me.peer_address && !self.members.has_address(address);
            let has_room = self.met.len() < MAX_DOMAIN_HOSTS;
            if is_new && has_room && !self.met.contains(&address) {
                self.met.push(address);
            }
        }
    }

    fn hear_stranger(&mut self, now: Instant, beat: &Heartbeat, fx: &mut Vec<Effect>) {
        self.see_revision(now, beat.revision, beat.host.peer_address, fx);
        if self.fleet.meet(now, beat) == Told::Same {
            return;
        }
        let own = self.own_news(now);
        send(beat.host.peer_address, MemberMsg::News(own), fx);
        self.send_digests(now, fx);
    }

    fn hear_digest(&mut self, now: Instant, digest: &Digest, fx: &mut Vec<Effect>) {
        let domain = &digest.host.domain;
        let was_known = self.fleet.get(domain).is_some_and(|d| d.heard.is_some() && !d.is_silent);
        let told = self.fleet.hear(now, self.me.incarnation, digest);
        if told == Told::Old {
            return;
        }
        if !was_known {
            self.log(Kind::DomainHeard, domain, fx);
        }
        if told == Told::Changed {
            self.publish(now, fx);
            self.tell_members(now, domain, fx);
        }
        self.see_revision(now, digest.revision, digest.host.peer_address, fx);
        self.see_accepted(now, digest.accepted, fx);
        self.prove_by_peer(now, digest.revision, digest.echo, fx);
    }

    /// Sends a heartbeat to each host of the failure domain and to some addresses not heard yet.
    pub(super) fn send_heartbeats(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let members: Vec<_> = self.members.iter().map(|m| m.last.host.peer_address).collect();
        let unknown = |a: &&SocketAddr| {
            **a != self.me.peer_address && !members.contains(a) && !self.fleet.has_address(**a)
        };
        self.met.retain(|a| !members.contains(a));
        let all = self.met.iter().chain(&self.seeds);
        let hints: Vec<_> = all.filter(unknown).collect();
        let first = self.ticks as usize * HINTS_PER_TICK;
        let tried = (0..hints.len().min(HINTS_PER_TICK)).map(|n| *hints[(first + n) % hints.len()]);
        let mut targets: Vec<SocketAddr> = members.iter().copied().chain(tried).collect();
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            self.send_heartbeat(now, to, fx);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, to: SocketAddr, fx: &mut Vec<Effect>) {
        self.sequence += 1;
        let at_address = self.members.iter().filter(|m| m.last.host.peer_address == to);
        let member = at_address.max_by_key(|m| m.heard);
        let beat = Heartbeat {
            host: self.me.clone(),
            sequence: self.sequence,
            revision: self.revision(),
            accepted: self.accepted,
            stopping: self.stopping,
            stamp: now,
            echo: member.and_then(|m| m.echo(self.proof)),
        };
        send(to, MemberMsg::Heartbeat(beat), fx);
    }

    /// Sends digests to those delegates whose turn it is.
    pub(super) fn tick_digests(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let targets = self.fleet.digest_targets();
        let turns = targets.len().div_ceil(DIGESTS_PER_TICK).clamp(1, MAX_DIGEST_TURNS);
        let turn = self.ticks as usize % turns;
        let due: Vec<_> = targets.into_iter().skip(turn).step_by(turns).collect();
        self.send_digests_to(now, &due, fx);
    }

    /// Sends a digest of this failure domain to the delegates of each other one.
    pub(super) fn send_digests(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.send_digests_to(now, &self.fleet.digest_targets(), fx);
    }

    fn send_digests_to(&mut self, now: Instant, targets: &[SocketAddr], fx: &mut Vec<Effect>) {
        if !self.members.is_relay(now, &self.me) {
            return;
        }
        let mut hosts = self.own_hosts(now);
        hosts.truncate(MAX_DOMAIN_HOSTS);
        let list = list_hash(&hosts);
        for &to in targets {
            self.sequence += 1;
            let delegate = self.fleet.delegate_at(to);
            let is_held = delegate.is_some_and(|d| d.holds == list);
            let other = delegate.and_then(|d| self.fleet.get(&d.host.domain));
            let holds = other.map_or(0, |d| d.list);
            let (echo, vouching) = match delegate {
                Some(delegate) => {
                    let (stamp, vouching) = self.best_echo(delegate.stamps.iter());
                    (stamp.map(|s| delegate.echo(s, self.proof)), vouching)
                }
                None => (None, Vec::new()),
            };
            let digest = Digest {
                host: self.me.clone(),
                sequence: self.sequence,
                revision: self.revision(),
                accepted: self.accepted,
                stamp: now,
                echo,
                vouching,
                list,
                hosts: (!is_held).then(|| hosts.clone()),
                holds,
            };
            send(to, MemberMsg::Digest(digest), fx);
        }
    }

    /// The stamp for which most seats vouch, and of several the latest one.
    fn best_echo<'s>(
        &self,
        stamps: impl Iterator<Item = &'s crate::member::own::Received>,
    ) -> (Option<Instant>, Vec<u16>) {
        let mut best = (None, Vec::new());
        for received in stamps {
            let vouching = self.vouching_since(received.at);
            if best.0.is_none() || vouching.len() >= best.1.len() {
                best = (Some(received.stamp), vouching);
            }
        }
        best
    }

    /// Confirms what is known of one other failure domain, each in its turn.
    pub(super) fn pass_news_on(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let is_due = self.ticks.is_multiple_of(TICKS_PER_NEWS);
        if !is_due || !self.members.is_relay(now, &self.me) {
            return;
        }
        let names: Vec<String> = self.fleet.iter().map(|(name, _)| name.to_owned()).collect();
        if !names.is_empty() {
            let turn = self.ticks / TICKS_PER_NEWS;
            let name = &names[turn as usize % names.len()];
            self.tell_live(now, name, false, fx);
        }
    }

    /// Tells the hosts of this failure domain about another one that has changed.
    fn tell_members(&mut self, now: Instant, domain: &str, fx: &mut Vec<Effect>) {
        if self.members.is_relay(now, &self.me) {
            self.tell_live(now, domain, true, fx);
        }
    }

    fn tell_live(&mut self, now: Instant, domain: &str, is_full: bool, fx: &mut Vec<Effect>) {
        let Some(news) = self.news_of(domain, is_full) else { return };
        for member in self.members.live(now) {
            send(member.last.host.peer_address, MemberMsg::News(news.clone()), fx);
        }
    }

    /// What this host knows of another failure domain, with its hosts or only with their hash.
    fn news_of(&mut self, domain: &str, is_full: bool) -> Option<News> {
        let known = self.fleet.get(domain)?;
        let (from, sequence) = match known.source {
            Some(source) if !known.is_silent => source,
            _ => (self.me.incarnation, self.sequence + 1),
        };
        let hosts = match known.is_silent {
            true => Some(Vec::new()),
            false => (is_full || known.list == 0).then(|| known.hosts.clone()),
        };
        let news = News { domain: domain.to_owned(), from, sequence, list: known.list, hosts };
        self.sequence += 1;
        Some(news)
    }

    fn own_news(&mut self, now: Instant) -> News {
        self.sequence += 1;
        let (domain, from) = (self.me.domain.clone(), self.me.incarnation);
        let mut hosts = self.own_hosts(now);
        hosts.truncate(MAX_DOMAIN_HOSTS);
        News { domain, from, sequence: self.sequence, list: list_hash(&hosts), hosts: Some(hosts) }
    }

    fn own_hosts(&self, now: Instant) -> Vec<DomainHost> {
        let mut hosts = self.members.domain_hosts(now);
        hosts.push(DomainHost { info: self.me.clone(), stopping: self.stopping });
        hosts.sort_by(|a, b| a.info.name.cmp(&b.info.name));
        hosts
    }

    /// Publishes a new view.
    pub(super) fn publish(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let own = self.own_hosts(now);
        let all = own.iter().chain(self.fleet.live());
        let mut hosts: Vec<_> = all.map(|h| self.live_host(&h.info, h.stopping)).collect();
        hosts.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        let seat = self.publish_seat(now);
        self.told_proof = self.proof;
        let view = View {
            me: self.me.clone(),
            revision: self.revision(),
            declaration: Arc::clone(&self.declaration),
            held: Arc::clone(&self.held),
            seat,
            open_seat: self.confirmed_seat(),
            proof: self.proof.filter(|_| seat.is_some()),
            seats: Arc::clone(&self.seats),
            accepted: self.accepted,
            rollout_records: Arc::clone(&self.rollout_records),
            hosts,
            stopping: self.stopping,
        };
        fx.push(Effect::Publish(Arc::new(view)));
    }

    fn live_host(&self, info: &HostInfo, stopping: bool) -> LiveHost {
        LiveHost {
            name: info.name.clone(),
            domain: info.domain.clone(),
            caller_address: info.caller_address,
            peer_address: info.peer_address,
            incarnation: info.incarnation,
            accepts_callers: !stopping && !self.declaration.is_draining(&info.name),
        }
    }
}

fn send(to: SocketAddr, msg: MemberMsg, fx: &mut Vec<Effect>) {
    fx.push(Effect::Send { to, msg: PeerMsg::Member(Box::new(msg)) });
}
