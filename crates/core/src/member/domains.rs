//! Other failure domains: their delegates and their live hosts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    DELEGATES_PER_DOMAIN, Digest, DomainHost, DomainStatus, Echo, Heartbeat, HostsHash, hash_hosts,
    own_domain::TimestampHistory, rendezvous_hash,
};
use crate::{
    config::Revision,
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Time without a digest after which a delegate counts another failure domain as unreachable.
pub const DOMAIN_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which hosts that are not delegates use the last status of a domain.
pub const DOMAIN_STATUS_TTL: Duration = Duration::from_secs(60);
/// Senders per failure domain whose last message number is kept; above it, only those of current
/// delegates are.
const MAX_SENDERS: usize = 8;
/// Hosts that are kept for one failure domain.
pub const MAX_DOMAIN_HOSTS: usize = 64;

/// A delegate of another failure domain, as of its last digest.
#[derive(Clone, Debug)]
pub struct Delegate {
    /// The host.
    pub host: HostInfo,
    /// When the digest was received.
    pub received_at: Instant,
    /// The revision in force on it.
    pub revision: Revision,
    /// The timestamp of this host that it echoed.
    pub echoed_timestamp: Option<Instant>,
    /// Seats of its domain whose confirmed holders had that revision in force when it received the
    /// echoed timestamp, or later.
    pub up_to_date_seats: Vec<u16>,
    /// Hash of its list of hosts of this host's failure domain.
    pub known_hosts_hash: HostsHash,
    /// Timestamps received from it.
    pub timestamps: TimestampHistory,
}

/// Another failure domain.
#[derive(Clone, Debug, Default)]
pub struct RemoteDomain {
    /// Its live hosts.
    pub hosts: Vec<DomainHost>,
    /// When its last digest or status was received.
    pub received_at: Option<Instant>,
    /// Whether it is silent: no digest or status within the limit, or a status without hosts.
    pub is_silent: bool,
    /// Sender and number of the message that reported the hosts.
    pub source: Option<(Incarnation, u64)>,
    /// Delegates that sent digests to this host.
    pub delegates: BTreeMap<Incarnation, Delegate>,
    /// Hash of the list of its hosts, 0 if no delegate has sent a list.
    pub hosts_hash: HostsHash,
    /// Number of the last message of each sender.
    sequences: BTreeMap<Incarnation, u64>,
}

/// What a message about another failure domain changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainChange {
    /// The live hosts of the domain.
    Changed,
    /// Nothing but the time of receipt.
    Unchanged,
    /// The message has the hash of a list of hosts that this host does not have.
    UnknownList,
    /// The message is not newer than one already received, and was ignored.
    Stale,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub struct RemoteDomains {
    domains: BTreeMap<String, RemoteDomain>,
}

impl RemoteDomain {
    /// Applies the hosts that a message reported.
    fn apply_status(
        &mut self,
        now: Instant,
        from: Incarnation,
        sequence: u64,
        hosts_hash: HostsHash,
        hosts: Option<&[DomainHost]>,
    ) -> DomainChange {
        if self.sequences.get(&from).is_some_and(|last| *last >= sequence) {
            return DomainChange::Stale;
        }
        if hosts.is_none() && (self.hosts_hash != hosts_hash || self.hosts.is_empty()) {
            return DomainChange::UnknownList;
        }
        self.sequences.insert(from, sequence);
        if self.sequences.len() > MAX_SENDERS {
            let delegates = self.delegates.clone();
            self.sequences.retain(|incarnation, _| {
                *incarnation == from || delegates.contains_key(incarnation)
            });
        }
        let hosts = hosts.map(|h| &h[..h.len().min(MAX_DOMAIN_HOSTS)]);
        let is_list_same = hosts.is_none_or(|h| self.hosts == h);
        let is_same = is_list_same && !self.is_silent && self.received_at.is_some();
        self.received_at = Some(now);
        self.source = Some((from, sequence));
        self.is_silent = hosts.is_some_and(<[_]>::is_empty);
        let Some(hosts) = hosts else {
            return if is_same { DomainChange::Unchanged } else { DomainChange::Changed };
        };
        if self.is_silent {
            // The addresses are kept, so that digests reach the domain once it is reachable again.
            return DomainChange::Changed;
        }
        self.hosts = hosts.to_vec();
        self.hosts_hash = hash_hosts(hosts);
        if is_same { DomainChange::Unchanged } else { DomainChange::Changed }
    }

    /// Peer addresses of the likely delegates: those that rank first in the list of hosts.
    fn likely_delegates(&self, domain: &str) -> Vec<SocketAddr> {
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_by_key(|h| (h.stopping, rendezvous_hash(domain, &h.info.name)));
        hosts.iter().take(DELEGATES_PER_DOMAIN).map(|h| h.info.peer_address).collect()
    }
}

impl RemoteDomains {
    /// Records a digest; `me` is this host's incarnation.
    pub fn record_digest(
        &mut self,
        now: Instant,
        me: Incarnation,
        digest: &Digest,
    ) -> DomainChange {
        let domain = self.domains.entry(digest.host.domain.clone()).or_default();
        let incarnation = digest.host.incarnation;
        let hosts = digest.hosts.as_deref();
        let change =
            domain.apply_status(now, incarnation, digest.sequence, digest.hosts_hash, hosts);
        if change == DomainChange::Stale {
            return change;
        }
        // Also for an unknown list: a duplicate is ignored, and the full list comes with a later
        // number.
        domain.sequences.insert(incarnation, digest.sequence);
        domain.delegates.retain(|_, d| now.saturating_since(d.received_at) <= DOMAIN_SILENCE_LIMIT);
        let delegate = domain.delegates.entry(incarnation).or_insert_with(|| Delegate {
            host: digest.host.clone(),
            received_at: now,
            revision: 0,
            echoed_timestamp: None,
            up_to_date_seats: Vec::new(),
            known_hosts_hash: 0,
            timestamps: TimestampHistory::default(),
        });
        delegate.known_hosts_hash = digest.known_hosts_hash;
        delegate.received_at = now;
        delegate.revision = digest.revision;
        delegate.timestamps.push(now, digest.timestamp);
        delegate.echoed_timestamp =
            digest.echo.filter(|e| e.incarnation == me).map(|e| e.timestamp);
        delegate.up_to_date_seats.clone_from(&digest.up_to_date_seats);
        change
    }

    /// Records the status of another failure domain.
    pub fn record_status(&mut self, now: Instant, status: &DomainStatus) -> DomainChange {
        let domain = self.domains.entry(status.domain.clone()).or_default();
        domain.apply_status(
            now,
            status.from,
            status.sequence,
            status.hosts_hash,
            status.hosts.as_deref(),
        )
    }

    /// Records a host of another failure domain that sent a heartbeat, unless a recent list exists.
    pub fn record_foreign_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> DomainChange {
        let domain = self.domains.entry(heartbeat.host.domain.clone()).or_default();
        let is_known = domain.hosts.iter().any(|h| h.info == heartbeat.host);
        let is_fresh =
            domain.received_at.is_some_and(|at| now.saturating_since(at) <= DOMAIN_STATUS_TTL);
        if is_known || (is_fresh && !domain.is_silent) || domain.hosts.len() >= MAX_DOMAIN_HOSTS {
            return DomainChange::Unchanged;
        }
        domain.hosts.retain(|h| h.info.name != heartbeat.host.name);
        domain
            .hosts
            .push(DomainHost { info: heartbeat.host.clone(), stopping: heartbeat.stopping });
        domain.hosts_hash = 0;
        DomainChange::Changed
    }

    /// Marks domains without a digest or status within `limit` as silent; returns the names of
    /// those newly marked.
    pub fn expire(&mut self, now: Instant, limit: Duration) -> Vec<String> {
        let mut silent = Vec::new();
        for (name, domain) in &mut self.domains {
            let is_expired = domain.received_at.is_some_and(|at| now.saturating_since(at) > limit);
            if is_expired && !domain.is_silent {
                domain.is_silent = true;
                silent.push(name.clone());
            }
        }
        silent
    }

    /// The other failure domains by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RemoteDomain)> {
        self.domains.iter().map(|(name, domain)| (name.as_str(), domain))
    }

    /// The other failure domain with this name.
    pub fn get(&self, domain: &str) -> Option<&RemoteDomain> {
        self.domains.get(domain)
    }

    /// Hosts of the domains that are not silent.
    pub fn live_hosts(&self) -> impl Iterator<Item = &DomainHost> {
        let reachable = self.domains.values().filter(|d| !d.is_silent && d.received_at.is_some());
        reachable.flat_map(|d| &d.hosts)
    }

    /// Whether a host of a domain that is not silent has this peer address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.live_hosts().any(|h| h.info.peer_address == address)
    }

    /// Addresses that digests are sent to: the likely delegates of each failure domain.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = Vec::new();
        for (name, domain) in &self.domains {
            all.extend(domain.likely_delegates(name));
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The delegate with this peer address.
    pub fn delegate_at(&self, address: SocketAddr) -> Option<&Delegate> {
        let mut delegates = self.domains.values().flat_map(|d| d.delegates.values());
        delegates.find(|d| d.host.peer_address == address)
    }
}

impl Delegate {
    /// Whether its last digest is within [`DOMAIN_SILENCE_LIMIT`].
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.received_at) <= DOMAIN_SILENCE_LIMIT
    }

    /// The timestamps to return to it; `proof` is the latest proof of this host.
    pub fn echo(&self, timestamp: Instant, proof: Option<Instant>) -> Echo {
        let proven_timestamp = proof.and_then(|proof| self.timestamps.latest_received_by(proof));
        Echo { incarnation: self.host.incarnation, timestamp, proven_timestamp }
    }
}
