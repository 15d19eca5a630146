//! The configuration part of the control state.

use std::sync::Arc;

use super::{Control, Effect};
use crate::{
    config::{self, ChunkHash, Root},
    event::{Event, Kind},
    time::Instant,
    world,
};

impl Control {
    pub(super) fn see_store(&mut self, up: bool, fx: &mut Vec<Effect>) {
        if self.store_up != up {
            let kind = if up { Kind::StoreAvailable } else { Kind::StoreUnavailable };
            fx.push(Effect::Log(Event::new(kind, "")));
        }
        self.store_up = up;
    }

    pub(super) fn see_root(
        &mut self,
        now: Instant,
        root: &Root,
        version: u64,
        fx: &mut Vec<Effect>,
    ) {
        self.see_store(true, fx);
        let held = self.root.as_ref().map_or(0, |(r, _)| r.revision);
        if root.revision <= held {
            return;
        }
        let missing: Vec<_> =
            root.chunks.iter().filter(|h| !self.chunks.contains_key(h)).copied().collect();
        self.pending = Some((root.clone(), version));
        if missing.is_empty() {
            self.complete(now, fx);
        } else {
            fx.push(Effect::FetchChunks(missing));
        }
    }

    pub(super) fn see_chunks(
        &mut self,
        now: Instant,
        chunks: &[config::chunk::Chunk],
        fx: &mut Vec<Effect>,
    ) {
        for chunk in chunks {
            if ChunkHash::of(&chunk.body) == chunk.hash {
                self.chunks.insert(chunk.hash, chunk.body.clone());
            } else {
                let detail = chunk.hash.to_string();
                fx.push(Effect::Log(Event::new(Kind::RevisionDamaged, detail)));
            }
        }
        self.complete(now, fx);
    }

    /// Puts the pending revision in force when all its chunks are here.
    fn complete(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let Some((root, version)) = self.pending.take() else { return };
        let bodies: Option<Vec<String>> =
            root.chunks.iter().map(|h| self.chunks.get(h).cloned()).collect();
        let Some(bodies) = bodies else {
            self.pending = Some((root, version));
            return;
        };
        let same = self.root.as_ref().is_some_and(|(r, _)| r.chunks == root.chunks);
        if !same {
            match world::parse(&config::join(&bodies)) {
                Ok(world) => self.world = Arc::new(world),
                Err(e) => {
                    fx.push(Effect::Log(Event::new(Kind::RevisionDamaged, e.to_string())));
                    return;
                }
            }
        }
        self.chunks.retain(|hash, _| root.chunks.contains(hash));
        let detail = format!("revision {}", root.revision);
        fx.push(Effect::Log(Event::new(Kind::RevisionInForce, detail)));
        let old = self.root.take().map(|(r, _)| r.rollouts).unwrap_or_default();
        let changes = super::rollout::changes(&self.world, &old, &root.rollouts);
        fx.extend(changes.into_iter().map(Effect::Log));
        self.root = Some((root, version));
        self.publish(now, fx);
        self.claim_seat(fx);
    }

    pub(super) fn claim_seat(&mut self, fx: &mut Vec<Effect>) {
        let Some((root, version)) = &self.root else { return };
        let held = root.seat_of(&self.me).is_some();
        if held || self.stopping || self.claimed == Some(*version) {
            return;
        }
        let Some(domain) = self.world.domain(&self.me.domain) else { return };
        let write_id = format!("{}-{}", self.me.incarnation, version);
        let seats = self.world.domains[domain].seats;
        if let Some(next) = root.with_claim(&self.me, seats, &write_id) {
            fx.push(Effect::SwapRoot { version: *version, root: next });
            self.claimed = Some(*version);
        }
    }
}
