//! Exchange of state inside a region through relays: simulated hosts, messages with delays, losses
//! and duplicates, and failures of relays.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::Repeat,
    host::Incarnation,
    steer::{
        catalog::{Catalog, Limits},
        control::{Change, ControlState, StoreStatus},
        digest::{Announcement, Message, StoreProgress, TrafficStats, name_hash},
        exchange::{self, StoreState},
        server::AttemptOutcome,
        stable_hash,
        steering::{RequestHead, Steering},
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{at, bounds, entry, route, service, workspace, zone_regions};

/// Time between two turns.
const TURN_MS: u64 = 200;
/// Time in which the state of a host must have reached all others: 1.5 s, and one turn for each of
/// the four messages on the way, which take no time otherwise.
const SPREAD_MS: u64 = 1500 + 4 * TURN_MS;

const HEAD: RequestHead<'_> = RequestHead {
    id: "",
    host: "example",
    path: "/read/x",
    key: Some("key-w"),
    object: None,
    caller_timeout: None,
};

struct Host {
    announcement: Announcement,
    control: ControlState,
    steering: Steering,
    is_running: bool,
    sent: u64,
}

impl Host {
    fn new(announcement: Announcement, now: Instant) -> Host {
        let mut control = ControlState::new(bounds(), announcement.clone(), zone_regions());
        let catalog = Catalog::new(
            1,
            vec![route("read", "lookup", Repeat::Idempotent)],
            vec![service("lookup")],
            vec![workspace("w", 1e6)],
            Limits::default(),
        );
        let mut server = entry("s", "lookup", "a1");
        server.slots = 1_000_000;
        let changes = vec![Change::Configured(Arc::new(catalog)), Change::ServerAnnounced(server)];
        control.apply(now, changes);
        let view = control.take_view().expect("the view has changed");
        let mut steering = Steering::new(Arc::clone(&view));
        // The servers of the first view are installed like those of any other.
        let mut empty = (*view).clone();
        empty.servers = Arc::default();
        steering.install_view(now, Arc::new(empty));
        steering.install_view(now, view);
        Host { announcement, control, steering, is_running: true, sent: 0 }
    }

    /// Admits requests of the workspace and leaves them in flight.
    fn admit(&mut self, now: Instant, count: usize) {
        for n in 0..count {
            let now = now + Duration::from_millis(n as u64);
            let id = format!("{}-{n}", self.announcement.incarnation);
            let head = RequestHead { id: &id, ..HEAD };
            let mut request = self.steering.admit(now, &head).expect("the request is admitted");
            self.steering.charge_quota(now, &request).expect("the quota is large");
            let chosen = self.steering.choose_server(now, &mut request);
            chosen.expect("the server is available");
        }
    }

    fn reachable(&self) -> usize {
        self.control.view().peers.iter().filter(|p| p.is_reachable).count()
    }
}

/// A region whose messages arrive in the next turn, some of them late, twice or never.
struct Region {
    hosts: Vec<Host>,
    by_address: HashMap<SocketAddr, usize>,
    in_transit: Vec<(u64, usize, Message)>,
    turn: u64,
    seed: u64,
    loss: f64,
    /// Whether messages between two failure domains are dropped.
    is_cut: fn(&str, &str) -> bool,
}

fn host_announcement(incarnation: u64, zone: &str, millicores: u32) -> Announcement {
    let port = incarnation as u16;
    Announcement {
        incarnation: Incarnation(incarnation),
        name: format!("host-{incarnation}"),
        zone: zone.to_owned(),
        caller_address: ([10, 0, 0, 1], port).into(),
        peer_address: ([10, 0, 0, 2], port).into(),
        millicores,
    }
}

