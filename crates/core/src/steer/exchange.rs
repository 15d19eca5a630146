//! Messages between hosts: which are due in a turn, what they contain, and what a received one
//! changes.

use std::net::SocketAddr;

use super::{
    control::{ControlState, DigestParts, StoreStatus, UrgentState},
    digest::{Aggregate, AggregateScope, Digest, Message, RegionSummary, StoreProgress},
    steering::Steering,
};
use crate::{host::Incarnation, time::Instant};

/// A message with the addresses of its receivers.
pub type OutgoingMessage = (Message, Vec<SocketAddr>);

/// State of this host that its messages contain besides what [`ControlState`] and [`Steering`] hold.
#[derive(Clone, Debug)]
pub struct StoreState {
    /// Store revisions that this host has applied.
    pub progress: StoreProgress,
    /// Access to the store.
    pub status: StoreStatus,
}

/// Builds the messages that are due in a turn.
pub fn due_messages(
    now: Instant,
    turn: u64,
    control: &mut ControlState,
    steering: &Steering,
    store: &StoreState,
) -> Vec<OutgoingMessage> {
    let urgent = UrgentState {
        readiness: control.region_readiness(now),
        operator_data: store.progress.operator_data.fingerprint,
        faulty_orders: steering.faulty_orders(),
        canary_errors: steering.canary_errors(),
    };
    let due = control.due_digests(now, turn, urgent);
    let mut messages = Vec::new();
    if !due.own.is_empty() {
        let followers = (!due.followers.is_empty())
            .then(|| sum_of_followers(now, control, steering, &due.followers));
        messages.push((build_digest(now, control, steering, store, followers), due.own));
    }
    // Followers without requests of their own get the same message.
    let (active, idle): (Vec<_>, Vec<_>) =
        due.region_sum.into_iter().partition(|(host, _)| steering.has_traffic(now, *host));
    for (follower, address) in active {
        let sum = sum_of_region(now, control, steering, Some(follower));
        messages.push((build_digest(now, control, steering, store, Some(sum)), vec![address]));
    }
    if !idle.is_empty() {
        let addresses = idle.into_iter().map(|(_, address)| address).collect();
        let sum = sum_of_region(now, control, steering, None);
        messages.push((build_digest(now, control, steering, store, Some(sum)), addresses));
    }
    if due.region_summary {
        let stats = steering.regional_traffic_stats(now);
        let (summary, addresses) = control.build_region_summary(now, store.progress.clone(), stats);
        if !addresses.is_empty() {
            messages.push((Message::Region(Box::new(summary)), addresses));
        }
    }
    messages
}

/// Builds this host's own digest, for a host that has just contacted it.
pub fn own_digest(
    now: Instant,
    control: &mut ControlState,
    steering: &Steering,
    store: &StoreState,
) -> Message {
    build_digest(now, control, steering, store, None)
}

/// Applies the digest of another host of the region; returns whether it led to a verdict on a
/// rollout that should be passed on at once.
pub fn receive_digest(
    now: Instant,
    control: &mut ControlState,
    steering: &mut Steering,
    mut digest: Digest,
) -> bool {
    control.receive_digest(now, &digest);
    if !control.counts_aggregate(&digest) {
        digest.aggregate = None;
    }
    steering.receive_digest(now, digest);
    control.is_unsent_verdict(&steering.faulty_orders())
}

/// Applies the summary of another region; returns whether it led to a verdict on a rollout that
/// should be passed on at once.
pub fn receive_region_summary(
    now: Instant,
    control: &mut ControlState,
    steering: &mut Steering,
    summary: RegionSummary,
) -> bool {
    steering.receive_region_summary(now, &summary);
    control.receive_region_summary(now, summary);
    control.is_unsent_verdict(&steering.faulty_orders())
}

fn build_digest(
    now: Instant,
    control: &mut ControlState,
    steering: &Steering,
    store: &StoreState,
    aggregate: Option<Aggregate>,
) -> Message {
    let parts = DigestParts {
        progress: store.progress.clone(),
        store: store.status,
        in_flight: steering.in_flight(),
        stats: steering.local_traffic_stats(),
        aggregate,
    };
    Message::Host(Box::new(control.build_digest(now, parts)))
}

fn sum_of_followers(
    now: Instant,
    control: &ControlState,
    steering: &Steering,
    followers: &[Incarnation],
) -> Aggregate {
    let hosts = control.zone_readiness(now);
    Aggregate {
        scope: AggregateScope::Followers,
        new_hosts: control.new_hosts(now, &hosts),
        hosts,
        sum: steering.sum_of_hosts(now, followers),
    }
}

fn sum_of_region(
    now: Instant,
    control: &ControlState,
    steering: &Steering,
    receiver: Option<Incarnation>,
) -> Aggregate {
    let hosts = control.region_readiness(now);
    Aggregate {
        scope: AggregateScope::Region,
        new_hosts: control.new_hosts(now, &hosts),
        hosts,
        sum: steering.sum_of_region(now, receiver),
    }
}
