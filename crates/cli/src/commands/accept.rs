//! Following a revision until it is accepted.

use std::time::Duration;

use jasminestage_core::{
    config::{Acceptance, Revision, Root, accept::AcceptanceTracker},
    time,
};
use jasminestage_store::{Client, StoreError};
use tokio::time::Instant;

use crate::{CliError, Options, cli::OutputFormat};

/// Time between two reads of the acknowledgements.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Waits until `revision` is accepted; returns how long it took.
pub async fn wait(
    store: &Client,
    cfg: &Options,
    revision: Revision,
    limit: Duration,
) -> Result<Duration, CliError> {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(revision);
    let mut told = None;
    let mut last = Acceptance::Waiting { has_majority: false, outstanding: Vec::new() };
    loop {
        match read(store).await {
            Ok((root, acks)) if root.revision >= revision => {
                let now = time::Instant::ZERO + start.elapsed();
                last = tracker.update(now, &root, &acks);
                if last == Acceptance::Accepted {
                    return Ok(start.elapsed());
                }
                if told.as_ref() != Some(&last) {
                    tell(cfg, &last, tracker.authority_ends_at(&root), now);
                    told = Some(last.clone());
                }
            }
            Ok(_) | Err(StoreError::Call { .. }) => {}
            Err(e) => return Err(e.into()),
        }
        if start.elapsed() > limit {
            return Err(not_accepted(revision, limit, &last));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn read(store: &Client) -> Result<(Root, jasminestage_core::config::Acks), StoreError> {
    let root = store.root().await?.map(|r| r.value).unwrap_or_default();
    Ok((root, store.acks().await?))
}

/// Shows what is outstanding and until when, to people only.
fn tell(cfg: &Options, found: &Acceptance, until: Option<time::Instant>, now: time::Instant) {
    let Acceptance::Waiting { outstanding, .. } = found else { return };
    if cfg.output != OutputFormat::Text {
        return;
    }
    let names = outstanding.join(", ");
    match until {
        Some(until) => eprintln!(
            "Outstanding: {names}; their authority ends within {} ms.",
            until.saturating_since(now).as_millis()
        ),
        None => {
            eprintln!("No majority of the declared seats has it in force; outstanding: {names}.")
        }
    }
}

fn not_accepted(revision: Revision, limit: Duration, last: &Acceptance) -> CliError {
    let (majority, outstanding) = match last {
        Acceptance::Waiting { has_majority: true, outstanding } => ("a majority", outstanding),
        Acceptance::Waiting { outstanding, .. } => ("no majority", outstanding),
        Acceptance::Accepted => ("a majority", &Vec::new()),
    };
    let outstanding = outstanding.join(", ");
    CliError::NotAccepted { revision, seconds: limit.as_secs(), majority, outstanding }
}
