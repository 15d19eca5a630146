//! Membership: heartbeats inside the failure domain, digests between domains, and the view.

use std::{net::SocketAddr, sync::Arc};

use super::{Control, Effect, PeerMsg};
use crate::{
    event::Kind,
    host::HostInfo,
    member::{
        Digest, DomainChange, DomainHost, DomainStatus, Heartbeat, MemberChange, MemberMsg,
        domains::{DOMAIN_SILENCE_LIMIT, DOMAIN_STATUS_TTL, MAX_DOMAIN_HOSTS},
        hash_hosts,
    },
    time::Instant,
    view::{LiveHost, View},
};

/// Number of digests above which a delegate spreads them over several ticks.
const DIGESTS_PER_TICK: usize = 16;
/// Longest interval, in ticks, between two digests to the same delegate.
const MAX_TICKS_PER_DIGEST: usize = 4;
/// Ticks between two status messages of a delegate to its own failure domain.
const TICKS_PER_DOMAIN_STATUS: u64 = 2;
/// Addresses without a known host that a heartbeat is sent to at each tick.
const NEW_ADDRESSES_PER_TICK: usize = 8;

impl Control {
    pub(super) fn tick_members(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let became_silent = self.members.expire(now, self.last_tick);
        let is_delegate = self.members.is_delegate(now, &self.me);
        let limit = if is_delegate { DOMAIN_SILENCE_LIMIT } else { DOMAIN_STATUS_TTL };
        let silent = self.remote_domains.expire(now, limit);
        for name in &became_silent {
            self.log(Kind::MemberSilent, name, effects);
        }
        for domain in &silent {
            self.log(Kind::DomainSilent, domain, effects);
            self.announce_domain_change(now, domain, effects);
        }
        if !became_silent.is_empty() || !silent.is_empty() {
            self.publish(now, effects);
        }
    }

    pub(super) fn handle_member_msg(
        &mut self,
        now: Instant,
        from: SocketAddr,
        msg: &MemberMsg,
        effects: &mut Vec<Effect>,
    ) {
        match msg {
            MemberMsg::Heartbeat(heartbeat)
                if heartbeat.host.incarnation == self.me.incarnation => {}
            MemberMsg::Heartbeat(heartbeat) if heartbeat.host.domain == self.me.domain => {
                self.handle_own_domain_heartbeat(now, heartbeat, effects);
            }
            MemberMsg::Heartbeat(heartbeat) => {
                self.handle_foreign_heartbeat(now, heartbeat, effects)
            }
            MemberMsg::Digest(digest) if digest.host.domain != self.me.domain => {
                self.handle_digest(now, digest, effects);
            }
            MemberMsg::DomainStatus(status) if status.domain != self.me.domain => {
                let change = self.remote_domains.record_status(now, status);
                if change == DomainChange::UnknownList {
                    send(
                        from,
                        MemberMsg::DomainStatusRequest { domain: status.domain.clone() },
                        effects,
                    );
                }
                if change == DomainChange::Changed {
                    self.publish(now, effects);
                    if !self.members.has_address(from) {
                        self.announce_domain_change(now, &status.domain, effects);
                    }
                }
            }
            MemberMsg::DomainStatus(status) if status.domain == self.me.domain => {
                self.record_discovered_addresses(status)
            }
            MemberMsg::DomainStatusRequest { domain } => {
                if let Some(status) = self.domain_status(domain, true) {
                    send(from, MemberMsg::DomainStatus(status), effects);
                }
            }
            _ => {}
        }
    }

