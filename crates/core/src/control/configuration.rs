//! Revisions of the configuration: fetching them from the store or other hosts, and putting them in
//! force.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::{Control, Effect, rollout};
use crate::{
    config::{
        ChunkHash, LocalConfig, Revision, Root,
        chunk::{Chunk, ChunkKind, IndexEntry},
        resolve_chunks,
    },
    declaration::{self, BlockPart, ClientBlocks, Declaration, DeclarationError, ValidationError},
    event::Kind,
    peer::{PeerCall, PeerReply},
    time::Instant,
};

/// Time after which an incomplete revision is requested again.
const REVISION_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Most missing chunks that are fetched from the store; with more, another host is preferred.
const MAX_CHUNKS_FROM_STORE: usize = 32;
/// Ticks between two reads of the root record.
const TICKS_PER_ROOT_READ: u64 = 4;

/// A newer revision whose chunks are not all available.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    root: Root,
    /// The host that sent it, none if it was read from the store.
    peer: Option<SocketAddr>,
    retry_at: Instant,
}

impl Control {
    /// On delegates, watches the root record and also reads it periodically.
    pub(super) fn tick_store(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_delegate = self.members.is_delegate(now, &self.me);
        if self.watches_store != is_delegate {
            self.watches_store = is_delegate;
            effects.push(Effect::WatchStore(is_delegate));
        }
        if is_delegate && self.ticks.is_multiple_of(TICKS_PER_ROOT_READ) {
            effects.push(Effect::ReadRoot);
        }
    }

    pub(super) fn set_store_available(&mut self, is_available: bool, effects: &mut Vec<Effect>) {
        if self.store_available != is_available {
            let kind = if is_available { Kind::StoreAvailable } else { Kind::StoreUnavailable };
            self.log(kind, "", effects);
        }
        self.store_available = is_available;
    }

    /// Requests missing chunks from another host after a call to the store failed.
    pub(super) fn handle_store_failure(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.set_store_available(false, effects);
        let Some(pending) = &self.pending else { return };
        if let Err(missing) = resolve_chunks(&pending.root, &self.chunks)
            && let Some(peer) = self.host_with_revision(now, pending.root.revision)
        {
            self.fetch_chunks(missing, Some(peer), effects);
        }
    }

    pub(super) fn handle_store_root(
        &mut self,
        now: Instant,
        root: &Root,
        read_started: Instant,
        era: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.set_store_available(true, effects);
        let is_proof = self.is_read_proof(now, era);
        let own = &self.config.root;
        if root.revision <= own.revision && root.write_id != own.write_id {
            match own.includes(root) {
                Some(true) => effects.push(Effect::RestoreRoot(Arc::clone(&self.config))),
                Some(false) => return self.raise_root(root, effects),
                None => {}
            }
        }
        if is_proof {
            self.unapplied_read = Some((root.revision, read_started));
        }
        self.handle_root(now, root, None, effects);
        self.prove_by_read(now, effects);
    }

    /// Gives a record a revision that hosts do not ignore. It was written after the store had been
    /// restored from a copy that lacked the record in force.
    fn raise_root(&self, root: &Root, effects: &mut Vec<Effect>) {
        let own = &self.config.root;
        let text = format!("revision {} instead of {}", root.revision, own.revision);
        self.log(Kind::RevisionRaised, text, effects);
        let write_id = format!("{}-raise-{}", self.me.incarnation, root.write_id);
        effects.push(Effect::SwapRoot(Box::new(root.raised_above(own, &write_id))));
    }

