//! Selection and order of the hosts in the answer to a look-up.

use std::{collections::BTreeMap, sync::Arc};

use jasminestage_core::{
    config::SeatHolder,
    host::{HostInfo, Incarnation},
    lookup::{Query, look_up},
    view::{LiveHost, View},
    world,
};
use sha2::{Digest, Sha256};

/// Name, failure domain and seat of each host; `n` and `m` are in the caller's region.
const HOSTS: &[(&str, &str, Option<usize>)] =
    &[("n", "near", Some(0)), ("m", "near", Some(1)), ("x", "near", None), ("f", "far", Some(0))];

struct Case {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    draining: &'static [&'static str],
    /// Expected hosts of the answer, in groups whose internal order is not checked. `HOME` and `OTHER`
    /// are the names returned by [`home_and_other`].
    groups: &'static [&'static [&'static str]],
}

const CASES: &[Case] = &[
    Case {
        name: "hosts of the caller's region with a seat first, the host without a seat last",
        route: "read",
        key: None,
        draining: &[],
        groups: &[&["n", "m"], &["f"], &["x"]],
    },
    Case {
        name: "open routes need no seat",
        route: "open",
        key: None,
        draining: &[],
        groups: &[&["n", "m", "x"], &["f"]],
    },
    Case {
        name: "a small workspace's home in the caller's region first",
        route: "read",
        key: Some("key"),
        draining: &[],
        groups: &[&["HOME"], &["OTHER"], &["f"], &["x"]],
    },
    Case {
        name: "an unknown key does not change the order",
        route: "read",
        key: Some("none"),
        draining: &[],
        groups: &[&["n", "m"], &["f"], &["x"]],
    },
    Case {
        name: "draining hosts are left out",
        route: "read",
        key: Some("key"),
        draining: &["n"],
        groups: &[&["m"], &["f"], &["x"]],
    },
];

fn view(draining: &[&str]) -> View {
    let text = format!(
        "[region r]\n[region s]\n[domain near]\nregion = r\nseats = 2\n\
         [domain far]\nregion = s\nseats = 1\n[route read]\naccess = keyed\nrepeat = idempotent\n\
         [route open]\naccess = open\nrepeat = idempotent\n\
         [workspace w]\nkeys = sha256:{}\nrate = 5\nburst = 4\n[clients]\n10.0.0.0/8 = r\n",
        hex::encode(Sha256::digest("key"))
    );
    let address = ([127, 0, 0, 1], 1).into();
    let mut seats: BTreeMap<String, Vec<Option<SeatHolder>>> =
        BTreeMap::from([("near".into(), vec![None; 2]), ("far".into(), vec![None])]);
    let mut hosts = Vec::new();
    for (n, (name, domain, seat)) in HOSTS.iter().enumerate() {
        let incarnation = Incarnation(n as u64 + 1);
        hosts.push(LiveHost {
            name: name.to_string(),
            domain: domain.to_string(),
            caller_address: address,
            peer_address: address,
            incarnation,
            taking: !draining.contains(name),
        });
        if let Some(seat) = seat {
            let host = name.to_string();
            let row = seats.get_mut(*domain).expect("the domain is declared");
            let peer_address = address;
            row[*seat] =
                Some(SeatHolder { host, incarnation, peer_address, since: 1, displaced: None });
        }
    }
    let me = HostInfo {
        name: "n".into(),
        domain: "near".into(),
        caller_address: address,
        peer_address: address,
        incarnation: Incarnation(1),
    };
    let world = Arc::new(world::parse(&text).expect("the declaration is valid"));
    View { revision: 1, world, seats: seats.into(), hosts, ..View::empty(me) }
}

/// Returns the host in the caller's region that holds the workspace's home, and the other one there.
fn home_and_other(view: &View) -> (&'static str, &'static str) {
    let key = view.world.workspace_names["w"];
    let near = view.world.domain("near");
    let homes = view.world.homes_of(key);
    let seat = homes.iter().find(|h| Some(h.domain) == near).expect("a home is near").seat;
    if seat == 0 { ("n", "m") } else { ("m", "n") }
}

#[test]
fn answers_prefer_hosts_that_can_serve_the_caller() {
    for case in CASES {
        let view = view(case.draining);
        let (home, other) = home_and_other(&view);
        let key = case.key.map(str::as_bytes);
        let query = Query { route: case.route, client: [10, 2, 0, 1].into(), key };
        let answer = look_up(&view, &query).expect(case.name);
        let mut host_names = answer.hosts.iter().map(|h| h.name.as_str());
        for group in case.groups {
            let host_name = |n: &&'static str| match *n {
                "HOME" => home,
                "OTHER" => other,
                name => name,
            };
            let mut expected: Vec<_> = group.iter().map(host_name).collect();
            let mut found: Vec<_> = host_names.by_ref().take(group.len()).collect();
            expected.sort_unstable();
            found.sort_unstable();
            assert_eq!(found, expected, "{}", case.name);
        }
        assert_eq!(host_names.next(), None, "{}", case.name);
    }
}
