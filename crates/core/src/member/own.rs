//! Hosts of the same failure domain.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{DomainHost, Echo, FORGET_LIMIT, Heartbeat, RELAYS, SILENCE_LIMIT, duty_order};
use crate::{
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Time for which a stamp of another host is kept to be echoed.
pub const STAMP_MEMORY: Duration = Duration::from_secs(1);

/// A stamp of another host with the time at which it was received here.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    /// The stamp, on the other host's clock.
    pub stamp: Instant,
    /// When it was received, on this host's clock.
    pub at: Instant,
}

/// Stamps of one other host, the latest last.
#[derive(Clone, Debug, Default)]
pub struct Stamps(VecDeque<Received>);

impl Stamps {
    /// Notes a stamp that was received now.
    pub fn push(&mut self, now: Instant, stamp: Instant) {
        let is_old = |r: &Received| now.saturating_since(r.at) > STAMP_MEMORY;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back(Received { stamp, at: now });
    }

    /// The latest stamp.
    pub fn latest(&self) -> Option<Instant> {
        self.0.back().map(|r| r.stamp)
    }

    /// The latest stamp that was received at `limit` or before.
    pub fn latest_until(&self, limit: Instant) -> Option<Instant> {
        self.0.iter().rev().find(|r| r.at <= limit).map(|r| r.stamp)
    }

    /// The stamps, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Received> {
        self.0.iter()
    }
}

/// What is known of another host of the failure domain.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub last: Heartbeat,
    /// When it was heard last, on this host's clock.
    pub heard: Instant,
    /// When this host made the latest stamp that the member echoed.
    pub echoed: Option<Instant>,
    /// Its own stamps.
    pub stamps: Stamps,
}

impl Member {
    /// Whether it was heard lately.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.heard) <= SILENCE_LIMIT
    }

    /// Its stamps as they go back to it; `proof` is that of this host.
    pub fn echo(&self, proof: Option<Instant>) -> Option<Echo> {
        Some(Echo {
            of: self.last.host.incarnation,
            stamp: self.stamps.latest()?,
            proven: proof.and_then(|proof| self.stamps.latest_until(proof)),
        })
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A host or a new life of it.
    Joined,
    /// Something that others act on has changed.
    Changed,
    /// Its revision.
    Revised,
    /// Nothing but the time.
    Same,
    /// The heartbeat is older than one already seen.
    Old,
}

/// The other hosts of the failure domain.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_life: BTreeMap<Incarnation, Member>,
}

impl Members {
    /// Takes in a heartbeat of a host of this failure domain, whose life here is `me`.
    pub fn hear(&mut self, now: Instant, me: Incarnation, beat: &Heartbeat) -> Heard {
        let life = beat.host.incarnation;
        let heard = match self.by_life.get(&life) {
            None => Heard::Joined,
            Some(m) if m.last.sequence >= beat.sequence => return Heard::Old,
            Some(m) if !m.is_live(now) || m.last.stopping != beat.stopping => Heard::Changed,
            Some(m) if m.last.revision != beat.revision => Heard::Revised,
            Some(_) => Heard::Same,
        };
        let (last, stamps) = (beat.clone(), Stamps::default());
        let member =
            self.by_life.entry(life).or_insert(Member { last, heard: now, echoed: None, stamps });
        member.last = beat.clone();
        member.heard = now;
        member.stamps.push(now, beat.stamp);
        let echo = beat.echo.filter(|e| e.of == me);
        member.echoed = member.echoed.max(echo.map(|e| e.stamp));
        heard
    }

    /// Forgets hosts that were silent for long; returns the names that fell silent since `before`.
    pub fn expire(&mut self, now: Instant, before: Instant) -> Vec<String> {
        self.by_life.retain(|_, m| now.saturating_since(m.heard) <= FORGET_LIMIT);
        let fell = |m: &&Member| m.is_live(before) && !m.is_live(now);
        self.by_life.values().filter(fell).map(|m| m.last.host.name.clone()).collect()
    }

    /// All members that are known.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_life.values()
    }

    /// Members that were heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.by_life.values().filter(move |m| m.is_live(now))
    }

    /// The member with this life.
    pub fn get(&self, life: Incarnation) -> Option<&Member> {
        self.by_life.get(&life)
    }

    /// Whether a host listens at this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.by_life.values().any(|m| m.last.host.peer_address == address)
    }

    /// Place of `me` in the order of duties among the hosts that were heard lately.
    pub fn rank(&self, now: Instant, me: &HostInfo) -> usize {
        let place = |h: &HostInfo| (duty_order(&h.domain, &h.name), h.incarnation);
        let mine = place(me);
        let ahead = self.live(now).filter(|m| !m.last.stopping && place(&m.last.host) < mine);
        ahead.count()
    }

    /// Whether `me` reads the store and speaks for the failure domain.
    pub fn is_relay(&self, now: Instant, me: &HostInfo) -> bool {
        self.rank(now, me) < RELAYS
    }

    /// Live hosts as other failure domains are told, without this one.
    pub fn domain_hosts(&self, now: Instant) -> Vec<DomainHost> {
        let told = self
            .live(now)
            .map(|m| DomainHost { info: m.last.host.clone(), stopping: m.last.stopping });
        told.collect()
    }
}