impl Region {
    /// Starts two failure domains with three large and `small` small hosts each; all hosts know each
    /// other from the store.
    fn start(small: usize, seed: u64, loss: f64) -> Region {
        let mut announcements = Vec::new();
        for (z, zone) in ["a1", "a2"].iter().enumerate() {
            for n in 0..small + 3 {
                let millicores = if n < 3 { 500 } else { 100 };
                let incarnation = 1 + (z * 1000 + n) as u64;
                announcements.push(host_announcement(incarnation, zone, millicores));
            }
        }
        let by_address =
            announcements.iter().enumerate().map(|(n, a)| (a.peer_address, n)).collect();
        let mut hosts: Vec<Host> =
            announcements.iter().map(|a| Host::new(a.clone(), at(0))).collect();
        for host in &mut hosts {
            let listed = announcements.iter().cloned().map(Change::HostAnnounced).collect();
            host.control.apply(at(0), listed);
        }
        Region {
            hosts,
            by_address,
            in_transit: Vec::new(),
            turn: 0,
            seed,
            loss,
            is_cut: |_, _| false,
        }
    }

    fn now(&self) -> Instant {
        at(1000 + self.turn * TURN_MS)
    }

    fn random(&self, salt: u64) -> f64 {
        let hash = stable_hash(self.seed ^ salt << 20, &self.turn.to_le_bytes());
        jasminestage_core::steer::unit_interval(hash)
    }

    fn run_turn(&mut self) {
        self.turn += 1;
        let now = self.now();
        let (due, later) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(t, ..)| *t <= self.turn);
        self.in_transit = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, to, message) in due {
            let host = &mut self.hosts[to];
            if let (true, Message::Host(digest)) = (host.is_running, message) {
                exchange::receive_digest(now, &mut host.control, &mut host.steering, *digest);
            }
        }
        let mut salt = 0;
        for n in 0..self.hosts.len() {
            if !self.hosts[n].is_running {
                continue;
            }
            let host = &mut self.hosts[n];
            host.control.tick(now);
            if let Some(view) = host.control.take_view() {
                host.steering.install_view(now, view);
            }
            host.steering.tick(now);
            let status = StoreStatus { is_reachable: true, read_age_ms: None };
            let store = StoreState { progress: StoreProgress::default(), status };
            // Hosts do not start in the same turn.
            let turn = self.turn + n as u64;
            let messages =
                exchange::due_messages(now, turn, &mut host.control, &host.steering, &store);
            for (message, addresses) in messages {
                for address in addresses {
                    salt += 1;
                    let to = self.by_address[&address];
                    self.hosts[n].sent += 1;
                    let zones =
                        (&*self.hosts[n].announcement.zone, &*self.hosts[to].announcement.zone);
                    if (self.is_cut)(zones.0, zones.1) || self.random(salt) < self.loss {
                        continue;
                    }
                    let is_late = self.random(salt + 500_000) < self.loss;
                    let arrives = self.turn + 1 + u64::from(is_late);
                    self.in_transit.push((arrives, to, message.clone()));
                    if is_late {
                        self.in_transit.push((arrives, to, message.clone()));
                    }
                }
            }
        }
    }

    fn run_ms(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(TURN_MS) {
            self.run_turn();
        }
    }

    fn running(&self) -> usize {
        self.hosts.iter().filter(|h| h.is_running).count()
    }

    /// Requests in flight and admitted elsewhere, as known by a host.
    fn known_elsewhere(&mut self, n: usize) -> (u32, u32) {
        let now = self.now();
        let host = &mut self.hosts[n];
        let own: u32 = host.steering.in_flight().iter().map(|(_, requests)| requests).sum();
        let workspace = name_hash("w");
        let admitted = |stats: TrafficStats| {
            stats.admitted.get(&workspace).map_or(0, |counts| counts.total() as u32)
        };
        let own_admitted = admitted(host.steering.local_traffic_stats());
        let all_admitted = admitted(host.steering.regional_traffic_stats(now));
        let probe = RequestHead { id: "probe", ..HEAD };
        let mut request = host.steering.admit(now, &probe).expect("the request is admitted");
        let dispatch = host.steering.choose_server(now, &mut request).expect("a server");
        host.steering.finish_attempt(now, &mut request, AttemptOutcome::Abandoned, None);
        (dispatch.load as u32 - own, all_admitted - own_admitted)
    }
}

struct SpreadCase {
    /// Small hosts of each failure domain.
    small: usize,
    /// Share of the messages that are lost, and of those that arrive late and twice.
    loss: f64,
    /// Indexes of hosts, in each failure domain, that end before the counts are taken.
    killed: fn(usize) -> Vec<usize>,
}

