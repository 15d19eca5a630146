//! Log lines about changes of the store's items.

use jasminestage_core::steer::{
    control::{Change, ControlState},
    position::StorePosition,
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
