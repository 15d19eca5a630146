//! Records of all backend servers that a host knows of.

use std::{
    collections::{HashMap, hash_map},
    sync::Arc,
};

use slotmap::SlotMap;

use super::{
    digest::NameHash,
    server::{Server, ServerEntry, ServerKey},
};
use crate::time::Instant;

/// Records of backend servers, at most one for each id.
///
/// A record outlives the server's entry as long as requests of this host run at the server, or as long
/// as the server has asked for a pause. An entry
/// that is written again meanwhile continues the same record, so that no second one with an outdated
/// state remains.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: SlotMap<ServerKey, Server>,
    keys_by_id: HashMap<String, ServerKey>,
    keys_by_short_hash: HashMap<NameHash, ServerKey>,
}

impl ServerTable {
    /// Applies an announced entry to the record with its id; returns whether it announces another
    /// incarnation than the record had.
    pub fn announce(&mut self, now: Instant, entry: &Arc<ServerEntry>, region: &str) -> bool {
        let cold_until = now + entry.cold_duration;
        match self.keys_by_id.entry(entry.id.clone()) {
            hash_map::Entry::Occupied(occupied) => {
                self.servers[*occupied.get()].renew(Arc::clone(entry), region, cold_until)
            }
            hash_map::Entry::Vacant(vacant) => {
                let server = Server::new(Arc::clone(entry), region.to_owned(), cold_until);
                let short_hash = server.short_hash;
                let key = self.servers.insert(server);
                vacant.insert(key);
                self.keys_by_short_hash.insert(short_hash, key);
                false
            }
        }
    }

    /// Marks the servers whose ids are not announced, and removes those at which no request of this
    /// host runs and which have not asked for a pause that still lasts.
    pub fn withdraw_unannounced(&mut self, now: Instant, is_announced: impl Fn(&str) -> bool) {
        self.servers.retain(|_, s| {
            s.is_announced = is_announced(&s.entry.id);
            s.is_announced || s.in_flight > 0 || s.paused_until(now).is_some()
        });
        self.keys_by_id.retain(|_, key| self.servers.contains_key(*key));
        self.keys_by_short_hash.retain(|_, key| self.servers.contains_key(*key));
        debug_assert_eq!(self.keys_by_id.len(), self.servers.len(), "each record has its own id");
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns all records with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns all records.
    pub fn values(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns all records for changes.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.values_mut()
    }

    /// Returns a record; `None` if it has been removed.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns a record for changes; `None` if it has been removed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(key)
    }

    /// Returns the record of the server to which a short hash in a digest refers.
    pub fn get_mut_by_short_hash(&mut self, short_hash: NameHash) -> Option<&mut Server> {
        self.servers.get_mut(*self.keys_by_short_hash.get(&short_hash)?)
    }
}
