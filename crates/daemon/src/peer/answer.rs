//! Answers to the calls of other hosts.

use std::sync::Arc;

use jasminestage_core::peer::{PeerCall, PeerReply};

use crate::{front::run, shared::Shared};

/// Answers one call.
pub async fn answer(shared: &Arc<Shared>, call: PeerCall) -> PeerReply {
    match call {
        PeerCall::Root(_) => PeerReply::Root(None),
        PeerCall::Chunks(_) => PeerReply::Chunks(Vec::new()),
        PeerCall::Run(request) => PeerReply::Run(run::answer_passed(shared, *request).await),
    }
}