    fn handle_own_domain_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let change = self.members.record_heartbeat(now, self.me.incarnation, heartbeat);
        if change == MemberChange::Stale {
            return;
        }
        if change == MemberChange::Joined {
            self.log(Kind::MemberJoined, &heartbeat.host.name, effects);
            self.send_heartbeat(now, heartbeat.host.peer_address, effects);
            // The new host may have only one seed, and needs the addresses of the others.
            let own = self.own_domain_status(now);
            send(heartbeat.host.peer_address, MemberMsg::DomainStatus(own), effects);
        }
        if matches!(change, MemberChange::Joined | MemberChange::Changed) {
            self.publish(now, effects);
            self.send_digests(now, effects);
        }
        if change == MemberChange::NewRevision {
            self.tick_acks(now, effects);
        }
        self.request_newer_revision(now, heartbeat.revision, heartbeat.host.peer_address, effects);
        self.record_accepted(now, heartbeat.accepted, effects);
        self.prove_by_peer(now, heartbeat.revision, heartbeat.echo, effects);
    }

    /// Records the addresses of hosts of this failure domain that are not members so far.
    fn record_discovered_addresses(&mut self, status: &DomainStatus) {
        let hosts = status.hosts.iter().flatten().take(MAX_DOMAIN_HOSTS);
        for address in hosts.map(|h| h.info.peer_address) {
            let is_new = address != self.me.peer_address && !self.members.has_address(address);
            let has_room = self.discovered_addresses.len() < MAX_DOMAIN_HOSTS;
            if is_new && has_room && !self.discovered_addresses.contains(&address) {
                self.discovered_addresses.push(address);
            }
        }
    }

    fn handle_foreign_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        self.request_newer_revision(now, heartbeat.revision, heartbeat.host.peer_address, effects);
        if self.remote_domains.record_foreign_heartbeat(now, heartbeat) == DomainChange::Unchanged {
            return;
        }
        let own = self.own_domain_status(now);
        send(heartbeat.host.peer_address, MemberMsg::DomainStatus(own), effects);
        self.send_digests(now, effects);
    }

    fn handle_digest(&mut self, now: Instant, digest: &Digest, effects: &mut Vec<Effect>) {
        let domain = &digest.host.domain;
        let was_known = self
            .remote_domains
            .get(domain)
            .is_some_and(|d| d.received_at.is_some() && !d.is_silent);
        let change = self.remote_domains.record_digest(now, self.me.incarnation, digest);
        if change == DomainChange::Stale {
            return;
        }
        if !was_known {
            self.log(Kind::DomainHeard, domain, effects);
        }
        if change == DomainChange::Changed {
            self.publish(now, effects);
            self.announce_domain_change(now, domain, effects);
        }
        self.request_newer_revision(now, digest.revision, digest.host.peer_address, effects);
        self.record_accepted(now, digest.accepted, effects);
        self.prove_by_peer(now, digest.revision, digest.echo, effects);
    }

    /// Sends a heartbeat to each member and to some of the addresses without a known host.
    pub(super) fn send_heartbeats(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let members: Vec<_> =
            self.members.iter().map(|m| m.last_heartbeat.host.peer_address).collect();
        let is_unknown = |a: &&SocketAddr| {
            **a != self.me.peer_address
                && !members.contains(a)
                && !self.remote_domains.has_address(**a)
        };
        self.discovered_addresses.retain(|a| !members.contains(a));
        let all = self.discovered_addresses.iter().chain(&self.seeds);
        let new_addresses: Vec<_> = all.filter(is_unknown).collect();
        let first = self.ticks as usize * NEW_ADDRESSES_PER_TICK;
        let candidates = (0..new_addresses.len().min(NEW_ADDRESSES_PER_TICK))
            .map(|n| *new_addresses[(first + n) % new_addresses.len()]);
        let mut targets: Vec<SocketAddr> = members.iter().copied().chain(candidates).collect();
        targets.sort_unstable();
        targets.dedup();
        for to in targets {
            self.send_heartbeat(now, to, effects);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, to: SocketAddr, effects: &mut Vec<Effect>) {
        self.sequence += 1;
        let at_address = self.members.iter().filter(|m| m.last_heartbeat.host.peer_address == to);
        let member = at_address.max_by_key(|m| m.received_at);
        let heartbeat = Heartbeat {
            host: self.me.clone(),
            sequence: self.sequence,
            revision: self.revision(),
            accepted: self.accepted,
            stopping: self.stopping,
            timestamp: now,
            echo: member.and_then(|m| m.echo(self.proof)),
        };
        send(to, MemberMsg::Heartbeat(heartbeat), effects);
    }

    /// Sends digests to the delegates that are due at this tick.
    pub(super) fn tick_digests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let targets = self.remote_domains.digest_targets();
        let turns = targets.len().div_ceil(DIGESTS_PER_TICK).clamp(1, MAX_TICKS_PER_DIGEST);
        let turn = self.ticks as usize % turns;
        let due: Vec<_> = targets.into_iter().skip(turn).step_by(turns).collect();
        self.send_digests_to(now, &due, effects);
    }

    /// Sends a digest to the delegates of all other failure domains.
    pub(super) fn send_digests(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.send_digests_to(now, &self.remote_domains.digest_targets(), effects);
    }

    fn send_digests_to(&mut self, now: Instant, targets: &[SocketAddr], effects: &mut Vec<Effect>) {
        if !self.members.is_delegate(now, &self.me) {
            return;
        }
        let mut hosts = self.own_domain_hosts(now);
        hosts.truncate(MAX_DOMAIN_HOSTS);
        let hosts_hash = hash_hosts(&hosts);
        for &to in targets {
            self.sequence += 1;
            let delegate = self.remote_domains.delegate_at(to);
            let is_list_known = delegate.is_some_and(|d| d.known_hosts_hash == hosts_hash);
            let other = delegate.and_then(|d| self.remote_domains.get(&d.host.domain));
            let known_hosts_hash = other.map_or(0, |d| d.hosts_hash);
            let (echo, up_to_date_seats) = match delegate {
                Some(delegate) => {
                    let (timestamp, up_to_date_seats) =
                        self.best_timestamp(delegate.timestamps.iter());
                    (timestamp.map(|s| delegate.echo(s, self.proof)), up_to_date_seats)
                }
                None => (None, Vec::new()),
            };
            let digest = Digest {
                host: self.me.clone(),
                sequence: self.sequence,
                revision: self.revision(),
                accepted: self.accepted,
                timestamp: now,
                echo,
                up_to_date_seats,
                hosts_hash,
                hosts: (!is_list_known).then(|| hosts.clone()),
                known_hosts_hash,
            };
            send(to, MemberMsg::Digest(digest), effects);
        }
    }

    /// Of the received timestamps, the one since whose receipt the most seats of this failure
    /// domain are up to date, and these seats. Of several with the same number, the last one is
    /// returned.
    fn best_timestamp<'s>(
        &self,
        timestamps: impl Iterator<Item = &'s crate::member::own_domain::ReceivedTimestamp>,
    ) -> (Option<Instant>, Vec<u16>) {
        let mut best = (None, Vec::new());
        for received in timestamps {
            let up_to_date_seats = self.own_seats_up_to_date_since(received.at);
            if best.0.is_none() || up_to_date_seats.len() >= best.1.len() {
                best = (Some(received.timestamp), up_to_date_seats);
            }
        }
        best
    }

    /// Sends the status of one other failure domain to the members, each domain in turn.
    pub(super) fn send_next_domain_status(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_due = self.ticks.is_multiple_of(TICKS_PER_DOMAIN_STATUS);
        if !is_due || !self.members.is_delegate(now, &self.me) {
            return;
        }
        let names: Vec<String> =
            self.remote_domains.iter().map(|(name, _)| name.to_owned()).collect();
        if !names.is_empty() {
            let turn = self.ticks / TICKS_PER_DOMAIN_STATUS;
            let name = &names[turn as usize % names.len()];
            self.send_domain_status(now, name, false, effects);
        }
    }

    /// On delegates, sends the full status of a changed failure domain to the members.
    fn announce_domain_change(&mut self, now: Instant, domain: &str, effects: &mut Vec<Effect>) {
        if self.members.is_delegate(now, &self.me) {
            self.send_domain_status(now, domain, true, effects);
        }
    }

    fn send_domain_status(
        &mut self,
        now: Instant,
        domain: &str,
        is_full: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(status) = self.domain_status(domain, is_full) else { return };
        for member in self.members.live_members(now) {
            send(
                member.last_heartbeat.host.peer_address,
                MemberMsg::DomainStatus(status.clone()),
                effects,
            );
        }
    }

    /// Status of another failure domain, with the list of its hosts if `is_full`.
    fn domain_status(&mut self, domain: &str, is_full: bool) -> Option<DomainStatus> {
        let known = self.remote_domains.get(domain)?;
        let (from, sequence) = match known.source {
            Some(source) if !known.is_silent => source,
            _ => (self.me.incarnation, self.sequence + 1),
        };
        let hosts = match known.is_silent {
            true => Some(Vec::new()),
            false => (is_full || known.hosts_hash == 0).then(|| known.hosts.clone()),
        };
        let status = DomainStatus {
            domain: domain.to_owned(),
            from,
            sequence,
            hosts_hash: known.hosts_hash,
            hosts,
        };
        self.sequence += 1;
        Some(status)
    }

    fn own_domain_status(&mut self, now: Instant) -> DomainStatus {
        self.sequence += 1;
        let (domain, from) = (self.me.domain.clone(), self.me.incarnation);
        let mut hosts = self.own_domain_hosts(now);
        hosts.truncate(MAX_DOMAIN_HOSTS);
        DomainStatus {
            domain,
            from,
            sequence: self.sequence,
            hosts_hash: hash_hosts(&hosts),
            hosts: Some(hosts),
        }
    }

    fn own_domain_hosts(&self, now: Instant) -> Vec<DomainHost> {
        let mut hosts = self.members.domain_hosts(now);
        hosts.push(DomainHost { info: self.me.clone(), stopping: self.stopping });
        hosts.sort_by(|a, b| a.info.name.cmp(&b.info.name));
        hosts
    }

    /// Publishes a new view.
    pub(super) fn publish(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let own = self.own_domain_hosts(now);
        let all = own.iter().chain(self.remote_domains.live_hosts());
        let mut hosts: Vec<_> = all.map(|h| self.live_host(&h.info, h.stopping)).collect();
        hosts.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        let seat = self.publish_seat(now);
        self.published_proof = self.proof;
        let view = View {
            me: self.me.clone(),
            revision: self.revision(),
            declaration: Arc::clone(&self.declaration),
            config: Arc::clone(&self.config),
            seat,
            open_seat: self.confirmed_seat(),
            proof: self.proof.filter(|_| seat.is_some()),
            seats: Arc::clone(&self.seats),
            accepted: self.accepted,
            rollout_records: Arc::clone(&self.rollout_records),
            hosts,
            stopping: self.stopping,
        };
        effects.push(Effect::Publish(Arc::new(view)));
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

fn send(to: SocketAddr, msg: MemberMsg, effects: &mut Vec<Effect>) {
    effects.push(Effect::Send { to, msg: PeerMsg::Member(Box::new(msg)) });
}
