//! Why a look-up or request goes where it goes, or why it is refused.
//!
//! The findings come from the decisions that serve callers, asked with the view of this host.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::Revision,
    declaration::{Duty, KeyDigest},
    lookup::{Query, look_up},
    result::Code,
    time::Instant,
    traffic::{Request, admit},
    view::View,
};

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Address of the client.
    pub client: IpAddr,
    /// Digest of the caller's key.
    pub key: Option<KeyDigest>,
    /// The latest proof that the configuration in force is the newest one.
    pub proof: Option<Instant>,
    /// The time of the question.
    pub now: Instant,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// What was asked.
    pub question: String,
    /// What was found.
    pub finding: String,
    /// Number of the result code, when the request is refused for it.
    pub code: Option<u16>,
}

/// All findings, in the order in which they are decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The host that was asked.
    pub host: String,
    /// The revision in force on it.
    pub revision: Revision,
    /// The findings.
    pub steps: Vec<Step>,
}

/// Explains what this host would do with a caller's look-up and request.
pub fn explain(view: &View, question: &Question<'_>) -> Explanation {
    let mut steps = vec![look_up_step(view, question)];
    if view.declaration.route(question.route).is_some() {
        steps.push(access_step(view, question));
        steps.push(servers_step(view, question));
    }
    Explanation { host: view.me.name.clone(), revision: view.revision, steps }
}

fn look_up_step(view: &View, question: &Question<'_>) -> Step {
    let asked = format!("Which hosts are named to {}?", question.client);
    let region = view.declaration.blocks.region(question.client);
    let near = match region {
        Some(region) => format!("its block belongs to {}", view.declaration.regions[region].name),
        None => "its block is not declared, so that this host's region counts".to_owned(),
    };
    let query = Query { route: question.route, client: question.client, key: None };
    match look_up(view, &query) {
        Ok(answer) => {
            let hosts = answer.hosts.iter().map(|h| format!("{} ({})", h.name, h.domain));
            let hosts = hosts.collect::<Vec<_>>().join(", ");
            Step { question: asked, finding: format!("{hosts}; {near}"), code: None }
        }
        Err(code) => refused(asked, code),
    }
}

fn access_step(view: &View, question: &Question<'_>) -> Step {
    let asked = "Which workspace does it run for?".to_owned();
    match workspace(view, question) {
        Ok(finding) => Step { question: asked, finding, code: None },
        Err(code) => refused(asked, code),
    }
}

fn workspace(view: &View, question: &Question<'_>) -> Result<String, Code> {
    let request =
        Request { route: question.route, key: None, id: None, deadline: None, fingerprint: 0 };
    let admitted = admit(view, question.proof, question.now, &request, question.key)?;
    let Some(key) = admitted.workspace_key else {
        return Ok("none, the route is open".to_owned());
    };
    let workspace = &view.declaration.workspaces[key];
    let (name, rate, burst) = (&workspace.name, workspace.rate, workspace.burst);
    Ok(format!("{name}, with {rate} requests a second and a burst of {burst} fleet-wide"))
}

fn servers_step(view: &View, question: &Question<'_>) -> Step {
    let asked = "Which backend servers can take it?".to_owned();
    let Some((key, _)) = view.declaration.route(question.route) else {
        return refused(asked, Code::UnknownRoute);
    };
    let near = view.declaration.region_of(&view.me.domain);
    let (mut here, mut elsewhere, mut leaving) = (0, 0, 0);
    for (_, server) in view.declaration.servers_of(key) {
        match server.duty {
            Duty::Leaving => leaving += 1,
            Duty::Serving if Some(view.declaration.domains[server.domain].region) == near => {
                here += 1
            }
            Duty::Serving => elsewhere += 1,
        }
    }
    if here + elsewhere == 0 {
        return refused(asked, Code::NoServer);
    }
    let finding = format!("{here} in this region, {elsewhere} in others; {leaving} leave");
    Step { question: asked, finding, code: None }
}

fn refused(question: String, code: Code) -> Step {
    Step { question, finding: code.text().to_owned(), code: Some(code.number()) }
}
