//! Waits until a revision is accepted; used by `apply` and `wait`.

use std::time::Duration;

use jasminestage_core::{
    config::{Acceptance, Revision, Root, accept::AcceptanceTracker},
    time,
};
use jasminestage_store::{Client, StoreError};
use tokio::time::Instant;

use crate::{CliError, Options, cli::OutputFormat};

/// Time between two polls of the acknowledgements.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Waits until `revision` is accepted and returns the length of the wait.
pub async fn wait(
    store: &Client,
    cfg: &Options,
    revision: Revision,
    limit: Duration,
) -> Result<Duration, CliError> {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(revision);
    let mut printed = None;
    let mut latest = Acceptance::Waiting { has_majority: false, outstanding: Vec::new() };
    loop {
        match read_root_and_acks(store).await {
            Ok((root, acks)) if root.revision >= revision => {
                let now = time::Instant::ZERO + start.elapsed();
                latest = tracker.update(now, &root, &acks);
                if latest == Acceptance::Accepted {
                    return Ok(start.elapsed());
                }
                if printed.as_ref() != Some(&latest) {
                    print_progress(cfg, &latest, tracker.authority_ends_at(&root), now);
                    printed = Some(latest.clone());
                }
            }
            Ok(_) | Err(StoreError::Call { .. }) => {}
            Err(e) => return Err(e.into()),
        }
        if start.elapsed() > limit {
            return Err(not_accepted_error(revision, limit, &latest));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn read_root_and_acks(
    store: &Client,
) -> Result<(Root, jasminestage_core::config::Acks), StoreError> {
    let root = store.root().await?.map(|stored| stored.value).unwrap_or_default();
    Ok((root, store.acks().await?))
}

/// Prints the outstanding failure domains and the end of their authority, in text output only.
fn print_progress(
    cfg: &Options,
    acceptance: &Acceptance,
    authority_ends_at: Option<time::Instant>,
    now: time::Instant,
) {
    let Acceptance::Waiting { outstanding, .. } = acceptance else { return };
    if cfg.output != OutputFormat::Text {
        return;
    }
    let names = outstanding.join(", ");
    match authority_ends_at {
        Some(end) => eprintln!(
            "Outstanding: {names}; their authority ends within {} ms.",
            end.saturating_since(now).as_millis()
        ),
        None => {
            eprintln!(
                "No majority of the declared seats has the revision in force; outstanding: {names}."
            )
        }
    }
}

fn not_accepted_error(revision: Revision, limit: Duration, latest: &Acceptance) -> CliError {
    let (majority, outstanding) = match latest {
        Acceptance::Waiting { has_majority: true, outstanding } => ("a majority", outstanding),
        Acceptance::Waiting { outstanding, .. } => ("no majority", outstanding),
        Acceptance::Accepted => ("a majority", &Vec::new()),
    };
    let outstanding = outstanding.join(", ");
    CliError::NotAccepted { revision, seconds: limit.as_secs(), majority, outstanding }
}
