//! Host processes of jasminestage, started with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request};
use crate::record::End;

/// Program of the deploy file, started in the root of the repository.
const PROGRAM: &str = "target/release/jasminestage-edge";
/// Zones of the small deployment, and their regions.
pub const ZONES: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts a host with the settings that `deploy/host.ini` gives it on a small deployment.
    pub fn start(name: &str, zone: &str, store: SocketAddr) -> Host {
        Host::start_with(name, zone, store, 0.2)
    }

    /// The same with a number of cores.
    pub fn start_with(name: &str, zone: &str, store: SocketAddr, cores: f64) -> Host {
        // The ports are free: they are reserved together and released just before the start.
        let free: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"))
            .collect();
        let port = |n: usize| free[n].local_addr().expect("a listener has an address");
        let domains: String = ZONES.iter().map(|(z, r)| format!("{z} = {r}\n")).collect();
        let text = format!(
            "[host]\nname = {name}\ndomain = {zone}\ncallers = {}\nreadiness = {}\ndirectory = {}\n\
             peers = {}\nmetrics = {}\ncores = {cores}\nmemory_mb = 260\nfirst_start = true\n\n\
             [domains]\n{domains}\n[store]\naddress = {store}\n\n[bounds]\nmax_lookup_ttl = 5s\n\
             stop_grace = 6s\nretry_ratio = 0.2\nretry_extra = 64\nquota_window = 5s\n\
             quota_overage = 0.1\nquota_slack = 20\ncanary_share = 0.1\ncanary_extra = 50\n\
             max_shift = 0.15\n",
            port(0),
            port(1),
            port(2),
            port(3),
            port(4)
        );
        let settings =
            std::env::temp_dir().join(format!("review-{}-{name}.ini", std::process::id()));
        fs::write(&settings, text).expect("the settings can be written");
        let mut host = Host {
            name: name.to_owned(),
            callers: port(0),
            readiness: port(1),
            settings,
            child: None,
        };
        drop(free);
        host.run();
        host
    }

    fn run(&mut self) {
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("JASMINESTAGE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => eprintln!("{PROGRAM} doesn't start: {e}"),
        }
    }

    /// Memory of the process in KB; 0 if it doesn't run.
    pub fn resident_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0)
    }

    /// Kills the process without notice.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a killed process again, no longer as part of the first start of the whole system.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("first_start = true", "first_start = false");
        fs::write(&self.settings, text).expect("the settings can be written");
        self.run();
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let second = Duration::from_secs(1);
            if let Some(mut client) = Client::connect(self.readiness, second) {
                client.write(&request("GET", "/readiness", "r", second, b""));
                if client.read() == End::Status(200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}
