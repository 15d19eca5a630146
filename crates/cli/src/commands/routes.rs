//! `routes`: lists the declared routes with their objectives and backend servers.

use std::collections::BTreeMap;

use jasminestage_core::declaration::{Access, Declaration, DeclaredState, Repeat, RouteKey};
use jasminestage_store::Client;
use serde::Serialize;

use super::read_stored_declaration;
use crate::{CliError, Options, output, output::table::TextTable};

#[derive(Serialize)]
struct Row {
    route: String,
    access: &'static str,
    repeat: &'static str,
    deadline_ms: u64,
    objective_ppm: u32,
    latency_ms: u64,
    versions: BTreeMap<String, ServerCounts>,
}

#[derive(Default, Serialize)]
struct ServerCounts {
    serving: u32,
    leaving: u32,
}

/// Prints the declared routes.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let (_, declaration) = read_stored_declaration(store).await?;
    let mut rows: Vec<_> =
        declaration.routes.keys().map(|key| route_row(&declaration, key)).collect();
    rows.sort_by(|a, b| a.route.cmp(&b.route));
    output::print_value(cfg.output, &rows, |rows| format_table(rows));
    Ok(())
}

fn route_row(declaration: &Declaration, key: RouteKey) -> Row {
    let route = &declaration.routes[key];
    let mut versions: BTreeMap<String, ServerCounts> = BTreeMap::new();
    for (_, server) in declaration.servers_of(key) {
        let count = versions.entry(server.version.clone()).or_default();
        match server.state {
            DeclaredState::Serving => count.serving += 1,
            DeclaredState::Draining => count.leaving += 1,
        }
    }
    Row {
        route: route.name.clone(),
        access: match route.access {
            Access::Open => "open",
            Access::Keyed => "keyed",
        },
        repeat: match route.repeat {
            Repeat::Idempotent => "idempotent",
            Repeat::AtMostOnce => "at-most-once",
        },
        deadline_ms: route.deadline.as_millis() as u64,
        objective_ppm: route.objective,
        latency_ms: route.latency.as_millis() as u64,
        versions,
    }
}

fn format_table(rows: &[Row]) -> String {
    let headings = ["route", "access", "repeat", "deadline", "objective", "servers"];
    let mut table = TextTable::new(&headings).align_right(&[3]);
    for row in rows {
        let servers = row.versions.iter().map(|(version, s)| match s.leaving {
            0 => format!("{version}: {}", s.serving),
            leaving => format!("{version}: {} ({leaving} leaving)", s.serving),
        });
        let servers: Vec<_> = servers.collect();
        let objective = f64::from(row.objective_ppm) / 10_000.0;
        table.push([
            row.route.clone(),
            row.access.to_owned(),
            row.repeat.to_owned(),
            format!("{} ms", row.deadline_ms),
            format!("{objective}% in {} ms", row.latency_ms),
            servers.join(", "),
        ]);
    }
    table.to_string()
}
