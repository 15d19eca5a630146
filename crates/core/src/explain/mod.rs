//! Explains which hosts a lookup returns and how a request is admitted and routed.
//!
//! The explanation uses the same functions that serve callers, with the view of this host.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::Revision,
    declaration::{DeclaredState, KeyDigest},
    lookup::{Query, look_up},
    result::Code,
    time::Instant,
    traffic::{Request, admit},
    view::View,
};

/// Parameters of an explanation.
#[derive(Clone, Copy, Debug)]
pub struct ExplainParams<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: IpAddr,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// Latest time at which the configuration in force was proven to be the newest one.
    pub proof: Option<Instant>,
    /// Current time.
    pub now: Instant,
}

/// One decision with its result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The question that the step answers.
    pub question: String,
    /// The answer.
    pub finding: String,
    /// Number of the result code, if the request is refused.
    pub code: Option<u16>,
}

/// All decisions, in the order in which they are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The host that gives the explanation.
    pub host: String,
    /// The revision in force on it.
    pub revision: Revision,
    /// The decisions.
    pub steps: Vec<Step>,
}

/// Explains what this host would do with a caller's lookup and request.
pub fn explain(view: &View, params: &ExplainParams<'_>) -> Explanation {
    let mut steps = vec![look_up_step(view, params)];
    if view.declaration.route(params.route).is_some() {
        steps.push(access_step(view, params));
        steps.push(servers_step(view, params));
    }
    Explanation { host: view.me.name.clone(), revision: view.revision, steps }
}

fn look_up_step(view: &View, params: &ExplainParams<'_>) -> Step {
    let question_text = format!("Which hosts are named to {}?", params.client);
    let region = view.declaration.blocks.region(params.client);
    let block_text = match region {
        Some(region) => format!("its block belongs to {}", view.declaration.regions[region].name),
        None => "its block is not declared, so that this host's region counts".to_owned(),
    };
    let query = Query { route: params.route, client: params.client, key: None };
    match look_up(view, &query) {
        Ok(answer) => {
            let hosts = answer.hosts.iter().map(|h| format!("{} ({})", h.name, h.domain));
            let hosts = hosts.collect::<Vec<_>>().join(", ");
            Step { question: question_text, finding: format!("{hosts}; {block_text}"), code: None }
        }
        Err(code) => refused(question_text, code),
    }
}

fn access_step(view: &View, params: &ExplainParams<'_>) -> Step {
    let question_text = "Which workspace does it run for?".to_owned();
    match workspace_finding(view, params) {
        Ok(finding) => Step { question: question_text, finding, code: None },
        Err(code) => refused(question_text, code),
    }
}

fn workspace_finding(view: &View, params: &ExplainParams<'_>) -> Result<String, Code> {
    let request =
        Request { route: params.route, key: None, id: None, deadline: None, fingerprint: 0 };
    let admitted = admit(view, params.proof, params.now, &request, params.key)?;
    let Some(key) = admitted.workspace_key else {
        return Ok("none, the route is open".to_owned());
    };
    let workspace = &view.declaration.workspaces[key];
    let (name, rate, burst) = (&workspace.name, workspace.rate, workspace.burst);
    Ok(format!("{name}, with {rate} requests a second and a burst of {burst} fleet-wide"))
}

fn servers_step(view: &View, params: &ExplainParams<'_>) -> Step {
    let question_text = "Which backend servers can take it?".to_owned();
    let Some((key, _)) = view.declaration.route(params.route) else {
        return refused(question_text, Code::UnknownRoute);
    };
    let local_region = view.declaration.region_of(&view.me.domain);
    let (mut local, mut remote, mut draining) = (0, 0, 0);
    for (_, server) in view.declaration.servers_of(key) {
        match server.state {
            DeclaredState::Draining => draining += 1,
            DeclaredState::Serving
                if Some(view.declaration.domains[server.domain].region) == local_region =>
            {
                local += 1
            }
            DeclaredState::Serving => remote += 1,
        }
    }
    if local + remote == 0 {
        return refused(question_text, Code::NoServer);
    }
    let finding = format!("{local} in this region, {remote} in others; {draining} leave");
    Step { question: question_text, finding, code: None }
}

fn refused(question: String, code: Code) -> Step {
    Step { question, finding: code.text().to_owned(), code: Some(code.number()) }
}
