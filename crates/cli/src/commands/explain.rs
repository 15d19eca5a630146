//! `explain`: why a look-up or request goes where it goes, or why it is refused.

use std::net::IpAddr;

use jasminestage_core::explain::Explanation;

use super::hosts;
use crate::{
    CliError, Options, output,
    output::table::{Rows, Tone},
};

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: Option<IpAddr>,
    /// Digest of the caller's key.
    pub key_digest: &'a Option<String>,
}

/// Asks the first host that answers.
pub async fn run(cfg: &Options, question: &Question<'_>) -> Result<(), CliError> {
    let mut path = format!("explain?route={}", question.route);
    if let Some(client) = question.client {
        path.push_str(&format!("&client={client}"));
    }
    if let Some(digest) = question.key_digest {
        path.push_str(&format!("&key_digest={digest}"));
    }
    let http = reqwest::Client::new();
    for address in cfg.hosts()? {
        let found: Option<Explanation> = hosts::get(&http, *address, &path).await;
        if let Some(found) = found {
            output::print(cfg.output, &found, text);
            return Ok(());
        }
    }
    let addresses: Vec<_> = cfg.admin.iter().map(ToString::to_string).collect();
    Err(CliError::NoAnswer(addresses.join(", ")))
}

fn text(found: &Explanation) -> String {
    let mut table = Rows::new(&["question", "finding", "answer"]);
    for step in &found.steps {
        let (answer, tone) = match step.code {
            None => ("ok".to_owned(), Tone::Good),
            Some(code) => (format!("refused, {code}"), Tone::Bad),
        };
        table.push_toned([step.question.clone(), step.finding.clone()], &answer, tone);
    }
    let (host, revision) = (&found.host, found.revision);
    format!("As host '{host}' sees it at revision {revision}:\n{table}")
}
