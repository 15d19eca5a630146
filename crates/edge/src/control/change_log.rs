//! Log lines about changes of the store's items and of the state of the request path.

use jasminestage_core::{
    crash::evidence::ReportedCrash,
    steer::{
        control::{Change, ControlState},
        position::StorePosition,
        steering::{CrashChange, LimitChange, ShareChange, UnloggedChanges},
    },
};
use jasminestage_net::clock;

/// Logs changes before they are applied. `orders` is the position of the operators' data.
pub fn write(control: &ControlState, orders: StorePosition, changes: &[Change]) {
    let now = clock::now();
    for change in changes {
        match change {
            Change::Configured(catalog) => {
                let (version, before) = (catalog.version, control.view().catalog.version);
                let StorePosition { era, revision } = orders;
                if version > before {
                    tracing::info!(
                        event = 330,
                        version,
                        before,
                        era,
                        revision,
                        "A configuration is in force."
                    );
                } else if version < before {
                    tracing::warn!(
                        event = 345,
                        version,
                        before,
                        era,
                        revision,
                        "An older configuration is ignored."
                    );
                }
            }
            Change::RolloutOrdered(order) if control.is_repeated_order(now, order) => {
                tracing::info!(
                    event = 349,
                    service = order.service,
                    era = order.position.era,
                    revision = order.position.revision,
                    "A rollout order was restored or written again; the rollout goes on."
                );
            }
            Change::RolloutOrdered(order) => tracing::info!(
                event = 331,
                service = order.service,
                version = order.version,
                era = order.position.era,
                revision = order.position.revision,
                "A rollout was ordered."
            ),
            Change::RolloutWithdrawn(service) => {
                tracing::info!(event = 332, service, "A rollout order was withdrawn.");
            }
            Change::RolloutRecorded(record) => tracing::info!(
                event = 333,
                service = record.service,
                version = record.version,
                state = ?record.state,
                "The state of a rollout was recorded."
            ),
            Change::Evacuated(domain) => {
                tracing::info!(event = 334, domain, "A failure domain was evacuated.");
            }
            Change::Reopened(domain) => {
                tracing::info!(
                    event = 335,
                    domain,
                    "The evacuation of a failure domain has ended."
                );
            }
            Change::ServerAnnounced(entry) => {
                let known = control.view().servers.get(&entry.id);
                let is_changed = known.is_none_or(|k| {
                    k.draining != entry.draining || k.started_unix_ms != entry.started_unix_ms
                });
                if is_changed {
                    tracing::info!(
                        event = 336,
                        server = entry.id,
                        service = entry.service,
                        draining = entry.draining,
                        "A server announced itself, restarted or changed its draining state."
                    );
                }
            }
            Change::ServerRemoved(server) => {
                tracing::info!(event = 337, server, "The announcement of a server was removed.");
            }
            Change::HostAnnounced(host) => {
                tracing::info!(event = 338, host = host.name, "A host announced itself.");
            }
            Change::HostRemoved(host) => {
                tracing::info!(event = 339, host, "The store no longer lists a host.");
            }
        }
    }
}

/// Logs changes of the state of the request path. Shares are in the order of `regions`.
pub fn write_steering(regions: &[String], changes: &UnloggedChanges) {
    for LimitChange { server, limit, is_own_observation } in &changes.limits {
        tracing::info!(
            event = 342,
            server,
            limit = ?limit,
            observed = is_own_observation,
            "The limit of a server has changed."
        );
    }
    for ShareChange { service, shares, utilization } in &changes.shares {
        tracing::info!(
            event = 366,
            service,
            ?regions,
            ?shares,
            utilization,
            "The shares of the regions in the requests for a service have changed."
        );
    }
    for change in &changes.crashes {
        write_crash(change);
    }
}

fn write_crash(change: &CrashChange) {
    match change {
        CrashChange::ServerCrashed { server, incarnation, requests } => {
            let requests: Vec<String> = requests.iter().map(|r| format!("{r:016x}")).collect();
            tracing::warn!(
                event = 356,
                server,
                incarnation = format!("{incarnation:08x}"),
                ?requests,
                "A server has crashed; the requests that it ran are suspected."
            );
        }
        CrashChange::Refused { request, crashes } => {
            let crashes: Vec<String> = crashes.iter().map(describe_crash).collect();
            tracing::warn!(
                event = 357,
                fingerprint = format!("{request:016x}"),
                ?crashes,
                "A request is refused from now on, because it crashes servers."
            );
        }
        CrashChange::Admitted(request) => tracing::info!(
            event = 358,
            fingerprint = format!("{request:016x}"),
            "A request is no longer refused."
        ),
    }
}

/// Describes a crash by the incarnation of the server and its age.
pub fn describe_crash(crash: &ReportedCrash) -> String {
    let ReportedCrash { server, age, is_refuted } = crash;
    let suffix = if *is_refuted { ", answered since" } else { "" };
    format!("{server:08x} {} ms ago{suffix}", age.as_millis())
}
