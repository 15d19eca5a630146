//! Hosts and the tool as real processes, with settings written for them.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::serve::free_address;

/// Secret of the fleets that are started here.
pub const FLEET_SECRET: &str = "a secret for stand-in fleets";

/// Settings of one host process.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Name of the host.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// URL of the store.
    pub store: String,
    /// Peer addresses of other hosts.
    pub seeds: Vec<SocketAddr>,
    /// Peer address.
    pub peer: SocketAddr,
    /// Address that it listens at for other hosts, when it differs.
    pub listen: Option<SocketAddr>,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Secret of the fleet.
    pub secret: String,
    /// Lines that follow the settings.
    pub extra: String,
}

impl HostOptions {
    /// Settings with free ports.
    pub fn new(name: &str, domain: &str, store: &str) -> Self {
        HostOptions {
            name: name.to_owned(),
            domain: domain.to_owned(),
            store: store.to_owned(),
            seeds: Vec::new(),
            peer: free_address(),
            listen: None,
            caller: free_address(),
            admin: free_address(),
            secret: FLEET_SECRET.to_owned(),
            extra: String::new(),
        }
    }

    fn ini(&self) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let listen = self.listen.map(|a| format!("peer_listen = {a}\n")).unwrap_or_default();
        format!(
            "[host]\nname = {}\ndomain = {}\ncaller_address = {}\npeer_address = {}\n\
             admin_address = {}\n{listen}[fleet]\nsecret = {}\nseeds = {}\n\
             [platform]\nstore = {}\n{}",
            self.name,
            self.domain,
            self.caller,
            self.peer,
            self.admin,
            self.secret,
            seeds.join(", "),
            self.store,
            self.extra,
        )
    }
}

/// A host that runs as a process; killed when dropped.
pub struct HostProcess {
    /// Its settings.
    pub cfg: HostOptions,
    /// Its standard error goes to this file.
    pub log: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Starts the daemon with settings and log in `folder`.
    pub fn start(folder: &Path, cfg: HostOptions) -> std::io::Result<HostProcess> {
        let settings = folder.join(format!("{}.ini", cfg.name));
        let log = folder.join(format!("{}.log", cfg.name));
        fs::write(&settings, cfg.ini())?;
        let stderr = fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new(binary("jasminestaged"))
            .arg("--config")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()?;
        Ok(HostProcess { cfg, log, child })
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let arg = format!("-{name}");
        Command::new("kill").arg(arg).arg(self.id().to_string()).status().map(|_| ())
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the end of the process after a graceful stop.
    pub fn wait(&mut self) -> std::io::Result<std::process::ExitStatus> {
        self.child.wait()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program of this workspace, built in the same profile.
pub fn binary(name: &str) -> PathBuf {
    let mut folder = env::current_exe().expect("a running program has a path");
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    folder.join(name)
}

/// Asks `is_true` every few milliseconds until it holds or `limit` has passed.
pub async fn eventually(limit: Duration, mut is_true: impl AsyncFnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < end {
        if is_true().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    is_true().await
}
