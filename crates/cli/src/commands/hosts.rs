//! `hosts`: the hosts that are alive, and asking hosts at their operators' addresses.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    CliError, Options, output,
    output::table::{Rows, Tone},
};

/// Longest time for the answer of one host.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What a host says of itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct HostStatus {
    /// Its name.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// The revision in force on it.
    pub revision: u64,
    /// The seat that it holds.
    pub seat: Option<u16>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// The hosts that it hears.
    pub hosts: Vec<SeenHost>,
}

/// A host as another one sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct SeenHost {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address for callers.
    pub caller_address: String,
    /// Whether it takes new callers.
    pub taking: bool,
}

/// A host with the number of hosts that hear it.
#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    host: SeenHost,
    heard_by: usize,
    asked: usize,
}

/// Asks one host; `None` when it does not answer.
pub async fn status(http: &reqwest::Client, address: SocketAddr) -> Option<HostStatus> {
    get(http, address, "status").await
}

/// Asks one host for the JSON at a path; `None` when it does not answer.
pub async fn get<T: DeserializeOwned>(
    http: &reqwest::Client,
    address: SocketAddr,
    path: &str,
) -> Option<T> {
    let url = format!("http://{address}/{path}");
    let answer = http.get(url).timeout(TIMEOUT).send().await.ok()?;
    answer.error_for_status().ok()?.json().await.ok()
}

/// Asks all hosts at the same time; names those that do not answer on standard error.
pub async fn get_all<T: DeserializeOwned + Send + 'static>(
    cfg: &Options,
    path: &'static str,
) -> Result<Vec<T>, CliError> {
    let http = reqwest::Client::new();
    let mut calls = tokio::task::JoinSet::new();
    for address in cfg.hosts()?.iter().copied() {
        let http = http.clone();
        calls.spawn(async move { (address, get::<T>(&http, address, path).await) });
    }
    let (mut answers, mut silent) = (Vec::new(), Vec::new());
    while let Some(Ok((address, answer))) = calls.join_next().await {
        match answer {
            Some(answer) => answers.push(answer),
            None => silent.push(address.to_string()),
        }
    }
    silent.sort();
    if answers.is_empty() {
        return Err(CliError::NoAnswer(silent.join(", ")));
    }
    if !silent.is_empty() {
        eprintln!("jasminestage: No answer from {}; the figures lack them.", silent.join(", "));
    }
    Ok(answers)
}

/// Prints the hosts.
pub async fn run(cfg: &Options) -> Result<(), CliError> {
    let answers: Vec<HostStatus> = get_all(cfg, "status").await?;
    let asked = answers.len();
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for seen in answers.into_iter().flat_map(|a| a.hosts) {
        let row = rows.entry(seen.name.clone()).or_insert(Row { host: seen, heard_by: 0, asked });
        row.heard_by += 1;
    }
    let rows: Vec<_> = rows.into_values().collect();
    output::print(cfg.output, &rows, |rows| text(rows));
    Ok(())
}

fn text(rows: &[Row]) -> String {
    let headings = ["host", "domain", "address for callers", "heard by", "state"];
    let mut table = Rows::new(&headings);
    for Row { host, heard_by, asked } in rows {
        let heard = format!("{heard_by} of {asked}");
        let cells = [host.name.clone(), host.domain.clone(), host.caller_address.clone(), heard];
        let (state, tone) = match (host.taking, heard_by < asked) {
            (false, _) => ("takes no new callers", Tone::Warn),
            (true, true) => ("not heard by all", Tone::Warn),
            (true, false) => ("serving", Tone::Good),
        };
        table.push_toned(cells, state, tone);
    }
    table.to_string()
}
