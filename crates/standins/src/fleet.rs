//! A small fleet for tests and the demo: a platform, backend servers and hosts as processes.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Output},
    time::Duration,
};

use jasminestage_core::world;

use crate::{
    backend::{Backend, Behaviour},
    platform::Platform,
    process::{HostOptions, HostProcess, binary, eventually},
};

/// Longest wait for a fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time for the buckets of a new seat to hold some tokens.
const FILL_TIME: Duration = Duration::from_millis(500);

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
}

impl Default for FleetOptions {
    fn default() -> Self {
        FleetOptions {
            declaration: String::new(),
            hosts: Vec::new(),
            service_time: Duration::from_millis(5),
            settings: String::new(),
        }
    }
}

/// A running fleet; everything ends when it is dropped.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// Backend servers by name.
    pub backends: HashMap<String, Backend>,
    /// Hosts in the order of the options.
    pub hosts: Vec<HostProcess>,
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
            return Err("not ready in time".into());
        }
        // The buckets of a new seat are empty at first.
        tokio::time::sleep(FILL_TIME).await;
        Ok(fleet)
    }

    /// Starts everything without applying the declaration.
    pub async fn start_empty(folder: &Path, cfg: FleetOptions) -> Result<Fleet, String> {
        let platform = Platform::start().await;
        let world = world::parse(&cfg.declaration).map_err(|e| e.to_string())?;
        let mut declaration = cfg.declaration;
        let mut backends = HashMap::new();
        for server in world.servers.values() {
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
        let seeds: Vec<SocketAddr> = all.iter().map(|h| h.peer).collect();
        for host in &mut all {
            host.seeds.clone_from(&seeds);
            host.extra.clone_from(&cfg.settings);
        }
        let hosts = all
            .into_iter()
            .map(|host| HostProcess::start(folder, host).map_err(|e| e.to_string()))
            .collect::<Result<_, _>>()?;
        Ok(Fleet { platform, backends, hosts, declaration, folder: folder.to_owned() })
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

fn knows_all(status: &serde_json::Value, count: usize) -> bool {
    status["revision"].as_u64().is_some_and(|r| r > 0)
        && status["seat"].is_u64()
        && status["hosts"].as_array().is_some_and(|h| h.len() == count)
}

/// What a host says of itself at its operators' address.
pub async fn status(http: &reqwest::Client, admin: SocketAddr) -> Option<serde_json::Value> {
    let url = format!("http://{admin}/status");
    http.get(url).timeout(Duration::from_secs(1)).send().await.ok()?.json().await.ok()
}
