//! Revisions of the configuration: from where they come and when they are in force.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{Control, Effect, rollout};
use crate::{
    config::{
        ChunkHash, Held, Revision, Root,
        chunk::{Chunk, ChunkKind, Listed},
        resolve,
    },
    declaration::{self, BlockPart, ClientBlocks, Declaration, DeclarationError, ValidationError},
    event::Kind,
    peer::{PeerCall, PeerReply},
    time::Instant,
};

/// Time after which a revision that is not complete is asked for again.
const RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Missing chunks from which on another host is asked rather than the store.
const MANY_CHUNKS: usize = 32;
/// Ticks between two reads of the root record.
const READ_TICKS: u64 = 4;

/// A newer revision that is not complete.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    root: Root,
    /// The host that it came from; none when it came from the store.
    peer: Option<SocketAddr>,
    retry_at: Instant,
}

impl Control {
    /// Relays watch the root record and read it every second besides.
    pub(super) fn tick_store(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let is_relay = self.members.is_relay(now, &self.me);
        if self.watching != is_relay {
            self.watching = is_relay;
            fx.push(Effect::WatchStore(is_relay));
        }
        if is_relay && self.ticks.is_multiple_of(READ_TICKS) {
            fx.push(Effect::ReadRoot);
        }
    }

    pub(super) fn see_store(&mut self, up: bool, fx: &mut Vec<Effect>) {
        if self.store_up != up {
            let kind = if up { Kind::StoreAvailable } else { Kind::StoreUnavailable };
            self.log(kind, "", fx);
        }
        self.store_up = up;
    }

    /// A call to the store failed; chunks that are missing may be had from another host.
    pub(super) fn see_store_failure(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.see_store(false, fx);
        let Some(pending) = &self.pending else { return };
        if let Err(missing) = resolve(&pending.root, &self.chunks)
            && let Some(peer) = self.holder_of(now, pending.root.revision)
        {
            self.fetch(missing, Some(peer), fx);
        }
    }

    pub(super) fn see_store_root(
        &mut self,
        now: Instant,
        root: &Root,
        asked: Instant,
        fx: &mut Vec<Effect>,
    ) {
        self.see_store(true, fx);
        self.read_proof = Some((root.revision, asked));
        self.see_root(now, root, None, fx);
        self.prove_by_read(now, fx);
    }

    /// A revision that another host has in force.
    pub(super) fn see_revision(
        &mut self,
        now: Instant,
        revision: Revision,
        from: SocketAddr,
        fx: &mut Vec<Effect>,
    ) {
        let is_asked = |(asked, at): (Revision, Instant)| {
            asked >= revision && now.saturating_since(at) < RETRY_PERIOD
        };
        let is_pending =
            self.pending.as_ref().is_some_and(|p| p.root.revision >= revision && now < p.retry_at);
        let is_needed = revision > self.revision() && revision != self.damaged;
        if !is_needed || is_pending || self.asked.is_some_and(is_asked) {
            return;
        }
        self.asked = Some((revision, now));
        let call = PeerCall::Root(self.revision());
        fx.push(Effect::AskPeer { to: from, call });
    }

