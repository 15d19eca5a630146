//! `wait`: waits until a revision is accepted, or in force on hosts.

use std::{net::SocketAddr, time::Duration};

use jasminestage_store::Client;
use serde::Serialize;
use tokio::time::Instant;

use super::{accept, hosts};
use crate::{CliError, Options, output};

/// Time between two rounds of questions.
const POLL_PERIOD: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct InForce {
    revision: u64,
    hosts: usize,
    waited_ms: u128,
}

#[derive(Serialize)]
struct Accepted {
    revision: u64,
    accepted: bool,
    waited_ms: u128,
}

/// Waits for a revision.
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
        output::print(cfg.output, &Accepted { revision, accepted: true, waited_ms }, |a| {
            format!("Revision {} is accepted.", a.revision)
        });
        return Ok(());
    }
    let http = reqwest::Client::new();
    let start = Instant::now();
    loop {
        let mut waiting = Vec::new();
        for address in admin {
            let status = hosts::status(&http, *address).await;
            if status.is_none_or(|s| s.revision < revision) {
                waiting.push(address.to_string());
            }
        }
        if waiting.is_empty() {
            break;
        }
        if start.elapsed() > Duration::from_secs(seconds) {
            let waiting = waiting.join(", ");
            return Err(CliError::WaitTimeout { revision, seconds, waiting });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    let waited_ms = start.elapsed().as_millis();
    output::print(cfg.output, &InForce { revision, hosts: admin.len(), waited_ms }, |f| {
        format!("Revision {} is in force on {} host(s).", f.revision, f.hosts)
    });
    Ok(())
}
