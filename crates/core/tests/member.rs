//! Discovery of the hosts of a failure domain from few seeds: guards against views that stay
//! incomplete because hosts share only one seed or a seed is down.

use std::{collections::VecDeque, net::SocketAddr};

use jasminestage_core::{
    control::{Control, Effect, Input, PeerMsg},
    host::{HostInfo, Incarnation},
    member::HEARTBEAT_PERIOD,
    time::Instant,
    view::View,
};

struct Case {
    name: &'static str,
    hosts: usize,
    /// Numbers of the hosts whose addresses every host gets as seeds.
    seeds: &'static [usize],
}

const CASES: &[Case] = &[
    Case { name: "all are seeds", hosts: 3, seeds: &[0, 1, 2] },
    Case { name: "one seed", hosts: 6, seeds: &[0] },
    Case { name: "one seed of a large domain", hosts: 24, seeds: &[5] },
    Case { name: "a seed that is down", hosts: 6, seeds: &[99, 2] },
];

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, n as u8], 7000).into()
}

fn host(n: usize, case: &Case) -> Control {
    let info = HostInfo {
        name: format!("h{n}"),
        domain: "d".to_owned(),
        caller_address: address(n),
        peer_address: address(n),
        incarnation: Incarnation(n as u64 + 1),
    };
    let seeds: Vec<_> = case.seeds.iter().map(|s| address(*s)).collect();
    Control::new(info, &seeds)
}

/// Runs eight ticks of all hosts and delivers every message; returns the number of hosts in each
/// host's last view.
fn run(case: &Case) -> Vec<usize> {
    let mut hosts: Vec<_> = (0..case.hosts).map(|n| host(n, case)).collect();
    let mut view_sizes = vec![0; case.hosts];
    let mut now = Instant::from_millis(1000);
    for _ in 0..8 {
        now = now + HEARTBEAT_PERIOD;
        let mut pending: VecDeque<(usize, Option<(SocketAddr, PeerMsg)>)> =
            (0..case.hosts).map(|n| (n, None)).collect();
        while let Some((n, event)) = pending.pop_front() {
            let input = match &event {
                Some((from, msg)) => Input::Peer { from: *from, msg },
                None => Input::Tick,
            };
            let mut effects = Vec::new();
            hosts[n].handle(now, input, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, msg } => {
                        let receiver = (0..case.hosts).find(|r| address(*r) == to);
                        pending.extend(receiver.map(|r| (r, Some((address(n), msg)))));
                    }
                    Effect::Publish(view) => view_sizes[n] = View::clone(&view).hosts.len(),
                    _ => {}
                }
            }
        }
    }
    view_sizes
}

#[test]
fn hosts_of_a_domain_discover_each_other() {
    for case in CASES {
        assert_eq!(run(case), vec![case.hosts; case.hosts], "{}", case.name);
    }
}
