//! Names for labels, bounded by the declaration.

use jasminestage_core::{burn, view::View};
use salvo::http::Method;

/// Stands for every name that is not declared, and for every method that is not a standard one.
pub const OTHER: &str = "_OTHER";

/// What a request was for, in declared names only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Served<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Name of the workspace whose key came with the request, [`burn::NO_WORKSPACE`] without a
    /// valid one.
    pub workspace: &'a str,
    /// The path as the front end declares it.
    pub template: &'static str,
    /// Name of the method.
    pub method: &'static str,
}

impl<'a> Served<'a> {
    /// Replaces what `view` does not declare by [`OTHER`].
    pub fn new(
        view: &'a View,
        template: &'static str,
        method: &Method,
        route: &str,
        workspace: Option<&'a str>,
    ) -> Self {
        Served {
            route: view.declaration.route(route).map_or(OTHER, |(_, r)| r.name.as_str()),
            workspace: workspace.unwrap_or(burn::NO_WORKSPACE),
            template,
            method: method_name(method),
        }
    }
}

fn method_name(method: &Method) -> &'static str {
    match *method {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::PUT => "PUT",
        Method::DELETE => "DELETE",
        Method::HEAD => "HEAD",
        Method::OPTIONS => "OPTIONS",
        Method::PATCH => "PATCH",
        Method::CONNECT => "CONNECT",
        Method::TRACE => "TRACE",
        _ => OTHER,
    }
}