    pub(super) fn see_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: &PeerReply,
        fx: &mut Vec<Effect>,
    ) {
        match reply {
            PeerReply::Root(Some(root)) => self.see_root(now, root, Some(from), fx),
            PeerReply::Chunks(chunks) => self.see_chunks(now, chunks, fx),
            _ => {}
        }
    }

    fn see_root(
        &mut self,
        now: Instant,
        root: &Root,
        peer: Option<SocketAddr>,
        fx: &mut Vec<Effect>,
    ) {
        if root.revision <= self.revision() || root.revision == self.damaged {
            return;
        }
        let is_retry = match &self.pending {
            Some(p) if p.root.revision > root.revision => return,
            Some(p) if p.root.revision == root.revision && now < p.retry_at => return,
            Some(p) => p.root.revision == root.revision,
            None => false,
        };
        let retry_at = now + RETRY_PERIOD;
        self.pending = Some(Pending { root: root.clone(), peer, retry_at });
        let Err(missing) = resolve(root, &self.chunks) else { return self.complete(now, fx) };
        let helper = (missing.len() > MANY_CHUNKS && !is_retry).then(|| self.helper(now)).flatten();
        self.fetch(missing, peer.or(helper), fx);
    }

    fn fetch(&self, missing: Vec<ChunkHash>, peer: Option<SocketAddr>, fx: &mut Vec<Effect>) {
        match peer {
            Some(to) => fx.push(Effect::AskPeer { to, call: PeerCall::Chunks(missing) }),
            None => fx.push(Effect::FetchChunks(missing)),
        }
    }

    /// A live host of the failure domain that holds a configuration.
    fn helper(&self, now: Instant) -> Option<SocketAddr> {
        let holding = self.members.live(now).filter(|m| m.last.revision > 0);
        holding.max_by_key(|m| m.last.revision).map(|m| m.last.host.peer_address)
    }

    pub(super) fn see_chunks(&mut self, now: Instant, chunks: &[Chunk], fx: &mut Vec<Effect>) {
        for chunk in chunks {
            if ChunkHash::of(&chunk.body) == chunk.hash {
                self.chunks.insert(chunk.hash, Arc::from(chunk.body.as_str()));
            } else {
                self.log(Kind::RevisionDamaged, chunk.hash.to_string(), fx);
            }
        }
        let Some(pending) = &self.pending else { return };
        match resolve(&pending.root, &self.chunks) {
            Ok(_) => self.complete(now, fx),
            // An index has come, so its chunks can be asked for.
            Err(missing) if !chunks.is_empty() => {
                let from_store = self.store_up && missing.len() <= MANY_CHUNKS;
                let peer = match pending.peer {
                    None if from_store => None,
                    None => self.holder_of(now, pending.root.revision),
                    peer => peer,
                };
                self.fetch(missing, peer, fx);
            }
            Err(_) => {}
        }
    }

    /// A host that was heard to have this revision in force.
    fn holder_of(&self, now: Instant, revision: Revision) -> Option<SocketAddr> {
        let near = self.members.live(now).filter(|m| m.last.revision >= revision);
        let far = self.fleet.iter().flat_map(|(_, d)| d.delegates.values());
        let far = far.filter(|d| d.is_live(now) && d.revision >= revision);
        let mut all =
            near.map(|m| m.last.host.peer_address).chain(far.map(|d| d.host.peer_address));
        all.next()
    }

    /// Puts the pending revision in force; all its chunks are here.
    fn complete(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let Some(Pending { root, .. }) = self.pending.take() else { return };
        let Ok(listed) = resolve(&root, &self.chunks) else { return };
        match self.compile(&listed) {
            Ok(declaration) => self.declaration = declaration,
            Err(e) => {
                self.damaged = root.revision;
                self.log(Kind::RevisionDamaged, format!("revision {}: {e}", root.revision), fx);
                return;
            }
        }
        debug_assert!(root.revision > self.revision(), "no revision goes back");
        if root.index != self.held.root.index {
            let named = listed.iter().map(|l| &l.hash).chain(&root.index);
            let kept = named.filter_map(|h| self.chunks.get_key_value(h)).map(clone_pair);
            self.chunks = kept.collect();
        }
        self.log(Kind::RevisionInForce, format!("revision {}", root.revision), fx);
        for change in rollout::changes(&self.declaration, &self.held.root.rollouts, &root.rollouts)
        {
            fx.push(Effect::Log(change));
        }
        self.seats = Arc::new(root.seats.clone());
        self.rollout_records = Arc::new(root.rollouts.clone());
        self.held = Arc::new(Held { root, chunks: self.chunks.clone() });
        self.prove_by_read(now, fx);
        self.see_seat(now, fx);
        self.publish(now, fx);
        self.send_heartbeats(now, fx);
        self.send_digests(now, fx);
        self.tick_seat(now, fx);
        self.tick_acks(now, fx);
    }

    /// Compiles a declaration; what has not changed is not parsed again.
    fn compile(&mut self, listed: &[Listed]) -> Result<Arc<Declaration>, DeclarationError> {
        let of_kind = |kind: ChunkKind| listed.iter().filter(move |l| l.kind == kind);
        let sections: Vec<ChunkHash> = of_kind(ChunkKind::Sections).map(|l| l.hash).collect();
        let mut parts = BTreeMap::new();
        let mut is_same = self.revision() > 0;
        for Listed { hash, .. } in of_kind(ChunkKind::Blocks) {
            let known = self.parts.get(hash).cloned();
            is_same &= known.is_some();
            let part = match known {
                Some(part) => part,
                None => Arc::new(BlockPart::parse(&self.chunks[hash]).map_err(damaged)?),
            };
            parts.insert(*hash, part);
        }
        is_same &= parts.len() == self.parts.len();
        if is_same && sections == self.sections {
            return Ok(Arc::clone(&self.declaration));
        }
        let mut declaration = if sections == self.sections {
            Declaration::clone(&self.declaration)
        } else {
            let text: String = sections.iter().map(|h| &*self.chunks[h]).collect();
            declaration::parse(&text)?
        };
        declaration.blocks = if is_same && declaration.region_names == self.declaration.region_names
        {
            Arc::clone(&self.declaration.blocks)
        } else {
            let ordered = of_kind(ChunkKind::Blocks).map(|l| &*parts[&l.hash]);
            let built = ClientBlocks::build(ordered, &declaration.region_names);
            Arc::new(built.map_err(|r| damaged(format!("'{r}' is not a declared region.")))?)
        };
        self.sections = sections;
        self.parts = parts;
        Ok(Arc::new(declaration))
    }
}

fn clone_pair((hash, body): (&ChunkHash, &Arc<str>)) -> (ChunkHash, Arc<str>) {
    (*hash, Arc::clone(body))
}

fn damaged(text: impl ToString) -> DeclarationError {
    DeclarationError { errors: vec![ValidationError { line: 0, text: text.to_string() }] }
}
