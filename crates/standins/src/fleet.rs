//! A small fleet for tests and the demo: a platform, backend servers and hosts as processes.

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
    process::{HostOptions, HostProcess, binary, eventually},
};

/// Longest wait for a fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time for the buckets of a new seat to hold some tokens.
const FILL_TIME: Duration = Duration::from_secs(1);

/// Lines of a host's log that are shown when a fleet does not start.
const LOG_LINES: usize = 12;

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The declaration; addresses of backend servers are replaced.
    pub declaration: String,
    /// Names of the hosts with the failure domain of each.
    pub hosts: Vec<(String, String)>,
    /// Time that a backend server takes for a request.
    pub service_time: Duration,
    /// Lines added to the settings of each host.
    pub settings: String,
    /// Whether what goes to hosts and from them to the store passes forwarders.
    pub forwarded: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            declaration: String::new(),
            hosts: Vec::new(),
            service_time: Duration::from_millis(5),
            settings: String::new(),
            forwarded: false,
        }
    }
}

/// What stands between one host and the others.
pub struct Link {
    /// Before the host, for other hosts.
    pub peer: Forwarder,
    /// Before the store, for this host.
    pub store: Forwarder,
}

impl Link {
    async fn start(host: &mut HostOptions, platform: SocketAddr) -> std::io::Result<Link> {
        let listen = host.peer;
        let peer = Forwarder::start(listen).await?;
        let store = Forwarder::start(platform).await?;
        host.listen = Some(listen);
        host.peer = peer.address;
        host.store = format!("http://{}", store.address);
        Ok(Link { peer, store })
    }
}

/// A running fleet; everything ends when it is dropped.
pub struct Fleet {
    /// The platform.
    pub platform: Store,
    /// Backend servers by name.
    pub backends: HashMap<String, Backend>,
    /// Hosts in the order of the options.
    pub hosts: Vec<HostProcess>,
    /// Forwarders before the hosts, in the same order, if there are any.
    pub links: Vec<Link>,
    /// The declaration with the true addresses.
    pub declaration: String,
    /// Folder for settings, logs and declarations.
    pub folder: PathBuf,
}

impl Fleet {
    /// Starts everything, applies the declaration and waits until all hosts are ready.
    pub async fn start(folder: &Path, cfg: FleetOptions) -> Result<Fleet, String> {
        let mut fleet = Fleet::start_empty(folder, cfg).await?;
        let declaration = fleet.declaration.clone();
        fleet.apply(&declaration)?;
        if !fleet.ready(READY_LIMIT).await {
            return Err(format!("not ready in time:\n{}", fleet.describe().await));
        }
        // The buckets of a new seat are empty at first.
        tokio::time::sleep(FILL_TIME).await;
        Ok(fleet)
    }

    /// Starts everything without applying the declaration.
    pub async fn start_empty(folder: &Path, cfg: FleetOptions) -> Result<Fleet, String> {
        let platform = Store::start().await;
        let parsed = declaration::parse(&cfg.declaration).map_err(|e| e.to_string())?;
        let mut declaration = with_seats_for(&cfg.declaration, &cfg.hosts);
        let mut backends = HashMap::new();
        for server in parsed.servers.values() {
            let behaviour = Behaviour {
                version: server.version.clone(),
                slots: u32::from(server.slots),
                service_time: cfg.service_time,
                ..Behaviour::default()
            };
            let backend = Backend::start(behaviour).await;
            let (old, new) = (server.address, backend.address);
            declaration =
                declaration.replace(&format!("address = {old}\n"), &format!("address = {new}\n"));
            backends.insert(server.name.clone(), backend);
        }
        let mut all: Vec<_> = cfg
            .hosts
            .iter()
            .map(|(name, domain)| HostOptions::new(name, domain, &platform.url()))
            .collect();
        let mut links = Vec::new();
        if cfg.forwarded {
            for host in &mut all {
                let link = Link::start(host, platform.address).await;
                links.push(link.map_err(|e| e.to_string())?);
            }
            for link in &links {
                for (host, other) in all.iter().zip(&links) {
                    link.peer.know(host.listen.unwrap_or(host.peer), &other.peer);
                }
            }
        }
        let seeds: Vec<SocketAddr> = all.iter().map(|h| h.peer).collect();
        for host in &mut all {
            host.seeds.clone_from(&seeds);
            host.extra.clone_from(&cfg.settings);
        }
        let hosts = all
            .into_iter()
            .map(|host| HostProcess::start(folder, host).map_err(|e| e.to_string()))
            .collect::<Result<_, _>>()?;
        Ok(Fleet { platform, backends, hosts, links, declaration, folder: folder.to_owned() })
    }

