//! `status`: the revision in the store and what hosts say of themselves.

use std::net::SocketAddr;

use jasminestage_store::Client;
use serde::Serialize;

use super::hosts::{self, HostStatus};
use crate::{
    CliError, Options, output,
    output::table::{Rows, Tone},
};

#[derive(Serialize)]
struct Status {
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
        let status = hosts::status(&http, *address).await;
        answers.push(HostAnswer { address: *address, status });
    }
    let store_revision = match store.root().await {
        Ok(root) => root.map(|r| r.value.revision),
        Err(e) if admin.is_empty() => return Err(e.into()),
        Err(_) => None,
    };
    let status = Status { store_revision, hosts: answers };
    output::print(cfg.output, &status, text);
    Ok(())
}

fn text(status: &Status) -> String {
    let store = match status.store_revision {
        Some(revision) => format!("The store holds revision {revision}."),
        None => "The store does not answer or holds nothing.".to_owned(),
    };
    if status.hosts.is_empty() {
        return store;
    }
    let headings = ["address", "host", "domain", "revision", "seat", "in flight", "state"];
    let mut table = Rows::new(&headings).numbers(&[3, 4, 5]);
    for answer in &status.hosts {
        let address = answer.address.to_string();
        let Some(s) = &answer.status else {
            let none = std::iter::repeat_n("-".to_owned(), 5);
            table.push_toned([address].into_iter().chain(none), "no answer", Tone::Bad);
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
        let (state, tone) = match (s.stopping, s.revision) {
            (true, _) => ("stopping", Tone::Warn),
            (false, 0) => ("no configuration", Tone::Bad),
            (false, _) => ("serving", Tone::Good),
        };
        table.push_toned(cells, state, tone);
    }
    format!("{store}\n{table}")
}
