//! Starts hosts as child processes with generated settings files.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::serve::free_address;

/// Default fleet secret of the hosts that are started here.
pub const FLEET_SECRET: &str = "a secret for stand-in fleets";

/// Settings of one host process.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Host name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// URL of the store.
    pub store_url: String,
    /// Peer addresses of the hosts that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Peer address that it advertises to other hosts.
    pub peer_address: SocketAddr,
    /// Peer address that it binds, if it differs from the advertised one.
    pub peer_listen_address: Option<SocketAddr>,
    /// Address for requests of callers.
    pub caller_address: SocketAddr,
    /// Address for status, metrics and health checks.
    pub admin_address: SocketAddr,
    /// Secret that authenticates frames between hosts.
    pub secret: String,
    /// Lines appended to the generated settings.
    pub extra_settings: String,
}

impl HostOptions {
    /// Returns settings with free addresses, no seeds and the default secret.
    pub fn new(name: &str, domain: &str, store_url: &str) -> Self {
        HostOptions {
            name: name.to_owned(),
            domain: domain.to_owned(),
            store_url: store_url.to_owned(),
            seeds: Vec::new(),
            peer_address: free_address(),
            peer_listen_address: None,
            caller_address: free_address(),
            admin_address: free_address(),
            secret: FLEET_SECRET.to_owned(),
            extra_settings: String::new(),
        }
    }

    fn to_ini(&self) -> String {
        let seeds: Vec<_> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let listen =
            self.peer_listen_address.map(|a| format!("peer_listen = {a}\n")).unwrap_or_default();
        format!(
            "[host]\nname = {}\ndomain = {}\ncaller_address = {}\npeer_address = {}\n\
             admin_address = {}\n{listen}[fleet]\nsecret = {}\nseeds = {}\n\
             [platform]\nstore = {}\n{}",
            self.name,
            self.domain,
            self.caller_address,
            self.peer_address,
            self.admin_address,
            self.secret,
            seeds.join(", "),
            self.store_url,
            self.extra_settings,
        )
    }
}

/// A host that runs as a child process and is killed when dropped.
pub struct HostProcess {
    /// Settings that the process was started with.
    pub options: HostOptions,
    /// Path of the file that receives its standard error.
    pub log_path: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Starts the daemon; its settings and its log are written to `dir`.
    pub fn start(dir: &Path, options: HostOptions) -> std::io::Result<HostProcess> {
        let settings_path = dir.join(format!("{}.ini", options.name));
        let log_path = dir.join(format!("{}.log", options.name));
        fs::write(&settings_path, options.to_ini())?;
        let stderr = fs::OpenOptions::new().create(true).append(true).open(&log_path)?;
        let child = Command::new(binary_path("jasminestaged"))
            .arg("--config")
            .arg(&settings_path)
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()?;
        Ok(HostProcess { options, log_path, child })
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let arg = format!("-{name}");
        Command::new("kill").arg(arg).arg(self.pid().to_string()).status().map(|_| ())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has exited by itself.
    pub fn wait(&mut self) -> std::io::Result<std::process::ExitStatus> {
        self.child.wait()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a program of this workspace that was built in the same profile.
pub fn binary_path(name: &str) -> PathBuf {
    let mut dir = env::current_exe().expect("the path of the running program is available");
    dir.pop();
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    dir.join(name)
}

/// Evaluates `condition` every 20 ms until it is true or `timeout` has passed; returns the last
/// result.
pub async fn eventually(timeout: Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let deadline = tokio::time::Instant::now() + timeout;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    condition().await
}
