//! Replies to calls from other hosts.

use std::sync::Arc;

use jasminestage_core::peer::{PeerCall, PeerReply};

use crate::{front::steps, shared::Shared};

/// Handles one call.
pub async fn answer(shared: &Arc<Shared>, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Root(known_revision) => {
            let view = shared.view.load();
            let root = &view.config.root;
            PeerReply::Root((root.revision > known_revision).then(|| root.clone()))
        }
        PeerCall::Chunks(hashes) => PeerReply::Chunks(shared.view.load().config.find(&hashes)),
        PeerCall::Run(request) => PeerReply::Run(steps::handle_forwarded(shared, *request).await),
    }
}