    /// Requests a newer revision from a host that has it in force.
    pub(super) fn request_newer_revision(
        &mut self,
        now: Instant,
        revision: Revision,
        from: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        let is_requested = |(requested, at): (Revision, Instant)| {
            requested >= revision && now.saturating_since(at) < REVISION_RETRY_PERIOD
        };
        let is_pending =
            self.pending.as_ref().is_some_and(|p| p.root.revision >= revision && now < p.retry_at);
        let is_needed = revision > self.revision() && revision != self.damaged_revision;
        if !is_needed || is_pending || self.last_root_request.is_some_and(is_requested) {
            return;
        }
        self.last_root_request = Some((revision, now));
        let call = PeerCall::Root(self.revision());
        effects.push(Effect::CallPeer { to: from, call });
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: &PeerReply,
        effects: &mut Vec<Effect>,
    ) {
        match reply {
            PeerReply::Root(Some(root)) => self.handle_root(now, root, Some(from), effects),
            PeerReply::Chunks(chunks) => self.handle_chunks(now, chunks, effects),
            _ => {}
        }
    }

    fn handle_root(
        &mut self,
        now: Instant,
        root: &Root,
        peer: Option<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        if root.revision <= self.revision() || root.revision == self.damaged_revision {
            return;
        }
        let is_retry = match &self.pending {
            Some(p) if p.root.revision > root.revision => return,
            Some(p) if p.root.revision == root.revision && now < p.retry_at => return,
            Some(p) => p.root.revision == root.revision,
            None => false,
        };
        let retry_at = now + REVISION_RETRY_PERIOD;
        self.pending = Some(Pending { root: root.clone(), peer, retry_at });
        let Err(missing) = resolve_chunks(root, &self.chunks) else {
            return self.activate_pending(now, effects);
        };
        let member_with_config = (missing.len() > MAX_CHUNKS_FROM_STORE && !is_retry)
            .then(|| self.member_with_config(now))
            .flatten();
        self.fetch_chunks(missing, peer.or(member_with_config), effects);
    }

    fn fetch_chunks(
        &self,
        missing: Vec<ChunkHash>,
        peer: Option<SocketAddr>,
        effects: &mut Vec<Effect>,
    ) {
        match peer {
            Some(to) => effects.push(Effect::CallPeer { to, call: PeerCall::Chunks(missing) }),
            None => effects.push(Effect::FetchChunks(missing)),
        }
    }

    /// The live member with the highest revision in force, if any has one.
    fn member_with_config(&self, now: Instant) -> Option<SocketAddr> {
        let members = self.members.live_members(now).filter(|m| m.last_heartbeat.revision > 0);
        members
            .max_by_key(|m| m.last_heartbeat.revision)
            .map(|m| m.last_heartbeat.host.peer_address)
    }

    pub(super) fn handle_chunks(
        &mut self,
        now: Instant,
        chunks: &[Chunk],
        effects: &mut Vec<Effect>,
    ) {
        for chunk in chunks {
            if ChunkHash::of(&chunk.body) == chunk.hash {
                self.chunks.insert(chunk.hash, Arc::from(chunk.body.as_str()));
            } else {
                self.log(Kind::RevisionDamaged, chunk.hash.to_string(), effects);
            }
        }
        let Some(pending) = &self.pending else { return };
        match resolve_chunks(&pending.root, &self.chunks) {
            Ok(_) => self.activate_pending(now, effects),
            // An index chunk may have arrived, so the chunks that it lists can be fetched.
            Err(missing) if !chunks.is_empty() => {
                let from_store = self.store_available && missing.len() <= MAX_CHUNKS_FROM_STORE;
                let peer = match pending.peer {
                    None if from_store => None,
                    None => self.host_with_revision(now, pending.root.revision),
                    peer => peer,
                };
                self.fetch_chunks(missing, peer, effects);
            }
            Err(_) => {}
        }
    }

    /// A live host that has this revision or a later one in force.
    fn host_with_revision(&self, now: Instant, revision: Revision) -> Option<SocketAddr> {
        let own_domain =
            self.members.live_members(now).filter(|m| m.last_heartbeat.revision >= revision);
        let remote = self.remote_domains.iter().flat_map(|(_, d)| d.delegates.values());
        let remote = remote.filter(|d| d.is_live(now) && d.revision >= revision);
        let mut all = own_domain
            .map(|m| m.last_heartbeat.host.peer_address)
            .chain(remote.map(|d| d.host.peer_address));
        all.next()
    }

