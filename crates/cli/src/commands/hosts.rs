//! `hosts`: lists the live hosts. Also holds the requests to hosts that other commands use.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    CliError, Options, output,
    output::table::{Severity, TextTable},
};

/// Timeout of a request to one host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Answer of a host to `GET /status`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Revision in force on the host.
    pub revision: u64,
    /// Number of the seat that the host holds.
    pub seat: Option<u16>,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Live hosts, from the membership view of the host.
    pub hosts: Vec<ListedHost>,
}

/// An entry in the membership view of a host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address of the host for callers.
    pub caller_address: String,
    /// Whether the host takes new callers.
    #[serde(rename = "taking")]
    pub takes_new_callers: bool,
}

/// A host with the number of hosts that list it as live.
#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    host: ListedHost,
    #[serde(rename = "heard_by")]
    listed_by: usize,
    #[serde(rename = "asked")]
    answered: usize,
}

/// Requests the status of a host; `None` when the request fails.
pub async fn get_status(http: &reqwest::Client, address: SocketAddr) -> Option<HostStatus> {
    get_json(http, address, "status").await
}

/// Requests the JSON document at `path` from a host; `None` when the request fails.
pub async fn get_json<T: DeserializeOwned>(
    http: &reqwest::Client,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let url = format!("http://{address}/{path}");
    let answer = http.get(url).timeout(REQUEST_TIMEOUT).send().await.ok()?;
    answer.error_for_status().ok()?.json().await.ok()
}

/// Requests the JSON document at `path` from all hosts at the same time. Hosts that do not answer
/// are named on standard error; the call fails only when none answers.
pub async fn get_json_from_all<T: DeserializeOwned + Send + 'static>(
    cfg: &Options,
    path: &'static str,
) -> Result<Vec<T>, CliError> {
    let http = reqwest::Client::new();
    let mut calls = tokio::task::JoinSet::new();
    for address in cfg.admin_addresses()?.iter().copied() {
        let http = http.clone();
        calls.spawn(async move { (address, get_json::<T>(&http, address, path).await) });
    }
    let (mut answers, mut failed_addresses) = (Vec::new(), Vec::new());
    while let Some(Ok((address, answer))) = calls.join_next().await {
        match answer {
            Some(answer) => answers.push(answer),
            None => failed_addresses.push(address.to_string()),
        }
    }
    failed_addresses.sort();
    if answers.is_empty() {
        return Err(CliError::NoHostAnswered(failed_addresses.join(", ")));
    }
    if !failed_addresses.is_empty() {
        eprintln!(
            "jasminestage: No answer from {}; the output does not include these hosts.",
            failed_addresses.join(", ")
        );
    }
    Ok(answers)
}

/// Prints the hosts.
pub async fn run(cfg: &Options) -> Result<(), CliError> {
    let answers: Vec<HostStatus> = get_json_from_all(cfg, "status").await?;
    let answered = answers.len();
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for listed in answers.into_iter().flat_map(|a| a.hosts) {
        let row =
            rows.entry(listed.name.clone()).or_insert(Row { host: listed, listed_by: 0, answered });
        row.listed_by += 1;
    }
    let rows: Vec<_> = rows.into_values().collect();
    output::print_value(cfg.output, &rows, |rows| format_table(rows));
    Ok(())
}

fn format_table(rows: &[Row]) -> String {
    let headings = ["host", "domain", "address for callers", "heard by", "state"];
    let mut table = TextTable::new(&headings);
    for Row { host, listed_by, answered } in rows {
        let listed = format!("{listed_by} of {answered}");
        let cells = [host.name.clone(), host.domain.clone(), host.caller_address.clone(), listed];
        let (state, severity) = match (host.takes_new_callers, listed_by < answered) {
            (false, _) => ("takes no new callers", Severity::Warning),
            (true, true) => ("not heard by all", Severity::Warning),
            (true, false) => ("serving", Severity::Good),
        };
        table.push_with_severity(cells, state, severity);
    }
    table.to_string()
}