const NONE: fn(usize) -> Vec<usize> = |_| Vec::new();

/// Every host must count each request of the others once, whether its own failure domain has
/// followers or not, and also after relays have ended.
#[test_case(&SpreadCase { small: 0, loss: 0.0, killed: NONE }; "only relays")]
#[test_case(&SpreadCase { small: 1, loss: 0.0, killed: NONE }; "one follower")]
#[test_case(&SpreadCase { small: 25, loss: 0.0, killed: NONE }; "many followers")]
#[test_case(&SpreadCase { small: 25, loss: 0.0, killed: |_| vec![0] }; "one relay ended")]
#[test_case(&SpreadCase { small: 25, loss: 0.0, killed: |_| vec![0, 1] }; "two relays ended")]
#[test_case(&SpreadCase { small: 25, loss: 0.0, killed: |_| vec![0, 1, 2] }; "all relays ended")]
#[test_case(&SpreadCase { small: 25, loss: 0.0, killed: |small| (0..small + 2).collect() }; "all but one host ended")]
fn every_host_counts_each_other_host_once(case: &SpreadCase) {
    for seed in 0..4 {
        let mut region = Region::start(case.small, seed, case.loss);
        region.run_ms(3000);
        for zone_start in [0, case.small + 3] {
            for n in (case.killed)(case.small) {
                region.hosts[zone_start + n].is_running = false;
            }
        }
        region.run_ms(6000);
        let now = region.now();
        for host in region.hosts.iter_mut().filter(|h| h.is_running) {
            host.admit(now, 3);
        }
        region.run_ms(SPREAD_MS);
        let expected = 3 * (region.running() as u32 - 1);
        let running: Vec<usize> =
            (0..region.hosts.len()).filter(|n| region.hosts[*n].is_running).collect();
        for n in running {
            let name = region.hosts[n].announcement.name.clone();
            assert_eq!(region.hosts[n].reachable() + 1, region.running(), "seed {seed}, {name}");
            assert_eq!(region.known_elsewhere(n), (expected, expected), "seed {seed}, {name}");
        }
    }
}

/// While relays end and messages are lost, late or doubled, each running host must be counted, or
/// else an even part of the quota must be reserved for it.
#[test]
fn requests_of_unreachable_hosts_are_not_forgotten() {
    for seed in 0..10 {
        let mut region = Region::start(12, seed, 0.05);
        region.run_ms(4000);
        let now = region.now();
        for host in &mut region.hosts {
            host.admit(now, 2);
        }
        region.run_ms(SPREAD_MS);
        // Relays end one after the other, while the window of the quota still has the requests.
        for ended in [0, 15, 1] {
            region.hosts[ended].is_running = false;
            for _ in 0..4 {
                region.run_turn();
                let others = region.running() - 1;
                for host in region.hosts.iter().filter(|h| h.is_running) {
                    let remote = host.steering.quota_state("w").remote;
                    let covered = remote.admitted.total() as usize / 2 + remote.unreachable_hosts;
                    let name = &host.announcement.name;
                    assert!(covered >= others, "seed {seed}, {name}: {covered} of {others}");
                }
            }
        }
    }
}

/// Two failure domains that cannot reach each other each go on alone, and find each other again.
#[test]
fn failure_domains_find_each_other_after_a_cut() {
    let mut region = Region::start(10, 1, 0.0);
    region.run_ms(3000);
    region.is_cut = |from, to| from != to;
    region.run_ms(6000);
    for host in &region.hosts {
        assert_eq!(host.reachable() + 1, 13, "{}", host.announcement.name);
    }
    region.is_cut = |_, _| false;
    region.run_ms(3000);
    for host in &region.hosts {
        assert_eq!(host.reachable() + 1, 26, "{}", host.announcement.name);
    }
}