    /// Puts the pending revision in force, once all its chunks are available.
    fn activate_pending(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let Some(Pending { root, .. }) = self.pending.take() else { return };
        let Ok(listed) = resolve_chunks(&root, &self.chunks) else { return };
        match self.compile(&listed) {
            Ok(declaration) => self.declaration = declaration,
            Err(e) => {
                self.damaged_revision = root.revision;
                self.log(
                    Kind::RevisionDamaged,
                    format!("revision {}: {e}", root.revision),
                    effects,
                );
                return;
            }
        }
        debug_assert!(
            root.revision > self.revision(),
            "a revision in force is replaced by an older one"
        );
        if root.index != self.config.root.index {
            let referenced = listed.iter().map(|l| &l.hash).chain(&root.index);
            let kept = referenced.filter_map(|h| self.chunks.get_key_value(h)).map(clone_entry);
            self.chunks = kept.collect();
        }
        self.log(Kind::RevisionInForce, format!("revision {}", root.revision), effects);
        for event in
            rollout::change_events(&self.declaration, &self.config.root.rollouts, &root.rollouts)
        {
            effects.push(Effect::Log(event));
        }
        self.seats = Arc::new(root.seats.clone());
        self.rollout_records = Arc::new(root.rollouts.clone());
        self.config = Arc::new(LocalConfig { root, chunks: self.chunks.clone() });
        self.prove_by_read(now, effects);
        self.update_seat(now, effects);
        self.publish(now, effects);
        self.send_heartbeats(now, effects);
        self.send_digests(now, effects);
        self.tick_seat(now, effects);
        self.tick_acks(now, effects);
    }

    /// Compiles a declaration; unchanged chunks are not parsed again.
    fn compile(&mut self, listed: &[IndexEntry]) -> Result<Arc<Declaration>, DeclarationError> {
        let chunks_of_kind = |kind: ChunkKind| listed.iter().filter(move |l| l.kind == kind);
        let section_hashes: Vec<ChunkHash> =
            chunks_of_kind(ChunkKind::Sections).map(|l| l.hash).collect();
        let mut block_parts = BTreeMap::new();
        let mut is_same = self.revision() > 0;
        for IndexEntry { hash, .. } in chunks_of_kind(ChunkKind::Blocks) {
            let known = self.block_parts.get(hash).cloned();
            is_same &= known.is_some();
            let part = match known {
                Some(part) => part,
                None => Arc::new(BlockPart::parse(&self.chunks[hash]).map_err(declaration_error)?),
            };
            block_parts.insert(*hash, part);
        }
        is_same &= block_parts.len() == self.block_parts.len();
        if is_same && section_hashes == self.section_hashes {
            return Ok(Arc::clone(&self.declaration));
        }
        let mut declaration = if section_hashes == self.section_hashes {
            Declaration::clone(&self.declaration)
        } else {
            let text: String = section_hashes.iter().map(|h| &*self.chunks[h]).collect();
            declaration::parse(&text)?
        };
        declaration.blocks = if is_same && declaration.region_names == self.declaration.region_names
        {
            Arc::clone(&self.declaration.blocks)
        } else {
            let ordered = chunks_of_kind(ChunkKind::Blocks).map(|l| &*block_parts[&l.hash]);
            let built = ClientBlocks::build(ordered, &declaration.region_names);
            Arc::new(
                built.map_err(|r| declaration_error(format!("'{r}' is not a declared region.")))?,
            )
        };
        self.section_hashes = section_hashes;
        self.block_parts = block_parts;
        Ok(Arc::new(declaration))
    }
}

fn clone_entry((hash, body): (&ChunkHash, &Arc<str>)) -> (ChunkHash, Arc<str>) {
    (*hash, Arc::clone(body))
}

fn declaration_error(text: impl ToString) -> DeclarationError {
    DeclarationError { errors: vec![ValidationError { line: 0, text: text.to_string() }] }
}