    /// Cuts the hosts of a failure domain off from all others and from the store, or joins them.
    pub fn cut(&self, domain: &str, is_cut: bool) {
        let mode = if is_cut { Mode::Drop } else { Mode::Pass };
        let inside = |n: usize| self.hosts[n].cfg.domain == domain;
        let sources: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|h| h.cfg.domain == domain)
            .filter_map(|h| h.cfg.listen)
            .collect();
        let outside: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|h| h.cfg.domain != domain)
            .filter_map(|h| h.cfg.listen)
            .collect();
        for (n, link) in self.links.iter().enumerate() {
            let dropped = if inside(n) { &outside } else { &sources };
            link.peer.drop_from(if is_cut { dropped } else { &[] });
            if inside(n) {
                link.store.set(mode);
            }
        }
    }

    /// Runs the operators' tool against the fleet's store.
    pub fn tool(&self, args: &[&str]) -> Result<Output, String> {
        Command::new(binary("jasminestage"))
            .args(["--store", &self.platform.url()])
            .args(args)
            .output()
            .map_err(|e| e.to_string())
    }

    /// Applies a declaration through the tool.
    pub fn apply(&mut self, declaration: &str) -> Result<String, String> {
        let path = self.folder.join("world.ini");
        fs::write(&path, declaration).map_err(|e| e.to_string())?;
        let out = self.tool(&["apply", &path.display().to_string()])?;
        if out.status.success() {
            self.declaration = declaration.to_owned();
            Ok(String::from_utf8_lossy(&out.stdout).into_owned())
        } else {
            Err(String::from_utf8_lossy(&out.stderr).into_owned())
        }
    }

    /// What each host says of itself, with the end of its log.
    async fn describe(&self) -> String {
        let http = reqwest::Client::new();
        let mut text = String::new();
        for host in &self.hosts {
            let status = status(&http, host.cfg.admin).await;
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            let last: Vec<_> = log.lines().rev().take(LOG_LINES).collect();
            text.push_str(&format!("{}: {status:?}\n{}\n", host.cfg.name, last.join("\n")));
        }
        text
    }

    /// Waits until every host is ready and knows every other one.
    pub async fn ready(&self, limit: Duration) -> bool {
        let http = reqwest::Client::new();
        let count = self.hosts.len();
        eventually(limit, async || {
            for host in &self.hosts {
                match status(&http, host.cfg.admin).await {
                    Some(s) if knows_all(&s, count) => {}
                    _ => return false,
                }
            }
            true
        })
        .await
    }
}

/// The declaration with no more seats in a failure domain than it has hosts here: a majority of
/// the declared seats must be held for anything to be accepted.
fn with_seats_for(declaration: &str, hosts: &[(String, String)]) -> String {
    let mut domain = "";
    let mut text = String::with_capacity(declaration.len());
    for line in declaration.lines() {
        if let Some(heading) = line.strip_prefix('[') {
            domain = heading.strip_prefix("domain ").map_or("", |h| h.trim_end_matches(']'));
        }
        let declared = line.strip_prefix("seats = ").and_then(|n| n.parse::<usize>().ok());
        match declared.filter(|_| !domain.is_empty()) {
            Some(declared) => {
                let count = hosts.iter().filter(|(_, d)| d == domain).count();
                text.push_str(&format!("seats = {}\n", declared.min(count)));
            }
            None => text.push_str(&format!("{line}\n")),
        }
    }
    text
}

fn knows_all(status: &serde_json::Value, count: usize) -> bool {
    let accepted = status["accepted"].as_u64() >= status["declared"].as_u64();
    status["declared"].as_u64().is_some_and(|r| r > 0)
        && accepted
        && status["seat"].is_u64()
        && status["hosts"].as_array().is_some_and(|h| h.len() == count)
}

/// What a host says of itself at its operators' address.
pub async fn status(http: &reqwest::Client, admin: SocketAddr) -> Option<serde_json::Value> {
    let url = format!("http://{admin}/status");
    http.get(url).timeout(Duration::from_secs(1)).send().await.ok()?.json().await.ok()
}
