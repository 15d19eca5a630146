//! `status`: shows the revision in the store and the status of hosts.

use std::net::SocketAddr;

use jasminestage_store::Client;
use serde::Serialize;

use super::hosts::{self, HostStatus};
use crate::{
    CliError, Options, output,
    output::table::{Severity, TextTable},
};

#[derive(Serialize)]
struct FleetStatus {
    store_revision: Option<u64>,
    hosts: Vec<HostAnswer>,
}

#[derive(Serialize)]
struct HostAnswer {
    address: SocketAddr,
    status: Option<HostStatus>,
}

/// Prints the status of the store and of hosts.
pub async fn run(store: &Client, cfg: &Options, admin: &[SocketAddr]) -> Result<(), CliError> {
    let http = reqwest::Client::new();
    let mut answers = Vec::with_capacity(admin.len());
    for address in admin {
        let status = hosts::get_status(&http, *address).await;
        answers.push(HostAnswer { address: *address, status });
    }
    let store_revision = match store.root().await {
        Ok(root) => root.map(|r| r.value.revision),
        Err(e) if admin.is_empty() => return Err(e.into()),
        Err(_) => None,
    };
    let status = FleetStatus { store_revision, hosts: answers };
    output::print_value(cfg.output, &status, format_status);
    Ok(())
}

fn format_status(status: &FleetStatus) -> String {
    let store = match status.store_revision {
        Some(revision) => format!("The store holds revision {revision}."),
        None => "The store does not answer or holds nothing.".to_owned(),
    };
    if status.hosts.is_empty() {
        return store;
    }
    let headings = ["address", "host", "domain", "revision", "seat", "in flight", "state"];
    let mut table = TextTable::new(&headings).align_right(&[3, 4, 5]);
    for answer in &status.hosts {
        let address = answer.address.to_string();
        let Some(s) = &answer.status else {
            let blanks = std::iter::repeat_n("-".to_owned(), 5);
            table.push_with_severity(
                [address].into_iter().chain(blanks),
                "no answer",
                Severity::Critical,
            );
            continue;
        };
        let cells = [
            address,
            s.host.clone(),
            s.domain.clone(),
            s.revision.to_string(),
            s.seat.map_or("-".to_owned(), |n| n.to_string()),
            s.in_flight.to_string(),
        ];
        let (state, severity) = match (s.stopping, s.revision) {
            (true, _) => ("stopping", Severity::Warning),
            (false, 0) => ("no configuration", Severity::Critical),
            (false, _) => ("serving", Severity::Good),
        };
        table.push_with_severity(cells, state, severity);
    }
    format!("{store}\n{table}")
}
