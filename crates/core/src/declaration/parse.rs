//! Parses and validates the text of a declaration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Access, BlockPart, ClientBlocks, Declaration, DeclarationError, DeclaredState, Domain, Region,
    Repeat, RolloutSpec, Route, Server, ValidationError, Workspace,
    fields::{self, Fields, WHOLE_PPM},
};
use crate::{
    ini::{self, Section},
    rate,
};

/// Default limit on the traffic from one region to others, in bytes per second.
const DEFAULT_LINK_LIMIT: u64 = 100_000_000;
/// Default deadline of a route.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
/// Default time for which a partitioned failure domain continues to serve keyed routes.
pub(super) const DEFAULT_AUTHORITY: Duration = Duration::from_secs(3);
/// Default objective: fraction of requests answered in time, in parts per million.
const DEFAULT_OBJECTIVE_PPM: u32 = 999_000;
/// Default maximum increase of the new version's share in one step, in parts per million.
const DEFAULT_CAP_PPM: u32 = 50_000;

const STATES: &[(&str, DeclaredState)] =
    &[("serving", DeclaredState::Serving), ("leaving", DeclaredState::Draining)];
const ACCESSES: &[(&str, Access)] = &[("open", Access::Open), ("keyed", Access::Keyed)];
const REPEATS: &[(&str, Repeat)] =
    &[("idempotent", Repeat::Idempotent), ("at-most-once", Repeat::AtMostOnce)];

