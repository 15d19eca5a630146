//! Hosts of other failure domains.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::{
    Digest, DomainHost, Echo, Heartbeat, ListHash, News, RELAYS, duty_order, list_hash, own::Stamps,
};
use crate::{
    config::Revision,
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Silence after which a delegate counts another failure domain as not reachable.
pub const DOMAIN_SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the other hosts go by what their delegates last told of a domain.
pub const NEWS_LIMIT: Duration = Duration::from_secs(60);
/// Delegates that are remembered for one failure domain.
const MAX_DELEGATES: usize = 8;
/// Hosts that are remembered for one failure domain.
pub const MAX_DOMAIN_HOSTS: usize = 64;

/// What a delegate of another failure domain said last.
#[derive(Clone, Debug)]
pub struct Delegate {
    /// The delegate.
    pub host: HostInfo,
    /// When it was heard.
    pub heard: Instant,
    /// Its revision.
    pub revision: Revision,
    /// When this host made the stamp that was echoed.
    pub echoed: Option<Instant>,
    /// Seats whose holders were heard from since.
    pub vouching: Vec<u16>,
    /// Hash of the list of this host's failure domain that it holds.
    pub holds: ListHash,
    /// Its own stamps.
    pub stamps: Stamps,
}

/// What is known of another failure domain.
#[derive(Clone, Debug, Default)]
pub struct OtherDomain {
    /// Its live hosts.
    pub hosts: Vec<DomainHost>,
    /// When they were told last.
    pub heard: Option<Instant>,
    /// Whether it has fallen silent.
    pub is_silent: bool,
    /// The delegate and its digest that the hosts come from.
    pub source: Option<(Incarnation, u64)>,
    /// Delegates that spoke to this host.
    pub delegates: BTreeMap<Incarnation, Delegate>,
    /// Hash of its list of hosts, 0 when there is none from a delegate.
    pub list: ListHash,
    sequences: BTreeMap<Incarnation, u64>,
}

/// What a message about another failure domain changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its live hosts.
    Changed,
    /// Nothing but the time.
    Same,
    /// The message names a list of hosts that is not held here.
    Missing,
    /// The message is older than one already seen.
    Old,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    domains: BTreeMap<String, OtherDomain>,
}

impl OtherDomain {
    /// Takes over the hosts that a delegate told of.
    fn tell(
        &mut self,
        now: Instant,
        from: Incarnation,
        sequence: u64,
        list: ListHash,
        hosts: Option<&[DomainHost]>,
    ) -> Told {
        if self.sequences.get(&from).is_some_and(|last| *last >= sequence) {
            return Told::Old;
        }
        if hosts.is_none() && (self.list != list || self.hosts.is_empty()) {
            return Told::Missing;
        }
        self.sequences.insert(from, sequence);
        if self.sequences.len() > MAX_DELEGATES {
            let keep = self.delegates.clone();
            self.sequences.retain(|life, _| *life == from || keep.contains_key(life));
        }
        let hosts = hosts.map(|h| &h[..h.len().min(MAX_DOMAIN_HOSTS)]);
        let is_list_same = hosts.is_none_or(|h| self.hosts == h);
        let is_same = is_list_same && !self.is_silent && self.heard.is_some();
        self.heard = Some(now);
        self.source = Some((from, sequence));
        self.is_silent = hosts.is_some_and(<[_]>::is_empty);
        let Some(hosts) = hosts else {
            return if is_same { Told::Same } else { Told::Changed };
        };
        if self.is_silent {
            // The addresses are kept, to find the domain again.
            return Told::Changed;
        }
        self.hosts = hosts.to_vec();
        self.list = list_hash(hosts);
        if is_same { Told::Same } else { Told::Changed }
    }

    /// Addresses of the hosts that probably speak for the domain.
    fn delegate_addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_by_key(|h| (h.stopping, duty_order(domain, &h.info.name)));
        hosts.iter().take(RELAYS).map(|h| h.info.peer_address).collect()
    }
}

