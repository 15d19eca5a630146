//! Parses and validates the text of a declaration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Access, BlockPart, ClientBlocks, Declaration, DeclarationError, DeclaredState, Domain, Fault,
    Region, Repeat, RolloutSpec, Route, Server, Workspace,
    fields::{self, Fields, WHOLE_PPM},
};
use crate::{
    ini::{self, Section},
    rate,
};

/// Default limit on what one region sends to another, in bytes per second.
const DEFAULT_LINK: u64 = 100_000_000;
/// Default deadline of a route.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
/// Default time for which a cut-off failure domain goes on serving keyed routes.
pub(super) const DEFAULT_AUTHORITY: Duration = Duration::from_secs(3);
/// Default objective: share of requests answered in time.
const DEFAULT_OBJECTIVE: u32 = 999_000;
/// Default share that a move shifts in one step.
const DEFAULT_CAP: u32 = 50_000;

const STATES: &[(&str, DeclaredState)] =
    &[("serving", DeclaredState::Serving), ("leaving", DeclaredState::Draining)];
const ACCESSES: &[(&str, Access)] = &[("open", Access::Open), ("keyed", Access::Keyed)];
const REPEATS: &[(&str, Repeat)] =
    &[("idempotent", Repeat::Idempotent), ("at-most-once", Repeat::AtMostOnce)];

