//! Faults from outside the processes, in series that overlap.

use std::{sync::Arc, time::Duration};

use jasminestage_platform_standin::{backend, fleet, proxy::ConnectionFault, store};
use rand::{RngExt, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::{World, callers::Ledger};

/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;
/// Time that a stopped host may take.
const STOP_LIMIT: Duration = Duration::from_secs(8);

/// Draws and applies faults.
pub struct Faults {
    rng: StdRng,
    history: Vec<String>,
    version: u64,
    paused: Vec<(usize, Instant)>,
}

impl Faults {
    /// Faults that follow from a random source.
    pub fn new(rng: StdRng) -> Self {
        Faults { rng, history: Vec::new(), version: 1, paused: Vec::new() }
    }

    /// What was done, in order.
    pub fn history(&self) -> &[String] {
        &self.history
    }

    /// Plays faults for a while.
    pub async fn play(&mut self, world: &mut World, ledger: &Arc<Ledger>, span: Duration) {
        let start = Instant::now();
        while start.elapsed() < span {
            let pause = self.rng.random_range(20..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.resume(world, false);
            let what = self.strike(world, ledger).await;
            self.history.push(format!("{:?} {what}", start.elapsed()));
        }
    }

    async fn strike(&mut self, world: &mut World, ledger: &Arc<Ledger>) -> String {
        let host = self.rng.random_range(0..world.hosts.len());
        let server = self.rng.random_range(0..world.servers.len());
        match self.rng.random_range(0..10) {
            0 => {
                ledger.note_harm(host, Instant::now() + Duration::from_secs(1));
                world.hosts[host].restart();
                format!("host {host} killed")
            }
            1 => {
                let span = Duration::from_millis(self.rng.random_range(100..2500));
                ledger.note_harm(host, Instant::now() + span + Duration::from_secs(1));
                world.hosts[host].send_signal(Signal::STOP);
                self.paused.push((host, Instant::now() + span));
                format!("host {host} paused for {span:?}")
            }
            2 if !self.paused.iter().any(|(h, _)| *h == host) => {
                world.hosts[host].send_signal(Signal::TERM);
                let code = world.hosts[host].wait_for_exit(STOP_LIMIT).await;
                assert_eq!(code, Some(0), "host {host} did not stop: {:#?}", self.history);
                world.hosts[host].restart();
                format!("host {host} stopped and started")
            }
            3 | 4 => {
                let harms = [
                    ConnectionFault::None,
                    ConnectionFault::Delay(Duration::from_millis(300)),
                    ConnectionFault::Reset,
                    ConnectionFault::DropToServer,
                    ConnectionFault::DropToClient,
                    ConnectionFault::DropAll,
                ];
                let harm = harms[self.rng.random_range(0..harms.len())];
                world.paths[host].set_fault(harm);
                format!("path of host {host} to the store: {harm:?}")
            }
            5 => {
                let faults = [
                    store::Fault::None,
                    store::Fault::Unavailable,
                    store::Fault::RateLimited,
                    store::Fault::ClosesConnections,
                    store::Fault::NeverResponds,
                    store::Fault::DropsResponses,
                    store::Fault::Slow(Duration::from_millis(400)),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                world.store.set_fault(fault);
                format!("store: {fault:?}")
            }
            6 => {
                world.store.compact();
                "the store forgets its history".to_owned()
            }
            7 => {
                self.version += self.rng.random_range(1..5u64);
                fleet::write_config(&world.store, self.version);
                format!("configuration {}", self.version)
            }
            _ => {
                let faults = [
                    backend::Fault::None,
                    backend::Fault::InternalError,
                    backend::Fault::ShedsRequests,
                    backend::Fault::DropsResponses,
                    backend::Fault::Unsigned,
                    backend::Fault::WrongRequestId,
                    backend::Fault::Slow(Duration::from_millis(500)),
                ];
                let fault = faults[self.rng.random_range(0..faults.len())];
                world.servers[server].set_fault(fault);
                format!("server {server}: {fault:?}")
            }
        }
    }

    fn resume(&mut self, world: &World, all: bool) {
        let now = Instant::now();
        self.paused.retain(|(host, until)| {
            let stays = !all && now < *until;
            if !stays {
                world.hosts[*host].send_signal(Signal::CONT);
            }
            stays
        });
    }

    /// Ends all faults.
    pub async fn end(&mut self, world: &mut World) {
        self.resume(world, true);
        world.store.set_fault(store::Fault::None);
        for path in &world.paths {
            path.set_fault(ConnectionFault::None);
        }
        for server in &world.servers {
            server.set_fault(backend::Fault::None);
        }
    }
}
