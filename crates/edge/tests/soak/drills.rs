//! Restores of the store from an older copy: at random times among other faults, and once while nothing
//! else is disrupted.

use std::time::Duration;

use jasminestage_platform_standin::{
    caller::request_once,
    fleet::{self, API_KEY},
    store,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::Environment;

/// Longest time for which the store is away before it comes back from a copy.
const MAX_AWAY_MS: u64 = 1500;
/// Longest time after which operators and servers have written again what was lost.
const MAX_REWRITE_MS: u64 = 1800;
/// Time after a restore within which a change that is confirmed right after it must be in force.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Version of the configuration that is written right after the last restore.
const LAST_VERSION: u64 = 1001;
/// Key that this configuration adds.
const LAST_KEY: &str = "after-the-restore";

/// Takes copies of the store, restores them and lets lost items be written again, in random steps.
pub struct Drills {
    rng: StdRng,
    has_copy: bool,
    has_lost_items: bool,
}

impl Drills {
    /// Creates drills whose steps are determined by a seed.
    pub fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed.rotate_left(48));
        Drills { rng, has_copy: false, has_lost_items: false }
    }

    /// Takes the next step; returns a description, or `None` if this is not the time for one.
    pub async fn step(&mut self, environment: &Environment) -> Option<String> {
        if !self.rng.random_bool(0.4) {
            return None;
        }
        if self.has_lost_items && self.rng.random_bool(0.7) {
            return Some(self.write_lost_items(environment));
        }
        if !self.has_copy || self.rng.random_bool(0.3) {
            environment.store.take_copy();
            self.has_copy = true;
            return Some("the store was copied".to_owned());
        }
        let away = Duration::from_millis(self.rng.random_range(0..MAX_AWAY_MS));
        environment.store.set_fault(store::Fault::ClosesConnections);
        sleep(away).await;
        environment.store.restore_copy();
        environment.store.set_fault(store::Fault::None);
        self.has_lost_items = true;
        Some(format!("the store was away for {away:?} and restored from the copy"))
    }

    fn write_lost_items(&mut self, environment: &Environment) -> String {
        environment.store.write_lost_items();
        self.has_lost_items = false;
        "the lost items were written again".to_owned()
    }

    /// Lets all lost items be written again.
    pub fn end(&mut self, environment: &Environment) {
        self.write_lost_items(environment);
    }
}

/// Restores the last copy, changes the configuration right after it and checks that the change is in
/// force on all hosts in time.
pub async fn restore_with_change(seed: u64, environment: &Environment) {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(24));
    let faults = [
        store::Fault::Unavailable,
        store::Fault::ClosesConnections,
        store::Fault::NeverResponds,
        store::Fault::None,
    ];
    environment.store.set_fault(faults[rng.random_range(0..faults.len())]);
    sleep(Duration::from_millis(rng.random_range(0..MAX_AWAY_MS))).await;
    environment.store.restore_copy();
    environment.store.set_fault(store::Fault::None);
    let keys = [API_KEY, LAST_KEY];
    environment.store.put("op/config", &fleet::sample_config(LAST_VERSION, &keys));
    let restored_at = Instant::now();
    sleep(Duration::from_millis(rng.random_range(0..MAX_REWRITE_MS))).await;
    environment.store.write_lost_items();
    sleep(CHANGE_LIMIT.saturating_sub(restored_at.elapsed())).await;
    for host in &environment.hosts {
        let request = request_once(host.caller_address, "/read/x", "after", LAST_KEY);
        let status = request.await.map(|a| a.status);
        let is_late = matches!(status, None | Some(401));
        assert!(!is_late, "seed {seed}: {} is late: {status:?}: {:?}", host.name, host.log_lines());
    }
}

/// Checks that no host has put an older configuration in force than the one before.
pub fn check_versions(seed: u64, environment: &Environment) {
    for host in &environment.hosts {
        let lines = host.log_lines();
        let versions: Vec<u64> = lines
            .iter()
            .filter(|line| line["event"] == 330)
            .filter_map(|line| line["version"].as_u64())
            .collect();
        assert!(versions.is_sorted(), "seed {seed}: {} went back: {versions:?}", host.name);
        assert_eq!(versions.last(), Some(&LAST_VERSION), "seed {seed}: {}", host.name);
    }
}