/// All large hosts of both failure domains end in the same moment; the small ones must find each
/// other while the store still lists the large ones.
#[test]
fn followers_find_new_relays_while_the_store_lists_the_old_ones() {
    let mut region = Region::start(20, 3, 0.02);
    region.run_ms(3000);
    for n in [0, 1, 2, 23, 24, 25] {
        region.hosts[n].is_running = false;
    }
    region.run_ms(5000);
    for host in region.hosts.iter().filter(|h| h.is_running) {
        assert_eq!(host.reachable() + 1, 40, "{}", host.announcement.name);
    }
}

struct CostCase {
    small: usize,
}

/// The messages that a host sends in a second must not grow with the hosts of its region, except
/// those from a relay to the followers of its own failure domain.
#[test_case(&CostCase { small: 0 }; "six hosts")]
#[test_case(&CostCase { small: 7 }; "twenty hosts")]
#[test_case(&CostCase { small: 30 }; "sixty-six hosts")]
fn messages_do_not_grow_with_the_region(case: &CostCase) {
    const SECONDS: u64 = 8;
    let mut region = Region::start(case.small, 5, 0.0);
    region.run_ms(3000);
    region.hosts.iter_mut().for_each(|h| h.sent = 0);
    region.run_ms(SECONDS * 1000);
    for (n, host) in region.hosts.iter().enumerate() {
        let is_large = n % (case.small + 3) < 3;
        let per_second = host.sent as f64 / SECONDS as f64;
        // Five other relays in each turn; each follower in every fourth turn.
        let limit = if is_large { 25.0 + 1.25 * case.small as f64 } else { 7.5 };
        assert!(per_second <= limit, "{}: {per_second} a second", host.announcement.name);
    }
}

struct ReaderCase {
    small: usize,
    killed: &'static [usize],
    readers: usize,
}

#[test_case(&ReaderCase { small: 20, killed: &[], readers: 2 }; "all hosts run")]
#[test_case(&ReaderCase { small: 20, killed: &[0, 1, 2], readers: 2 }; "the relays of one failure domain ended")]
#[test_case(&ReaderCase { small: 0, killed: &[], readers: 2 }; "only relays")]
fn two_hosts_of_a_region_read_the_store(case: &ReaderCase) {
    let mut region = Region::start(case.small, 2, 0.0);
    region.run_ms(3000);
    for n in case.killed {
        region.hosts[*n].is_running = false;
    }
    region.run_ms(4000);
    let now = region.now();
    let running = region.hosts.iter().filter(|h| h.is_running);
    let readers = running.filter(|h| h.control.is_store_reader(now, true)).count();
    assert_eq!(readers, case.readers);
}

/// A host that starts anew under another incarnation becomes a follower and gets the sums.
#[test]
fn a_restarted_host_joins_as_a_follower() {
    let mut region = Region::start(20, 4, 0.0);
    region.run_ms(3000);
    let old = region.hosts[10].announcement.clone();
    let new = Announcement { incarnation: Incarnation(5000), ..old };
    let mut host = Host::new(new.clone(), region.now());
    let listed = region.hosts.iter().map(|h| Change::HostAnnounced(h.announcement.clone()));
    host.control.apply(region.now(), listed.collect());
    region.hosts[10] = host;
    region.run_ms(2500);
    let now = region.now();
    assert!(!region.hosts[10].control.is_relay(now));
    assert!(region.hosts.iter().all(|h| h.reachable() + 1 == 46));
    region.hosts[10].admit(now, 4);
    region.run_ms(SPREAD_MS);
    assert!((0..46).filter(|n| *n != 10).all(|n| region.known_elsewhere(n) == (4, 4)));
}

/// Fails if the time that a change of readiness takes is longer than callers may use an old answer
/// of the directory.
#[test]
fn a_stopping_host_leaves_the_directories_of_followers_soon() {
    let mut region = Region::start(20, 6, 0.0);
    region.run_ms(3000);
    region.hosts[1].control.begin_stop();
    let stopping = region.hosts[1].announcement.incarnation;
    region.run_ms(2000);
    for host in region.hosts.iter().filter(|h| h.announcement.incarnation != stopping) {
        let view = host.control.view();
        let peer = view.peers.iter().find(|p| p.host.incarnation == stopping);
        assert!(peer.is_some_and(|p| !p.ready), "{}", host.announcement.name);
    }
}
