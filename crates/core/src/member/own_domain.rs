//! Members: the other hosts of the same failure domain.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use super::{
    DELEGATES_PER_DOMAIN, DomainHost, Echo, Heartbeat, MEMBER_RETENTION, SILENCE_LIMIT,
    rendezvous_hash,
};
use crate::{
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Time for which a timestamp of another host is kept to be echoed.
pub const TIMESTAMP_RETENTION: Duration = Duration::from_secs(1);

/// A timestamp of another host and the time of its receipt.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedTimestamp {
    /// The timestamp, on the other host's clock.
    pub timestamp: Instant,
    /// When it was received, on this host's clock.
    pub at: Instant,
}

/// Recent timestamps of one other host, the latest last.
#[derive(Clone, Debug, Default)]
pub struct TimestampHistory(VecDeque<ReceivedTimestamp>);

impl TimestampHistory {
    /// Adds a timestamp received now and removes expired ones.
    pub fn push(&mut self, now: Instant, timestamp: Instant) {
        let is_old = |r: &ReceivedTimestamp| now.saturating_since(r.at) > TIMESTAMP_RETENTION;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        self.0.push_back(ReceivedTimestamp { timestamp, at: now });
    }

    /// The latest timestamp.
    pub fn latest(&self) -> Option<Instant> {
        self.0.back().map(|r| r.timestamp)
    }

    /// The latest timestamp that was received at `limit` or before.
    pub fn latest_received_by(&self, limit: Instant) -> Option<Instant> {
        self.0.iter().rev().find(|r| r.at <= limit).map(|r| r.timestamp)
    }

    /// The timestamps, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &ReceivedTimestamp> {
        self.0.iter()
    }
}

/// Another host of the failure domain.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last heartbeat.
    pub last_heartbeat: Heartbeat,
    /// When the last heartbeat was received, on this host's clock.
    pub received_at: Instant,
    /// The latest timestamp of this host that the member has echoed.
    pub echoed_timestamp: Option<Instant>,
    /// Timestamps received from it.
    pub timestamps: TimestampHistory,
}

impl Member {
    /// Whether its last heartbeat is within [`SILENCE_LIMIT`].
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_since(self.received_at) <= SILENCE_LIMIT
    }

    /// The timestamps to return to it; `proof` is the latest proof of this host.
    pub fn echo(&self, proof: Option<Instant>) -> Option<Echo> {
        Some(Echo {
            incarnation: self.last_heartbeat.host.incarnation,
            timestamp: self.timestamps.latest()?,
            proven_timestamp: proof.and_then(|proof| self.timestamps.latest_received_by(proof)),
        })
    }
}

/// What a heartbeat changed in the member list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A new host, or a new incarnation of a host.
    Joined,
    /// The host is live again, or started or ceased to be stopping.
    Changed,
    /// The revision in force on the host.
    NewRevision,
    /// Nothing but the time of receipt.
    Unchanged,
    /// The heartbeat is not newer than one already received, and was ignored.
    Stale,
}

/// The other hosts of the failure domain.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_incarnation: BTreeMap<Incarnation, Member>,
}

impl Members {
    /// Records a heartbeat of another host of this failure domain; `me` is this host's incarnation.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        me: Incarnation,
        heartbeat: &Heartbeat,
    ) -> MemberChange {
        let incarnation = heartbeat.host.incarnation;
        let change = match self.by_incarnation.get(&incarnation) {
            None => MemberChange::Joined,
            Some(m) if m.last_heartbeat.sequence >= heartbeat.sequence => {
                return MemberChange::Stale;
            }
            Some(m) if !m.is_live(now) || m.last_heartbeat.stopping != heartbeat.stopping => {
                MemberChange::Changed
            }
            Some(m) if m.last_heartbeat.revision != heartbeat.revision => MemberChange::NewRevision,
            Some(_) => MemberChange::Unchanged,
        };
        let (last_heartbeat, timestamps) = (heartbeat.clone(), TimestampHistory::default());
        let member = self.by_incarnation.entry(incarnation).or_insert(Member {
            last_heartbeat,
            received_at: now,
            echoed_timestamp: None,
            timestamps,
        });
        member.last_heartbeat = heartbeat.clone();
        member.received_at = now;
        member.timestamps.push(now, heartbeat.timestamp);
        let echo = heartbeat.echo.filter(|e| e.incarnation == me);
        member.echoed_timestamp = member.echoed_timestamp.max(echo.map(|e| e.timestamp));
        change
    }

    /// Removes hosts silent for longer than [`MEMBER_RETENTION`]; returns the names of those that
    /// became silent since `before`.
    pub fn expire(&mut self, now: Instant, before: Instant) -> Vec<String> {
        self.by_incarnation.retain(|_, m| now.saturating_since(m.received_at) <= MEMBER_RETENTION);
        let became_silent = |m: &&Member| m.is_live(before) && !m.is_live(now);
        self.by_incarnation
            .values()
            .filter(became_silent)
            .map(|m| m.last_heartbeat.host.name.clone())
            .collect()
    }

    /// All members, silent ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_incarnation.values()
    }

    /// Members whose last heartbeat is within [`SILENCE_LIMIT`].
    pub fn live_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.by_incarnation.values().filter(move |m| m.is_live(now))
    }

    /// The member with this incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.by_incarnation.get(&incarnation)
    }

    /// Whether a member has this peer address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.by_incarnation.values().any(|m| m.last_heartbeat.host.peer_address == address)
    }

    /// Rank of `me` by [`rendezvous_hash`] among the live members that are not stopping, from 0.
    pub fn rank(&self, now: Instant, me: &HostInfo) -> usize {
        let position = |h: &HostInfo| (rendezvous_hash(&h.domain, &h.name), h.incarnation);
        let mine = position(me);
        let ahead = self
            .live_members(now)
            .filter(|m| !m.last_heartbeat.stopping && position(&m.last_heartbeat.host) < mine);
        ahead.count()
    }

    /// Whether `me` is a delegate of the failure domain.
    pub fn is_delegate(&self, now: Instant, me: &HostInfo) -> bool {
        self.rank(now, me) < DELEGATES_PER_DOMAIN
    }

    /// Live members as reported to other failure domains; this host is not among them.
    pub fn domain_hosts(&self, now: Instant) -> Vec<DomainHost> {
        let hosts = self.live_members(now).map(|m| DomainHost {
            info: m.last_heartbeat.host.clone(),
            stopping: m.last_heartbeat.stopping,
        });
        hosts.collect()
    }
}
