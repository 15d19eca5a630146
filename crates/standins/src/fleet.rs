//! A small fleet for tests and the demo: a store, backend servers and hosts as child processes.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Duration,
};

use jasminestage_core::declaration;
use jasminestage_platform_standin::store::Store;

use crate::{
    backend::{Backend, Behaviour},
    forwarder::{Forwarder, Mode},
    process::{HostOptions, HostProcess, binary_path, eventually},
};

/// Maximum time until all hosts of a new fleet are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for the token buckets of a new seat to fill in part; they start empty.
const BUCKET_FILL_TIME: Duration = Duration::from_secs(1);

/// Number of log lines per host in the error of a fleet that does not become ready.
const SHOWN_LOG_LINES: usize = 12;

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Declaration; the addresses of backend servers are replaced by those of simulated ones.
    pub declaration: String,
    /// Name and failure domain of each host.
    pub hosts: Vec<(String, String)>,
    /// Execution time of a request on a backend server.
    pub service_time: Duration,
    /// Lines appended to the settings of each host.
    pub extra_settings: String,
    /// Whether traffic to hosts, and from hosts to the store, goes through forwarders.
    pub use_forwarders: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            declaration: String::new(),
            hosts: Vec::new(),
            service_time: Duration::from_millis(5),
            extra_settings: String::new(),
            use_forwarders: false,
        }
    }
}

/// Forwarders between one host and the rest of the fleet.
pub struct HostForwarders {
    /// Forwards the traffic of other hosts to this host.
    pub peer: Forwarder,
    /// Forwards the traffic of this host to the store.
    pub store: Forwarder,
}

impl HostForwarders {
    /// Starts both forwarders and redirects the host's settings to them.
    async fn start(
        host: &mut HostOptions,
        store_address: SocketAddr,
    ) -> std::io::Result<HostForwarders> {
        let listen_address = host.peer_address;
        let peer = Forwarder::start(listen_address).await?;
        let store = Forwarder::start(store_address).await?;
        host.peer_listen_address = Some(listen_address);
        host.peer_address = peer.address;
        host.store_url = format!("http://{}", store.address);
        Ok(HostForwarders { peer, store })
    }
}

/// A running fleet; all its processes and servers are stopped when it is dropped.
pub struct Fleet {
    /// Simulated store of the platform.
    pub platform: Store,
    /// Backend servers by name.
    pub backends: HashMap<String, Backend>,
    /// Hosts in the order of the options.
    pub hosts: Vec<HostProcess>,
    /// Forwarders of each host in the same order; empty without `use_forwarders`.
    pub forwarders: Vec<HostForwarders>,
    /// Declaration that was applied last, with the addresses of the simulated backend servers.
    pub declaration: String,
    /// Directory of settings, logs and declarations.
    pub dir: PathBuf,
}

impl Fleet {
    /// Starts a fleet, applies the declaration and waits until all hosts are ready.
    pub async fn start(dir: &Path, options: FleetOptions) -> Result<Fleet, String> {
        let mut fleet = Fleet::start_without_declaration(dir, options).await?;
        let declaration = fleet.declaration.clone();
        fleet.apply(&declaration)?;
        if !fleet.wait_until_ready(READY_TIMEOUT).await {
            return Err(format!(
                "the hosts did not become ready in time:\n{}",
                fleet.diagnostics().await
            ));
        }
        tokio::time::sleep(BUCKET_FILL_TIME).await;
        Ok(fleet)
    }

    /// Starts a fleet without applying the declaration.
    pub async fn start_without_declaration(
        dir: &Path,
        options: FleetOptions,
    ) -> Result<Fleet, String> {
        let platform = Store::start().await;
        let parsed = declaration::parse(&options.declaration).map_err(|e| e.to_string())?;
        let mut declaration = limit_seats(&options.declaration, &options.hosts);
        let mut backends = HashMap::new();
        for server in parsed.servers.values() {
            let behaviour = Behaviour {
                version: server.version.clone(),
                slots: u32::from(server.slots),
                service_time: options.service_time,
                ..Behaviour::default()
            };
            let backend = Backend::start(behaviour).await;
            let (declared, actual) = (server.address, backend.address);
            declaration = declaration
                .replace(&format!("address = {declared}\n"), &format!("address = {actual}\n"));
            backends.insert(server.name.clone(), backend);
        }
        let mut host_options: Vec<_> = options
            .hosts
            .iter()
            .map(|(name, domain)| HostOptions::new(name, domain, &platform.url()))
            .collect();
        let mut forwarders = Vec::new();
        if options.use_forwarders {
            for host in &mut host_options {
                let started = HostForwarders::start(host, platform.address).await;
                forwarders.push(started.map_err(|e| e.to_string())?);
            }
            for forwarder in &forwarders {
                for (host, other) in host_options.iter().zip(&forwarders) {
                    forwarder.peer.rewrite_source(
                        host.peer_listen_address.unwrap_or(host.peer_address),
                        &other.peer,
                    );
                }
            }
        }
        let seeds: Vec<SocketAddr> = host_options.iter().map(|h| h.peer_address).collect();
        for host in &mut host_options {
            host.seeds.clone_from(&seeds);
            host.extra_settings.clone_from(&options.extra_settings);
        }
        let hosts = host_options
            .into_iter()
            .map(|host| HostProcess::start(dir, host).map_err(|e| e.to_string()))
            .collect::<Result<_, _>>()?;
        Ok(Fleet { platform, backends, hosts, forwarders, declaration, dir: dir.to_owned() })
    }

