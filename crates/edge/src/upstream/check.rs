//! Checks whether servers have crashed to which connections were lost.

use std::{io, sync::Arc, time::Duration};

use jasminestage_core::steer::steering::CrashCheck;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::shared::Shared;

/// Time from a lost connection to the check. A server that ends closes its connections and its listener
/// one after the other.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Timeout of the check. A server that does not answer may be frozen or cut off, which is no crash.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks the servers to which connections have been lost.
pub fn check_for_crashes(shared: &Arc<Shared>) {
    for check in shared.with_steering(|steering, _| steering.take_crash_checks()) {
        tokio::spawn(check_for_crash(Arc::clone(shared), check));
    }
}

async fn check_for_crash(shared: Arc<Shared>, check: CrashCheck) {
    sleep(CHECK_DELAY).await;
    let outcome = match timeout(CHECK_TIMEOUT, TcpStream::connect(check.address)).await {
        Ok(Ok(_)) => "accepted",
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            shared.with_steering(|steering, now| steering.record_refused_connection(now, &check));
            "refused"
        }
        Ok(Err(_)) => "failed",
        Err(_) => "timed out",
    };
    shared.metrics.count_crash_check(outcome);
}
