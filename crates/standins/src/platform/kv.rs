//! Keys, values and versions.

use std::collections::BTreeMap;

use jasminestage_store::api::{KeyValue, RangeRequest, TxnRequest};

/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// The keys of the service.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
}

impl Store {
    /// Revision of the whole store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The keys of a range.
    pub fn range(&self, req: &RangeRequest) -> Vec<KeyValue> {
        self.since(&req.key, &req.range_end, 0)
    }

    /// The keys of a range that changed at `revision` or later.
    pub fn since(&self, key: &[u8], end: &[u8], revision: u64) -> Vec<KeyValue> {
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
        self.keys
            .iter()
            .filter(|(k, (_, version))| inside(k) && *version >= revision)
            .map(|(key, (value, version))| KeyValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: *version,
            })
            .collect()
    }

    /// Runs a transaction; says whether its conditions held, or what is wrong with it.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<bool, String> {
        let puts = || req.success.iter().filter_map(|op| op.put.as_ref());
        if puts().any(|p| p.value.len() > MAX_VALUE_BYTES) {
            return Err("the value is larger than a megabyte".to_owned());
        }
        let version = |key: &[u8]| self.keys.get(key).map_or(0, |(_, version)| *version);
        if !req.compare.iter().all(|c| version(&c.key) == c.mod_revision) {
            return Ok(false);
        }
        self.revision += 1;
        for put in puts() {
            self.keys.insert(put.key.clone(), (put.value.clone(), self.revision));
        }
        Ok(true)
    }
}