    /// Starts or ends a network partition that separates the hosts of a failure domain from all
    /// other hosts and from the store.
    pub fn set_partitioned(&self, domain: &str, is_partitioned: bool) {
        let mode = if is_partitioned { Mode::Drop } else { Mode::Forward };
        let is_inside = |n: usize| self.hosts[n].options.domain == domain;
        let inside: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|h| h.options.domain == domain)
            .filter_map(|h| h.options.peer_listen_address)
            .collect();
        let outside: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|h| h.options.domain != domain)
            .filter_map(|h| h.options.peer_listen_address)
            .collect();
        for (n, forwarder) in self.forwarders.iter().enumerate() {
            let dropped = if is_inside(n) { &outside } else { &inside };
            forwarder.peer.drop_from(if is_partitioned { dropped } else { &[] });
            if is_inside(n) {
                forwarder.store.set_mode(mode);
            }
        }
    }

    /// Runs the operators' tool with the store of this fleet.
    pub fn run_tool(&self, args: &[&str]) -> Result<Output, String> {
        Command::new(binary_path("jasminestage"))
            .args(["--store", &self.platform.url()])
            .args(args)
            .output()
            .map_err(|e| e.to_string())
    }

    /// Applies a declaration with the tool; returns its standard output.
    pub fn apply(&mut self, declaration: &str) -> Result<String, String> {
        let path = self.dir.join("world.ini");
        fs::write(&path, declaration).map_err(|e| e.to_string())?;
        let out = self.run_tool(&["apply", &path.display().to_string()])?;
        if out.status.success() {
            self.declaration = declaration.to_owned();
            Ok(String::from_utf8_lossy(&out.stdout).into_owned())
        } else {
            Err(String::from_utf8_lossy(&out.stderr).into_owned())
        }
    }

    /// Returns the status of each host and the last lines of its log, newest first.
    async fn diagnostics(&self) -> String {
        let http = reqwest::Client::new();
        let mut text = String::new();
        for host in &self.hosts {
            let status = fetch_status(&http, host.options.admin_address).await;
            let log = fs::read_to_string(&host.log_path).unwrap_or_default();
            let last: Vec<_> = log.lines().rev().take(SHOWN_LOG_LINES).collect();
            text.push_str(&format!("{}: {status:?}\n{}\n", host.options.name, last.join("\n")));
        }
        text
    }

    /// Waits until every host is ready and lists all hosts; returns false on a timeout.
    pub async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let http = reqwest::Client::new();
        let count = self.hosts.len();
        eventually(timeout, async || {
            for host in &self.hosts {
                match fetch_status(&http, host.options.admin_address).await {
                    Some(s) if is_ready(&s, count) => {}
                    _ => return false,
                }
            }
            true
        })
        .await
    }
}

/// Reduces the seats of each failure domain to its number of hosts.
///
/// The fleet accepts a declaration only while a majority of the declared seats is held.
fn limit_seats(declaration: &str, hosts: &[(String, String)]) -> String {
    let mut domain = "";
    let mut text = String::with_capacity(declaration.len());
    for line in declaration.lines() {
        if let Some(heading) = line.strip_prefix('[') {
            domain = heading.strip_prefix("domain ").map_or("", |h| h.trim_end_matches(']'));
        }
        let declared_seats = line.strip_prefix("seats = ").and_then(|n| n.parse::<usize>().ok());
        match declared_seats.filter(|_| !domain.is_empty()) {
            Some(declared_seats) => {
                let count = hosts.iter().filter(|(_, d)| d == domain).count();
                text.push_str(&format!("seats = {}\n", declared_seats.min(count)));
            }
            None => text.push_str(&format!("{line}\n")),
        }
    }
    text
}

/// Whether a host holds a seat and lists all hosts, and the last declared revision is accepted.
fn is_ready(status: &serde_json::Value, count: usize) -> bool {
    let accepted = status["accepted"].as_u64() >= status["declared"].as_u64();
    status["declared"].as_u64().is_some_and(|r| r > 0)
        && accepted
        && status["seat"].is_u64()
        && status["hosts"].as_array().is_some_and(|h| h.len() == count)
}

/// Reads the status of a host from its admin address; `None` without a valid response.
pub async fn fetch_status(
    http: &reqwest::Client,
    admin_address: SocketAddr,
) -> Option<serde_json::Value> {
    let url = format!("http://{admin_address}/status");
    http.get(url).timeout(Duration::from_secs(1)).send().await.ok()?.json().await.ok()
}