/// Parses one kind of section into the declaration.
type SectionParser = fn(&Section<'_>, &mut Declaration, &mut Vec<ValidationError>);

/// Kinds of sections in parsing order. A section may refer only to sections of earlier kinds.
const SECTION_KINDS: &[(&str, SectionParser)] = &[
    ("region", read_region),
    ("domain", read_domain),
    ("route", read_route),
    ("workspace", read_workspace),
    ("server", read_server),
    ("host", read_host),
    ("move", read_rollout),
    ("clients", read_clients),
];

/// Parses and validates a declaration.
pub fn parse(text: &str) -> Result<Declaration, DeclarationError> {
    let (sections, syntax_errors) = ini::parse(text);
    let mut errors: Vec<ValidationError> =
        syntax_errors.into_iter().map(|e| ValidationError { line: e.line, text: e.text }).collect();
    let mut declaration = Declaration::default();
    for section in &sections {
        if !SECTION_KINDS.iter().any(|(kind, _)| *kind == section.kind) {
            let known: Vec<_> = SECTION_KINDS.iter().map(|(kind, _)| *kind).collect();
            let text = format!(
                "[{}] is not a kind of section; allowed: {}.",
                section.kind,
                known.join(", ")
            );
            errors.push(ValidationError { line: section.line, text });
        }
    }
    for (kind, read) in SECTION_KINDS {
        for section in sections.iter().filter(|s| s.kind == *kind) {
            read(section, &mut declaration, &mut errors);
        }
    }
    declaration.blocks = read_blocks(&sections, &declaration, &mut errors);
    if errors.is_empty() {
        declaration.homes = declaration
            .workspaces
            .iter()
            .map(|(key, w)| (key, rate::homes(&declaration, w)))
            .collect();
        return Ok(declaration);
    }
    errors.sort_by_key(|e| e.line);
    Err(DeclarationError { errors })
}

/// Validates the name of a section, which must be unique among the sections of its kind.
fn section_name(
    section: &Section<'_>,
    is_duplicate: bool,
    fields: &mut Fields<'_, '_>,
) -> Option<String> {
    let kind = section.kind;
    match fields::name(section.name) {
        Ok(_) if is_duplicate => {
            fields.add_error(
                section.line,
                format!("[{kind} {}] is declared twice; remove one.", section.name),
            );
            None
        }
        Ok(name) => Some(name),
        Err(allowed) => {
            let text = format!("'{}' is not a valid name of a {kind}: {allowed}.", section.name);
            fields.add_error(section.line, text);
            None
        }
    }
}

fn read_region(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let mut f = Fields::new(section, &["link_bytes_per_second"], errors);
    let is_taken = declaration.region_names.contains_key(section.name);
    let Some(name) = section_name(section, is_taken, &mut f) else { return };
    let link_limit =
        f.optional("link_bytes_per_second", DEFAULT_LINK_LIMIT, fields::number(1, u64::MAX));
    let key = declaration.regions.insert(Region { name: name.clone(), link_limit });
    declaration.region_names.insert(name, key);
}

fn read_domain(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let mut f = Fields::new(section, &["region", "seats"], errors);
    let is_taken = declaration.domain_names.contains_key(section.name);
    let name = section_name(section, is_taken, &mut f);
    let region = f.required("region", |t| {
        declaration.region_names.get(t).copied().ok_or("a declared region is allowed".to_owned())
    });
    let seats = f.optional("seats", 2, fields::number(0, 1000)) as u16;
    let (Some(name), Some(region)) = (name, region) else { return };
    let key = declaration.domains.insert(Domain { name: name.clone(), region, seats });
    declaration.domain_names.insert(name, key);
}

fn read_route(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let known = &["access", "repeat", "deadline", "authority", "objective", "latency"];
    let mut f = Fields::new(section, known, errors);
    let is_taken = declaration.route_names.contains_key(section.name);
    let name = section_name(section, is_taken, &mut f);
    let access = f.required("access", fields::word(ACCESSES));
    let repeat = f.required("repeat", fields::word(REPEATS));
    let deadline = f.optional("deadline", DEFAULT_DEADLINE, fields::duration);
    let authority = f.optional("authority", DEFAULT_AUTHORITY, fields::duration);
    let objective = f.optional("objective", DEFAULT_OBJECTIVE_PPM, fields::share);
    let latency = f.optional("latency", deadline, fields::duration);
    let (Some(name), Some(access), Some(repeat)) = (name, access, repeat) else { return };
    if access == Access::Open && repeat == Repeat::AtMostOnce {
        let line = f.line_of("repeat");
        f.add_error(line, "A route whose requests run at most once must be keyed.".to_owned());
        return;
    }
    let route =
        Route { name: name.clone(), access, repeat, deadline, authority, objective, latency };
    let key = declaration.routes.insert(route);
    declaration.route_names.insert(name, key);
}

fn read_workspace(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let mut f = Fields::new(section, &["keys", "rate", "burst", "routes"], errors);
    let is_taken = declaration.workspace_names.contains_key(section.name);
    let name = section_name(section, is_taken, &mut f);
    let keys = f.optional("keys", Vec::new(), fields::digests);
    let rate = f.required("rate", fields::number(1, 10_000_000));
    let burst = f.required("burst", fields::number(1, 100_000_000));
    let routes = f.optional("routes", Vec::new(), |t| {
        t.split(',')
            .map(|r| declaration.route_names.get(r.trim()).copied())
            .collect::<Option<Vec<_>>>()
            .ok_or("declared routes, separated by commas, are allowed".to_owned())
    });
    let is_duplicate = keys.iter().any(|k| declaration.key_owners.contains_key(k));
    if is_duplicate {
        let line = f.line_of("keys");
        f.add_error(line, "A key's digest is in two workspaces; remove it from one.".to_owned());
    }
    let (Some(name), Some(rate), Some(burst)) = (name, rate, burst) else { return };
    let workspace = Workspace {
        name: name.clone(),
        keys: keys.clone(),
        rate: rate as u32,
        burst: burst as u32,
        routes,
    };
    let key = declaration.workspaces.insert(workspace);
    declaration.workspace_names.insert(name, key);
    declaration.key_owners.extend(keys.into_iter().map(|k| (k, key)));
}

fn read_server(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let known = &["route", "version", "domain", "address", "slots", "connections", "state"];
    let mut f = Fields::new(section, known, errors);
    let is_taken = declaration.server_names.contains_key(section.name);
    let name = section_name(section, is_taken, &mut f);
    let route = f.required("route", |t| {
        declaration.route_names.get(t).copied().ok_or("a declared route is allowed".to_owned())
    });
    let version = f.required("version", fields::name);
    let domain = f.required("domain", |t| {
        declaration.domain(t).ok_or("a declared failure domain is allowed".to_owned())
    });
    let address =
        f.required("address", fields::typed::<SocketAddr>("an IP address with a port is allowed"));
    let slots = f.required("slots", fields::number(1, 10_000));
    let connections = f.optional("connections", 360, fields::number(1, 65_000)) as u16;
    let state = f.optional("state", DeclaredState::Serving, fields::word(STATES));
    let (Some(name), Some(route), Some(version)) = (name, route, version) else { return };
    let (Some(domain), Some(address), Some(slots)) = (domain, address, slots) else { return };
    let slots = slots as u16;
    let key = declaration.servers.insert(Server {
        name: name.clone(),
        route,
        version,
        domain,
        address,
        slots,
        connections,
        state,
    });
    declaration.server_names.insert(name, key);
}

fn read_host(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let mut f = Fields::new(section, &["state"], errors);
    let is_taken = declaration.hosts.contains_key(section.name);
    let name = section_name(section, is_taken, &mut f);
    let state = f.required("state", fields::word(STATES));
    let (Some(name), Some(state)) = (name, state) else { return };
    declaration.hosts.insert(name, state);
}

fn read_rollout(
    section: &Section<'_>,
    declaration: &mut Declaration,
    errors: &mut Vec<ValidationError>,
) {
    let known = &["route", "from", "to", "cap", "start_unix_ms", "finish_by_unix_ms"];
    let mut f = Fields::new(section, known, errors);
    let is_taken = declaration.rollouts.values().any(|r| r.name == section.name);
    let name = section_name(section, is_taken, &mut f);
    let route = f.required("route", |t| {
        declaration.route_names.get(t).copied().ok_or("a declared route is allowed".to_owned())
    });
    let version = |t: &str| {
        let has_server =
            declaration.servers.values().any(|s| Some(s.route) == route && s.version == t);
        if has_server {
            Ok(t.to_owned())
        } else {
            Err("a version that a declared server of the route runs is allowed".to_owned())
        }
    };
    let from = f.required("from", version);
    let to = f.required("to", version);
    let cap = f.optional("cap", DEFAULT_CAP_PPM, fields::share).min(WHOLE_PPM);
    let start = f.optional("start_unix_ms", 0, fields::unix_millis);
    let finish_by = f.required("finish_by_unix_ms", fields::unix_millis);
    let (Some(name), Some(route), Some(from)) = (name, route, from) else { return };
    let (Some(to), Some(finish_by)) = (to, finish_by) else { return };
    if from == to || finish_by <= start {
        let text = "A move needs two different versions and an end after its start.".to_owned();
        f.add_error(section.line, text);
        return;
    }
    declaration.rollouts.insert(RolloutSpec { name, route, from, to, cap, start, finish_by });
}

fn read_clients(section: &Section<'_>, _: &mut Declaration, errors: &mut Vec<ValidationError>) {
    if !section.name.is_empty() {
        let text = "[clients] takes no name; its lines are 'block = region'.".to_owned();
        errors.push(ValidationError { line: section.line, text });
    }
}

fn read_blocks(
    sections: &[Section<'_>],
    declaration: &Declaration,
    errors: &mut Vec<ValidationError>,
) -> Arc<ClientBlocks> {
    let mut part = BlockPart::default();
    let entries = sections.iter().filter(|s| s.kind == "clients").flat_map(|s| &s.entries);
    for entry in entries {
        if !declaration.region_names.contains_key(entry.value) {
            let text = format!("'{}' is not a declared region.", entry.value);
            errors.push(ValidationError { line: entry.line, text });
        } else if let Err(e) = part.push(entry) {
            errors.push(ValidationError { line: entry.line, text: e.to_string() });
        }
    }
    Arc::new(ClientBlocks::build([&part], &declaration.region_names).unwrap_or_default())
}
