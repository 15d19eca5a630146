//! `wait`: waits until a revision is accepted, or in force on the given hosts.

use std::{net::SocketAddr, time::Duration};

use jasminestage_store::Client;
use serde::Serialize;
use tokio::time::Instant;

use super::{accept, hosts};
use crate::{CliError, Options, output};

/// Time between two polls of the hosts.
const POLL_PERIOD: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct InForceOutput {
    revision: u64,
    hosts: usize,
    waited_ms: u128,
}

#[derive(Serialize)]
struct AcceptedOutput {
    revision: u64,
    accepted: bool,
    waited_ms: u128,
}

/// Waits until a revision is accepted or, with admin addresses, in force on these hosts.
pub async fn run(
    store: &Client,
    cfg: &Options,
    revision: Option<u64>,
    admin: &[SocketAddr],
    seconds: u64,
) -> Result<(), CliError> {
    let revision = match revision {
        Some(revision) => revision,
        None => store.root().await?.ok_or(CliError::NoDeclaration)?.value.revision,
    };
    if admin.is_empty() {
        let waited = accept::wait(store, cfg, revision, Duration::from_secs(seconds)).await?;
        let waited_ms = waited.as_millis();
        output::print_value(
            cfg.output,
            &AcceptedOutput { revision, accepted: true, waited_ms },
            |a| format!("Revision {} is accepted.", a.revision),
        );
        return Ok(());
    }
    let http = reqwest::Client::new();
    let start = Instant::now();
    loop {
        let mut pending = Vec::new();
        for address in admin {
            let status = hosts::get_status(&http, *address).await;
            if status.is_none_or(|s| s.revision < revision) {
                pending.push(address.to_string());
            }
        }
        if pending.is_empty() {
            break;
        }
        if start.elapsed() > Duration::from_secs(seconds) {
            let pending = pending.join(", ");
            return Err(CliError::WaitTimeout { revision, seconds, pending });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    let waited_ms = start.elapsed().as_millis();
    output::print_value(
        cfg.output,
        &InForceOutput { revision, hosts: admin.len(), waited_ms },
        |f| format!("Revision {} is in force on {} host(s).", f.revision, f.hosts),
    );
    Ok(())
}
