//! `explain`: shows which server a look-up or request is sent to or why it is refused.

use std::net::IpAddr;

use jasminestage_core::explain::Explanation;

use super::hosts;
use crate::{
    CliError, Options, output,
    output::table::{Severity, TextTable},
};

/// Parameters of the query to a host.
#[derive(Clone, Copy, Debug)]
pub struct ExplainQuery<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: Option<IpAddr>,
    /// Digest of the caller's API key.
    pub key_digest: &'a Option<String>,
}

/// Prints the explanation of the first host that answers.
pub async fn run(cfg: &Options, query: &ExplainQuery<'_>) -> Result<(), CliError> {
    let mut path = format!("explain?route={}", query.route);
    if let Some(client) = query.client {
        path.push_str(&format!("&client={client}"));
    }
    if let Some(digest) = query.key_digest {
        path.push_str(&format!("&key_digest={digest}"));
    }
    let http = reqwest::Client::new();
    for address in cfg.admin_addresses()? {
        let explanation: Option<Explanation> = hosts::get_json(&http, *address, &path).await;
        if let Some(explanation) = explanation {
            output::print_value(cfg.output, &explanation, format_table);
            return Ok(());
        }
    }
    let addresses: Vec<_> = cfg.admin.iter().map(ToString::to_string).collect();
    Err(CliError::NoHostAnswered(addresses.join(", ")))
}

fn format_table(explanation: &Explanation) -> String {
    let mut table = TextTable::new(&["question", "finding", "answer"]);
    for step in &explanation.steps {
        let (answer, severity) = match step.code {
            None => ("ok".to_owned(), Severity::Good),
            Some(code) => (format!("refused, {code}"), Severity::Critical),
        };
        table.push_with_severity([step.question.clone(), step.finding.clone()], &answer, severity);
    }
    let (host, revision) = (&explanation.host, explanation.revision);
    format!("As host '{host}' sees it at revision {revision}:\n{table}")
}
