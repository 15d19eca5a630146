//! A store that is restored from a copy: what hosts keep of the states that it has lost.

use std::{collections::BTreeMap, time::Duration};

use jasminestage_core::steer::{
    mirror::{Item, ItemChange, Mirror, Snapshot},
    position::StorePosition,
    retention::RetentionPolicy,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use test_case::test_case;

use crate::common::at;

const CONFIG: &str = "config";
/// Key whose presence matters, like that of an evacuation.
const MARK: &str = "mark";
/// Time in milliseconds after which lost states are given up.
const RETENTION_MS: u64 = 10_000;

fn policy() -> RetentionPolicy {
    RetentionPolicy {
        is_newer: |own, restored| own.value > restored.value,
        retains_missing: true,
        retains_removal: |key| key != MARK,
        duration: Duration::from_millis(RETENTION_MS),
    }
}

fn item(key: &str, value: u8, era: u64, revision: u64) -> Item {
    Item { key: key.to_owned(), value: vec![value], position: StorePosition::new(era, revision) }
}

fn snapshot(era: u64, revision: u64, items: &[Item]) -> Snapshot {
    let position = StorePosition::new(era, revision);
    Snapshot { position, items: items.to_vec(), ..Snapshot::default() }
}

fn value_of(mirror: &Mirror, key: &str) -> Option<u8> {
    mirror.get(key).map(|item| item.value[0])
}

struct RestoreCase {
    /// Changes of era 1 that the host has seen, after revision 120.
    before: fn() -> Vec<ItemChange>,
    /// Items of the restored store, which is at revision 130 of era 2.
    restored: fn() -> Vec<Item>,
    /// Values of the configuration and the mark after the first read.
    values: [Option<u8>; 2],
    /// The values if nothing is written again.
    values_at_end: [Option<u8>; 2],
}

fn written(item: Item) -> ItemChange {
    ItemChange::Written(item)
}

fn removed(key: &str, era: u64, revision: u64) -> ItemChange {
    ItemChange::Removed { key: key.to_owned(), position: StorePosition::new(era, revision) }
}

/// Fails if a host goes back to what a restored store has, before the writers have had time to write the
/// lost changes again, or if it takes what the store has kept for lost.
#[test_case(&RestoreCase { before: || vec![], restored: || vec![item(CONFIG, 5, 2, 120)], values: [Some(5), None], values_at_end: [Some(5), None] }; "nothing was lost")]
#[test_case(&RestoreCase { before: || vec![written(item(CONFIG, 6, 1, 146))], restored: || vec![item(CONFIG, 5, 2, 120)], values: [Some(6), None], values_at_end: [Some(5), None] }; "a change was lost")]
#[test_case(&RestoreCase { before: || vec![written(item(CONFIG, 6, 1, 146))], restored: || vec![item(CONFIG, 6, 2, 131)], values: [Some(6), None], values_at_end: [Some(6), None] }; "a change was written again before the first read")]
#[test_case(&RestoreCase { before: || vec![written(item(CONFIG, 6, 1, 146))], restored: || vec![item(CONFIG, 7, 2, 131)], values: [Some(7), None], values_at_end: [Some(7), None] }; "a later change at a lower revision")]
#[test_case(&RestoreCase { before: || vec![written(item(CONFIG, 6, 1, 146))], restored: Vec::new, values: [Some(6), None], values_at_end: [None, None] }; "a new item was lost")]
#[test_case(&RestoreCase { before: || vec![written(item(MARK, 1, 1, 140))], restored: || vec![item(CONFIG, 5, 2, 120)], values: [Some(5), Some(1)], values_at_end: [Some(5), None] }; "a mark was lost")]
#[test_case(&RestoreCase { before: || vec![written(item(MARK, 1, 1, 122)), removed(MARK, 1, 140)], restored: || vec![item(CONFIG, 5, 2, 120), item(MARK, 1, 2, 122)], values: [Some(5), Some(1)], values_at_end: [Some(5), Some(1)] }; "the removal of a mark was lost")]
#[test_case(&RestoreCase { before: || vec![removed(CONFIG, 1, 140)], restored: || vec![item(CONFIG, 5, 2, 120)], values: [None, None], values_at_end: [Some(5), None] }; "the removal of another item was lost")]
fn newer_states_outlast_a_restore(case: &RestoreCase) {
    let mut mirror = Mirror::new(policy());
    mirror.replace(at(0), snapshot(1, 120, &[item(CONFIG, 5, 1, 120)]));
    mirror.apply((case.before)(), StorePosition::new(1, 146));
    mirror.replace(at(1000), snapshot(2, 131, &(case.restored)()));
    assert_eq!([CONFIG, MARK].map(|key| value_of(&mirror, key)), case.values);
    assert!(mirror.expire(at(RETENTION_MS)).is_empty());
    mirror.expire(at(1000 + RETENTION_MS));
    assert_eq!([CONFIG, MARK].map(|key| value_of(&mirror, key)), case.values_at_end);
}

/// Fails if a change of an era that has ended, which arrives late, or a copy of a host that does not know
/// of the restore replaces newer items, or if a host does not learn of the era from another one.
#[test]
fn an_ended_era_never_wins() {
    let mut ahead = Mirror::new(policy());
    ahead.replace(at(0), snapshot(1, 120, &[item(CONFIG, 5, 1, 120)]));
    let mut behind = ahead.clone();
    behind.apply(vec![written(item(CONFIG, 6, 1, 146))], StorePosition::new(1, 146));
    ahead.replace(at(0), snapshot(2, 131, &[item(CONFIG, 7, 2, 131)]));
    assert!(behind.state().is_behind(&ahead.state()));
    assert!(!ahead.state().is_behind(&behind.state()));
    assert!(ahead.replace(at(0), behind.snapshot(at(0))).is_empty());
    assert!(
        ahead.apply(vec![written(item(CONFIG, 9, 1, 150))], StorePosition::new(1, 150)).is_empty()
    );
    behind.replace(at(0), ahead.snapshot(at(0)));
    assert_eq!(behind.state(), ahead.state());
    assert_eq!(value_of(&behind, CONFIG), Some(7));
}

/// Fails if a host that starts after a restore, and has read the store, does not learn from others what
/// the store has lost.
#[test]
fn a_new_host_learns_what_the_store_has_lost() {
    let restored = snapshot(2, 130, &[item(CONFIG, 5, 2, 120)]);
    let mut old = Mirror::new(policy());
    old.replace(at(0), snapshot(1, 146, &[item(CONFIG, 6, 1, 146)]));
    old.replace(at(0), restored.clone());
    let mut new = Mirror::new(policy());
    new.replace(at(0), restored);
    assert!(new.state().is_behind(&old.state()));
    assert!(!old.state().is_behind(&new.state()));
    new.replace(at(500), old.snapshot(at(500)));
    assert_eq!(value_of(&new, CONFIG), Some(6));
    assert_eq!(new.state(), old.state());
    let rewritten = written(item(CONFIG, 6, 2, 133));
    new.apply(vec![rewritten], StorePosition::new(2, 133));
    assert!(!new.state().is_behind(&old.state()));
    assert!(old.state().is_behind(&new.state()), "the other host learns that the retention ended");
}

/// A store with its last copy, and writers that write lost changes again.
struct ModelStore {
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<ItemChange>,
    copy: (u64, BTreeMap<String, Item>, usize),
    /// Changes since the copy, by key.
    later_writes: BTreeMap<String, Option<u8>>,
    /// Changes that were lost and not written again yet, by key.
    lost_writes: BTreeMap<String, Option<u8>>,
}

impl ModelStore {
    fn new() -> Self {
        let mut store = ModelStore {
            era: 1,
            revision: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            copy: (100, BTreeMap::new(), 0),
            later_writes: BTreeMap::new(),
            lost_writes: BTreeMap::new(),
        };
        store.write(CONFIG, Some(1));
        store.take_copy();
        store
    }

    fn write(&mut self, key: &str, value: Option<u8>) {
        self.revision += 1;
        let change = match value {
            Some(value) => written(item(key, value, self.era, self.revision)),
            None => removed(key, self.era, self.revision),
        };
        match &change {
            ItemChange::Written(item) => self.items.insert(key.to_owned(), item.clone()),
            ItemChange::Removed { .. } => self.items.remove(key),
        };
        self.history.push(change);
        self.later_writes.insert(key.to_owned(), value);
        self.lost_writes.remove(key);
    }

    fn take_copy(&mut self) {
        self.copy = (self.revision, self.items.clone(), self.history.len());
        self.later_writes.clear();
    }

    fn restore(&mut self) {
        let (revision, items, history_len) = self.copy.clone();
        (self.revision, self.items) = (revision, items);
        self.history.truncate(history_len);
        self.era += 1;
        self.lost_writes.append(&mut self.later_writes);
    }

    fn write_lost_items(&mut self) {
        for (key, value) in std::mem::take(&mut self.lost_writes) {
            if self.items.get(&key).map(|i| i.value[0]) != value {
                self.write(&key, value);
            }
        }
    }

    fn snapshot(&self) -> Snapshot {
        let in_era = |i: &Item| item(&i.key, i.value[0], self.era, i.position.revision);
        let items: Vec<Item> = self.items.values().map(in_era).collect();
        snapshot(self.era, self.revision, &items)
    }

    /// The changes after a position; `None` if it is not part of the history.
    fn changes_after(&self, after: StorePosition) -> Option<(Vec<ItemChange>, StorePosition)> {
        let position = StorePosition::new(self.era, self.revision);
        if after.era != self.era || after > position {
            return None;
        }
        let newer = |c: &&ItemChange| c.position().revision > after.revision;
        Some((self.history.iter().filter(newer).cloned().collect(), position))
    }
}

/// A host's copy, and a response of the store that is still on its way to it.
struct ModelHost {
    mirror: Mirror,
    delayed: Option<(Vec<ItemChange>, StorePosition)>,
}

impl ModelHost {
    fn new() -> Self {
        ModelHost { mirror: Mirror::new(policy()), delayed: None }
    }

    fn read(&mut self, now: u64, store: &ModelStore) {
        match store.changes_after(self.mirror.position()) {
            Some((changes, position)) if self.mirror.position().era > 0 => {
                self.mirror.apply(changes, position);
            }
            _ => {
                self.mirror.replace(at(now), store.snapshot());
            }
        }
    }

    fn config(&self) -> u8 {
        value_of(&self.mirror, CONFIG).unwrap_or(0)
    }
}

const HOSTS: usize = 4;
const STEPS: u64 = 300;

/// One round in which each host reads the store or, if it cannot, copies from the others.
fn calm_round(rng: &mut StdRng, now: u64, store: &ModelStore, hosts: &mut [ModelHost]) {
    for n in 0..HOSTS {
        if n % 2 == 0 {
            hosts[n].read(now, store);
        }
        copy(now, hosts, n, rng.random_range(0..HOSTS));
        for other in 0..HOSTS {
            copy(now, hosts, n, other);
        }
    }
}

fn copy(now: u64, hosts: &mut [ModelHost], to: usize, from: usize) {
    if to != from && hosts[to].mirror.state().is_behind(&hosts[from].mirror.state()) {
        let snapshot = hosts[from].mirror.snapshot(at(now));
        hosts[to].mirror.replace(at(now), snapshot);
    }
}

/// Fails if a host returns to an older configuration, or if a confirmed change is not in force on every
/// host soon after the last disruption, whatever the store forgets.
#[test]
fn confirmed_changes_stay_in_force_whatever_the_store_forgets() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut store, mut config, mut is_marked) = (ModelStore::new(), 1, false);
        let mut hosts: Vec<ModelHost> = (0..HOSTS).map(|_| ModelHost::new()).collect();
        let mut now = 0;
        for step in 0..STEPS {
            now += 100;
            let n = rng.random_range(0..HOSTS);
            let before: Vec<u8> = hosts.iter().map(ModelHost::config).collect();
            let mut restarted = None;
            match rng.random_range(0..14) {
                0 if config < u8::MAX => {
                    config += 1;
                    store.write(CONFIG, Some(config));
                }
                1 => {
                    is_marked = !is_marked;
                    store.write(MARK, is_marked.then_some(1));
                }
                2 => store.take_copy(),
                3 => store.restore(),
                4 => {
                    hosts[n] = ModelHost::new();
                    restarted = Some(n);
                }
                5 => hosts[n].delayed = store.changes_after(hosts[n].mirror.position()),
                6 | 7 => {
                    if let Some((changes, position)) = hosts[n].delayed.take() {
                        hosts[n].mirror.apply(changes, position);
                    }
                }
                8..=10 => hosts[n].read(now, &store),
                11 | 12 => copy(now, &mut hosts, n, rng.random_range(0..HOSTS)),
                _ => {
                    store.write_lost_items();
                    calm_round(&mut rng, now, &store, &mut hosts);
                    calm_round(&mut rng, now, &store, &mut hosts);
                    for host in &hosts {
                        assert_eq!(host.config(), config, "seed {seed}, step {step}");
                        let marked = value_of(&host.mirror, MARK).is_some();
                        assert!(marked || !is_marked, "seed {seed}, step {step}: mark lost");
                    }
                    // A host may have missed the removal of a mark that the store has lost as well.
                    now += RETENTION_MS;
                    for host in &mut hosts {
                        host.mirror.expire(at(now));
                        let marked = value_of(&host.mirror, MARK).is_some();
                        assert_eq!(marked, is_marked, "seed {seed}, step {step}");
                    }
                }
            }
            for (n, (host, before)) in hosts.iter().zip(before).enumerate() {
                let is_older = host.config() < before && restarted != Some(n);
                assert!(!is_older, "seed {seed}, step {step}: host {n} went back");
            }
        }
    }
}
