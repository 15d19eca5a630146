//! Checker of the bound: admitted in any window <= rate x window + burst.

/// Limits of a workspace that may be in force somewhere from an instant on.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// From when, in microseconds.
    pub from: u64,
    /// Requests per second.
    pub rate: f64,
    /// Requests at one moment.
    pub burst: f64,
}

/// The most that was admitted above `rate x window` over any window, against the burst allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// Largest number of requests above `rate x window`.
    pub most: f64,
    /// Largest `most - allowed` at any moment; the bound holds when it is not positive.
    pub over: f64,
}

/// The windows that start while one limit is in force: the largest number of requests above
/// `rate x window` over those that end now.
struct Windows {
    burst: f64,
    level: f64,
}

/// Replays the instants of admission, in order, against limits in order of their start. A window
/// is held to the burst that was in force when it began.
pub fn excess(admitted: &[u64], limits: &[Limit]) -> Excess {
    let mut found = Excess { most: 0.0, over: f64::MIN };
    let mut now = 0;
    let mut open = vec![Windows { burst: limits[0].burst, level: 0.0 }];
    for &instant in admitted {
        while now < instant {
            let at = open.len() - 1;
            let next = limits.get(at + 1).map_or(instant, |l| l.from.min(instant)).max(now);
            let leak = limits[at].rate * (next - now) as f64 / 1e6;
            open.iter_mut().for_each(|w| w.level -= leak);
            // A window that starts now is emptier than one that would be below zero.
            open[at].level = open[at].level.max(0.0);
            now = next;
            if let Some(limit) = limits.get(at + 1).filter(|l| l.from <= now) {
                open.push(Windows { burst: limit.burst, level: 0.0 });
            }
        }
        for windows in &mut open {
            windows.level += 1.0;
            found.most = found.most.max(windows.level);
            found.over = found.over.max(windows.level - windows.burst);
        }
    }
    found
}
