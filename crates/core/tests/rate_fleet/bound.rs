//! Checks the bound: requests admitted in any window <= rate x window + burst.

/// Limits of a workspace that some host may use from an instant on.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Start of the limits, in microseconds.
    pub from: u64,
    /// Requests per second.
    pub rate: f64,
    /// Requests at one instant.
    pub burst: f64,
}

/// Requests admitted above `rate x window`, and above the burst allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// Largest number of requests above `rate x window` in any window.
    pub max_excess: f64,
    /// Largest number of requests above `rate x window + burst` in any window; the bound holds when it
    /// is not positive.
    pub max_violation: f64,
}

/// All windows that start while one limit is in force. `max_level` is the largest number of requests
/// above `rate x window` in any of them that ends now.
struct OpenWindows {
    burst: f64,
    max_level: f64,
}

/// Replays instants of admission, in ascending order, against limits in order of their start. The
/// burst that was in force at the start of a window applies to it.
pub fn excess(admitted: &[u64], limits: &[Limit]) -> Excess {
    let mut found = Excess { max_excess: 0.0, max_violation: f64::MIN };
    let mut now = 0;
    let mut open = vec![OpenWindows { burst: limits[0].burst, max_level: 0.0 }];
    for &instant in admitted {
        while now < instant {
            let at = open.len() - 1;
            let next = limits.get(at + 1).map_or(instant, |l| l.from.min(instant)).max(now);
            let drained = limits[at].rate * (next - now) as f64 / 1e6;
            open.iter_mut().for_each(|w| w.max_level -= drained);
            // A window that starts now has level 0 and replaces those with a negative level.
            open[at].max_level = open[at].max_level.max(0.0);
            now = next;
            if let Some(limit) = limits.get(at + 1).filter(|l| l.from <= now) {
                open.push(OpenWindows { burst: limit.burst, max_level: 0.0 });
            }
        }
        for window_group in &mut open {
            window_group.max_level += 1.0;
            found.max_excess = found.max_excess.max(window_group.max_level);
            found.max_violation =
                found.max_violation.max(window_group.max_level - window_group.burst);
        }
    }
    found
}