impl Fleet {
    /// Takes in a digest; `me` is the life of this host.
    pub fn hear(&mut self, now: Instant, me: Incarnation, digest: &Digest) -> Told {
        let domain = self.domains.entry(digest.host.domain.clone()).or_default();
        let life = digest.host.incarnation;
        let hosts = digest.hosts.as_deref();
        let told = domain.tell(now, life, digest.sequence, digest.list, hosts);
        if told == Told::Old {
            return told;
        }
        // The next digest has a number of its own, so that this one counts once.
        domain.sequences.insert(life, digest.sequence);
        domain.delegates.retain(|_, d| now.saturating_since(d.heard) <= DOMAIN_SILENCE_LIMIT);
        let delegate = domain.delegates.entry(life).or_insert_with(|| Delegate {
            host: digest.host.clone(),
            heard: now,
            revision: 0,
            echoed: None,
            vouching: Vec::new(),
            holds: 0,
            stamps: Stamps::default(),
        });
        delegate.holds = digest.holds;
        delegate.heard = now;
        delegate.revision = digest.revision;
        delegate.stamps.push(now, digest.stamp);
        delegate.echoed = digest.echo.filter(|e| e.of == me).map(|e| e.stamp);
        delegate.vouching.clone_from(&digest.vouching);
        told
    }

    /// Takes in what a delegate of this failure domain passed on.
    pub fn learn(&mut self, now: Instant, news: &News) -> Told {
        let domain = self.domains.entry(news.domain.clone()).or_default();
        domain.tell(now, news.from, news.sequence, news.list, news.hosts.as_deref())
    }

    /// Notes a host of another failure domain that was heard before any delegate of it.
    pub fn meet(&mut self, now: Instant, beat: &Heartbeat) -> Told {
        let domain = self.domains.entry(beat.host.domain.clone()).or_default();
        let is_known = domain.hosts.iter().any(|h| h.info == beat.host);
        let is_fresh = domain.heard.is_some_and(|at| now.saturating_since(at) <= NEWS_LIMIT);
        if is_known || (is_fresh && !domain.is_silent) || domain.hosts.len() >= MAX_DOMAIN_HOSTS {
            return Told::Same;
        }
        domain.hosts.retain(|h| h.info.name != beat.host.name);
        domain.hosts.push(DomainHost { info: beat.host.clone(), stopping: beat.stopping });
        domain.list = 0;
        Told::Changed
    }

    /// Names of domains that a delegate has not heard within the limit, each told once.
    pub fn expire(&mut self, now: Instant, limit: Duration) -> Vec<String> {
        let mut silent = Vec::new();
        for (name, domain) in &mut self.domains {
            let is_old = domain.heard.is_some_and(|at| now.saturating_since(at) > limit);
            if is_old && !domain.is_silent {
                domain.is_silent = true;
                silent.push(name.clone());
            }
        }
        silent
    }

    /// The other failure domains by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &OtherDomain)> {
        self.domains.iter().map(|(name, domain)| (name.as_str(), domain))
    }

    /// What is known of one failure domain.
    pub fn get(&self, domain: &str) -> Option<&OtherDomain> {
        self.domains.get(domain)
    }

    /// Hosts of domains that were told lately.
    pub fn live(&self) -> impl Iterator<Item = &DomainHost> {
        let reachable = self.domains.values().filter(|d| !d.is_silent && d.heard.is_some());
        reachable.flat_map(|d| &d.hosts)
    }

    /// Whether a host that was told lately listens at this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.live().any(|h| h.info.peer_address == address)
    }

    /// Where digests go: the probable delegates of each failure domain and those that spoke.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = Vec::new();
        for (name, domain) in &self.domains {
            all.extend(domain.delegate_addresses(name));
        }
        all.sort_unstable();
        all.dedup();
        all
    }

    /// The delegate that listens at this address.
    pub fn delegate_at(&self, address: SocketAddr) -> Option<&Delegate> {
        let mut delegates = self.domains.values().flat_map(|d| d.delegates.values());
        delegates.find(|d| d.host.peer_address == address)
    }
}

impl Delegate {
    /// Whether it was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.heard) <= DOMAIN_SILENCE_LIMIT
    }

    /// Its stamp as it goes back to it; `proof` is that of this host.
    pub fn echo(&self, stamp: Instant, proof: Option<Instant>) -> Echo {
        let proven = proof.and_then(|proof| self.stamps.latest_until(proof));
        Echo { of: self.host.incarnation, stamp, proven }
    }
}
