//! States of other hosts of the region, as received in digests.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    host::Incarnation,
    steer::{
        admitted::ADMITTED_LIFETIME,
        digest::{AdmittedByWorkspace, NameHash, StateSum, add_admitted},
    },
    time::Instant,
};

/// Time for which a received state counts towards the load of servers, quotas and rates.
const LIFETIME: Duration = Duration::from_millis(1500);
/// Time for which a received state counts towards the verdict on a rollout. It is longer than
/// [`LIFETIME`], so that a short loss of messages does not take back a verdict.
const ROLLOUT_LIFETIME: Duration = Duration::from_secs(6);
/// Time for which a sum is kept against a smaller one of another relay.
const SUM_PRECEDENCE: Duration = Duration::from_millis(1000);

/// Hosts whose state was received together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Source {
    /// One host.
    Host(Incarnation),
    /// The followers of another failure domain.
    Followers(String),
    /// All other hosts of the region.
    Region,
}

/// State of one host or sum of several.
#[derive(Clone, Debug)]
pub(super) struct ReceivedState {
    received_at: Instant,
    /// The host that built the sum, which is the host itself for its own state.
    sender: Incarnation,
    /// Failure domain of a host that is no relay.
    followed_zone: Option<String>,
    pub(super) sum: StateSum,
}

impl ReceivedState {
    /// Creates a state that has just been received.
    pub(super) fn new(now: Instant, sender: Incarnation, sum: StateSum) -> Self {
        ReceivedState { received_at: now, sender, followed_zone: None, sum }
    }

    /// The same state of a host that is no relay of its failure domain.
    pub(super) fn of_follower(self, zone: String) -> Self {
        ReceivedState { followed_zone: Some(zone), ..self }
    }

    /// Adds the requests that were admitted according to this state.
    fn add_admitted(&self, now: Instant, slot: Duration, sum: &mut AdmittedByWorkspace) {
        let age = now.saturating_since(self.received_at);
        let slots = age.as_micros() / slot.as_micros().max(1);
        add_admitted(sum, &self.sum.stats.admitted, u64::try_from(slots).unwrap_or(u64::MAX));
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_since(self.received_at) <= LIFETIME
    }

    /// Whether the host has ended so recently that the requests that it had admitted still count.
    fn has_ended(&self, now: Instant, is_listed: impl Fn(Incarnation) -> bool) -> bool {
        let is_recent = now.saturating_since(self.received_at) <= ADMITTED_LIFETIME;
        !self.is_fresh(now) && is_recent && !is_listed(self.sender)
    }

    /// Whether this state replaces `known`. A relay that has just been chosen does not know all hosts
    /// yet, so its sum does not replace a larger one of another relay.
    fn replaces(&self, known: &ReceivedState) -> bool {
        self.sender == known.sender
            || self.sum.host_count >= known.sum.host_count
            || self.received_at.saturating_since(known.received_at) > SUM_PRECEDENCE
    }
}

/// Newest state from each source.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedStates {
    states: HashMap<Source, ReceivedState>,
}

impl ReceivedStates {
    /// Stores a state unless the known one is better. Returns the requests in flight that no longer
    /// count.
    pub(super) fn insert(&mut self, source: Source, state: ReceivedState) -> Vec<(NameHash, u32)> {
        if self.states.get(&source).is_some_and(|known| !state.replaces(known)) {
            return state.sum.in_flight;
        }
        self.states.insert(source, state).map(|known| known.sum.in_flight).unwrap_or_default()
    }

    /// States that together cover each other host once: the sum of the region or all others, whichever
    /// includes more hosts.
    pub(super) fn fresh(&self, now: Instant) -> impl Iterator<Item = (&Source, &ReceivedState)> {
        self.younger_than(now, LIFETIME)
    }

    /// States from which a relay builds sums. They include no sum of the region; else relays could send
    /// each other an old sum in a circle.
    pub(super) fn without_region_sum(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Source, &ReceivedState)> {
        self.states.iter().filter(move |(source, s)| {
            **source != Source::Region && now.saturating_since(s.received_at) <= LIFETIME
        })
    }

    /// The same as [`ReceivedStates::fresh`] for the verdict on a rollout.
    pub(super) fn for_rollouts(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Source, &ReceivedState)> {
        self.younger_than(now, ROLLOUT_LIFETIME)
    }