/// Reads one kind of section into the declaration.
type SectionReader = fn(&Section<'_>, &mut Declaration, &mut Vec<Fault>);

/// The kinds of section in the order in which they are read: a kind refers only to earlier ones.
const KINDS: &[(&str, SectionReader)] = &[
    ("region", read_region),
    ("domain", read_domain),
    ("route", read_route),
    ("workspace", read_workspace),
    ("server", read_server),
    ("host", read_host),
    ("move", read_move),
    ("clients", read_clients),
];

/// Parses and checks a whole declaration.
pub fn parse(text: &str) -> Result<Declaration, DeclarationError> {
    let (sections, syntax) = ini::parse(text);
    let mut faults: Vec<Fault> =
        syntax.into_iter().map(|f| Fault { line: f.line, text: f.text }).collect();
    let mut declaration = Declaration::default();
    for section in &sections {
        if !KINDS.iter().any(|(kind, _)| *kind == section.kind) {
            let known: Vec<_> = KINDS.iter().map(|(kind, _)| *kind).collect();
            let text =
                format!("There is no section [{}]; known: {}.", section.kind, known.join(", "));
            faults.push(Fault { line: section.line, text });
        }
    }
    for (kind, read) in KINDS {
        for section in sections.iter().filter(|s| s.kind == *kind) {
            read(section, &mut declaration, &mut faults);
        }
    }
    declaration.blocks = read_blocks(&sections, &declaration, &mut faults);
    if faults.is_empty() {
        declaration.homes = declaration
            .workspaces
            .iter()
            .map(|(key, w)| (key, rate::homes(&declaration, w)))
            .collect();
        return Ok(declaration);
    }
    faults.sort_by_key(|f| f.line);
    Err(DeclarationError { faults })
}

fn section_name(section: &Section<'_>, taken: bool, fields: &mut Fields<'_, '_>) -> Option<String> {
    let kind = section.kind;
    match fields::name(section.name) {
        Ok(_) if taken => {
            fields.fault(section.line, format!("[{kind} {}] stands twice.", section.name));
            None
        }
        Ok(name) => Some(name),
        Err(allowed) => {
            let text = format!("'{}' is not a valid name of a {kind}: {allowed}.", section.name);
            fields.fault(section.line, text);
            None
        }
    }
}

fn read_region(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let mut f = Fields::new(section, &["link_bytes_per_second"], faults);
    let taken = declaration.region_names.contains_key(section.name);
    let Some(name) = section_name(section, taken, &mut f) else { return };
    let link = f.optional("link_bytes_per_second", DEFAULT_LINK, fields::number(1, u64::MAX));
    let key = declaration.regions.insert(Region { name: name.clone(), link });
    declaration.region_names.insert(name, key);
}

fn read_domain(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let mut f = Fields::new(section, &["region", "seats"], faults);
    let taken = declaration.domain_names.contains_key(section.name);
    let name = section_name(section, taken, &mut f);
    let region = f.required("region", |t| {
        declaration.region_names.get(t).copied().ok_or("a declared region is allowed".to_owned())
    });
    let seats = f.optional("seats", 2, fields::number(0, 1000)) as u16;
    let (Some(name), Some(region)) = (name, region) else { return };
    let key = declaration.domains.insert(Domain { name: name.clone(), region, seats });
    declaration.domain_names.insert(name, key);
}

fn read_route(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let known = &["access", "repeat", "deadline", "authority", "objective", "latency"];
    let mut f = Fields::new(section, known, faults);
    let taken = declaration.route_names.contains_key(section.name);
    let name = section_name(section, taken, &mut f);
    let access = f.required("access", fields::word(ACCESSES));
    let repeat = f.required("repeat", fields::word(REPEATS));
    let deadline = f.optional("deadline", DEFAULT_DEADLINE, fields::duration);
    let authority = f.optional("authority", DEFAULT_AUTHORITY, fields::duration);
    let objective = f.optional("objective", DEFAULT_OBJECTIVE, fields::share);
    let latency = f.optional("latency", deadline, fields::duration);
    let (Some(name), Some(access), Some(repeat)) = (name, access, repeat) else { return };
    if access == Access::Open && repeat == Repeat::AtMostOnce {
        let line = f.line_of("repeat");
        f.fault(line, "A route that runs at most once must be keyed.".to_owned());
        return;
    }
    let route =
        Route { name: name.clone(), access, repeat, deadline, authority, objective, latency };
    let key = declaration.routes.insert(route);
    declaration.route_names.insert(name, key);
}

fn read_workspace(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let mut f = Fields::new(section, &["keys", "rate", "burst", "routes"], faults);
    let taken = declaration.workspace_names.contains_key(section.name);
    let name = section_name(section, taken, &mut f);
    let keys = f.optional("keys", Vec::new(), fields::digests);
    let rate = f.required("rate", fields::number(1, 10_000_000));
    let burst = f.required("burst", fields::number(1, 100_000_000));
    let routes = f.optional("routes", Vec::new(), |t| {
        t.split(',')
            .map(|r| declaration.route_names.get(r.trim()).copied())
            .collect::<Option<Vec<_>>>()
            .ok_or("declared routes, separated by commas, are allowed".to_owned())
    });
    let doubled = keys.iter().any(|k| declaration.key_owners.contains_key(k));
    if doubled {
        let line = f.line_of("keys");
        f.fault(line, "A key's digest stands in two workspaces.".to_owned());
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

fn read_server(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let known = &["route", "version", "domain", "address", "slots", "connections", "state"];
    let mut f = Fields::new(section, known, faults);
    let taken = declaration.server_names.contains_key(section.name);
    let name = section_name(section, taken, &mut f);
    let route = f.required("route", |t| {
        declaration.route_names.get(t).copied().ok_or("a declared route is allowed".to_owned())
    });
    let version = f.required("version", fields::name);
    let domain = f.required("domain", |t| {
        declaration.domain(t).ok_or("a declared failure domain is allowed".to_owned())
    });
    let address =
        f.required("address", fields::plain::<SocketAddr>("an IP address with a port is allowed"));
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

fn read_host(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let mut f = Fields::new(section, &["state"], faults);
    let taken = declaration.hosts.contains_key(section.name);
    let name = section_name(section, taken, &mut f);
    let state = f.required("state", fields::word(STATES));
    let (Some(name), Some(state)) = (name, state) else { return };
    declaration.hosts.insert(name, state);
}

fn read_move(section: &Section<'_>, declaration: &mut Declaration, faults: &mut Vec<Fault>) {
    let known = &["route", "from", "to", "cap", "start_unix_ms", "finish_by_unix_ms"];
    let mut f = Fields::new(section, known, faults);
    let taken = declaration.rollouts.values().any(|m| m.name == section.name);
    let name = section_name(section, taken, &mut f);
    let route = f.required("route", |t| {
        declaration.route_names.get(t).copied().ok_or("a declared route is allowed".to_owned())
    });
    let version = |t: &str| {
        let declared =
            declaration.servers.values().any(|s| Some(s.route) == route && s.version == t);
        if declared {
            Ok(t.to_owned())
        } else {
            Err("a version that a declared server of the route runs is allowed".to_owned())
        }
    };
    let from = f.required("from", version);
    let to = f.required("to", version);
    let cap = f.optional("cap", DEFAULT_CAP, fields::share).min(WHOLE_PPM);
    let start = f.optional("start_unix_ms", 0, fields::unix_millis);
    let finish_by = f.required("finish_by_unix_ms", fields::unix_millis);
    let (Some(name), Some(route), Some(from)) = (name, route, from) else { return };
    let (Some(to), Some(finish_by)) = (to, finish_by) else { return };
    if from == to || finish_by <= start {
        let text = "A move needs two versions and an end after its start.".to_owned();
        f.fault(section.line, text);
        return;
    }
    declaration.rollouts.insert(RolloutSpec { name, route, from, to, cap, start, finish_by });
}

fn read_clients(section: &Section<'_>, _: &mut Declaration, faults: &mut Vec<Fault>) {
    if !section.name.is_empty() {
        let text = "[clients] takes no name; its lines are 'block = region'.".to_owned();
        faults.push(Fault { line: section.line, text });
    }
}

fn read_blocks(
    sections: &[Section<'_>],
    declaration: &Declaration,
    faults: &mut Vec<Fault>,
) -> Arc<ClientBlocks> {
    let mut part = BlockPart::default();
    let entries = sections.iter().filter(|s| s.kind == "clients").flat_map(|s| &s.entries);
    for entry in entries {
        if !declaration.region_names.contains_key(entry.value) {
            let text = format!("'{}' is not a declared region.", entry.value);
            faults.push(Fault { line: entry.line, text });
        } else if let Err(e) = part.push(entry) {
            faults.push(Fault { line: entry.line, text: e.to_string() });
        }
    }
    Arc::new(ClientBlocks::build([&part], &declaration.region_names).unwrap_or_default())
}
