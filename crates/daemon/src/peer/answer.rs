//! Answers to the calls of other hosts.

use std::sync::Arc;

use jasminestage_core::peer::{PeerCall, PeerReply};

use crate::{front::run, shared::Shared};

/// Answers one call.
pub async fn answer(shared: &Arc<Shared>, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Root(than) => {
            let view = shared.view.load();
            let root = &view.config.root;
            PeerReply::Root((root.revision > than).then(|| root.clone()))
        }
        PeerCall::Chunks(wanted) => PeerReply::Chunks(shared.view.load().config.find(&wanted)),
        PeerCall::Run(request) => PeerReply::Run(run::answer_passed(shared, *request).await),
    }
}