    /// Requests that all other hosts of the region have admitted, also those that have ended since. Hosts
    /// that are still listed but send no digests do not count, since a part of the quotas is reserved for
    /// them.
    pub(super) fn admitted(
        &self,
        now: Instant,
        slot: Duration,
        is_listed: impl Fn(Incarnation) -> bool,
    ) -> AdmittedByWorkspace {
        if !self.has_region_sum(now) {
            return self.admitted_without_region_sum(now, slot, is_listed, None);
        }
        let mut sum = AdmittedByWorkspace::new();
        for (_, state) in self.fresh(now) {
            state.add_admitted(now, slot, &mut sum);
        }
        sum
    }

    /// The same for a relay, which leaves out sums of the region, and the `receiver` of its sum.
    pub(super) fn admitted_without_region_sum(
        &self,
        now: Instant,
        slot: Duration,
        is_listed: impl Fn(Incarnation) -> bool,
        receiver: Option<Incarnation>,
    ) -> AdmittedByWorkspace {
        let mut sum = AdmittedByWorkspace::new();
        for (source, state) in &self.states {
            let is_receiver = receiver.is_some_and(|r| *source == Source::Host(r));
            let counts = state.is_fresh(now) || state.has_ended(now, &is_listed);
            if *source != Source::Region && !is_receiver && counts {
                state.add_admitted(now, slot, &mut sum);
            }
        }
        sum
    }

    /// Requests that followers of a failure domain had admitted which have ended since.
    pub(super) fn admitted_by_ended_followers(
        &self,
        now: Instant,
        slot: Duration,
        is_listed: impl Fn(Incarnation) -> bool,
        zone: &str,
    ) -> AdmittedByWorkspace {
        let mut sum = AdmittedByWorkspace::new();
        for state in self.states.values() {
            let is_follower = state.followed_zone.as_deref() == Some(zone);
            if is_follower && state.has_ended(now, &is_listed) {
                state.add_admitted(now, slot, &mut sum);
            }
        }
        sum
    }

    fn younger_than(
        &self,
        now: Instant,
        lifetime: Duration,
    ) -> impl Iterator<Item = (&Source, &ReceivedState)> {
        let is_young = move |s: &ReceivedState| now.saturating_since(s.received_at) <= lifetime;
        // A relay that has just been chosen gets few digests at first, and one that has just been
        // chosen by others sends small sums.
        let region = self.states.get(&Source::Region).filter(|s| is_young(s));
        let others = self.states.iter().filter(|(source, _)| **source != Source::Region);
        let others = others.filter(|(_, s)| is_young(s)).map(|(_, s)| s.sum.host_count);
        let other_count: usize = others.sum();
        let has_sum = region.is_some_and(|s| s.sum.host_count >= other_count);
        self.states
            .iter()
            .filter(move |(source, s)| is_young(s) && has_sum == (**source == Source::Region))
    }

    /// Whether the state of the other hosts comes as a sum from a relay.
    pub(super) fn has_region_sum(&self, now: Instant) -> bool {
        self.fresh(now).any(|(source, _)| *source == Source::Region)
    }

    /// Whether a host has requests in flight or has had some recently.
    pub(super) fn has_traffic(&self, now: Instant, host: Incarnation) -> bool {
        self.fresh(now).any(|(source, s)| {
            let stats = &s.sum.stats;
            *source == Source::Host(host)
                && (!s.sum.in_flight.is_empty()
                    || !stats.request_rates.is_empty()
                    || !stats.admitted.is_empty()
                    || !stats.canaries.is_empty())
        })
    }

    /// Removes expired states and returns the requests in flight that no longer count.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<(NameHash, u32)> {
        let mut ended = Vec::new();
        self.states.retain(|_, s| {
            let age = now.saturating_since(s.received_at);
            if age > LIFETIME {
                ended.append(&mut s.sum.in_flight);
            }
            age <= ROLLOUT_LIFETIME.max(ADMITTED_LIFETIME)
        });
        ended
    }
}

/// Adds up the states of several hosts.
pub(super) fn add_up<'a>(sums: impl Iterator<Item = &'a StateSum>) -> StateSum {
    let mut in_flight: BTreeMap<NameHash, u32> = BTreeMap::new();
    let mut total = StateSum::default();
    for sum in sums {
        total.host_count += sum.host_count;
        for (server, requests) in &sum.in_flight {
            *in_flight.entry(*server).or_default() += requests;
        }
        total.stats.merge(&sum.stats);
    }
    total.in_flight = in_flight.into_iter().collect();
    total
}
