//! Usage reports under the faults of the soak, with faults of the platform's API.

use std::time::Duration;

use jasminestage_platform_standin::api::{Fault, UsageApi};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::task::JoinHandle;

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Time between two changes of the API's fault.
const FAULT_PERIOD: Duration = Duration::from_millis(900);
/// Time after the last fault within which a report must be accepted: a lease, the search for a new
/// holder, its wait and the collection.
const REPORT_LIMIT: Duration = Duration::from_secs(30);

/// Changes the fault of the API until the task is aborted.
pub fn start_faults(seed: u64, api: UsageApi) -> JoinHandle<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    tokio::spawn(async move {
        loop {
            api.set_fault(match rng.random_range(0..6) {
                0 => Fault::Refuses(503),
                1 => Fault::Refuses(429),
                2 => Fault::DropsResponses,
                3 => Fault::Slow(Duration::from_millis(500)),
                4 => Fault::NeverResponds,
                _ => Fault::None,
            });
            tokio::time::sleep(FAULT_PERIOD).await;
        }
    })
}

/// Checks that reports are accepted after the last fault and that no call broke a rule.
pub async fn check(seed: u64, api: &UsageApi) {
    api.set_fault(Fault::None);
    let before = api.calls().len();
    let end = tokio::time::Instant::now() + REPORT_LIMIT;
    while !api.calls()[before..].iter().any(|call| call.is_accepted) {
        let in_time = tokio::time::Instant::now() < end;
        assert!(in_time, "seed {seed}: no report was accepted after the faults");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let violations = api.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:?}: {:?}", api.calls());
}
