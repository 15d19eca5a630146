//! Values of metric labels, bounded by the declaration.

use jasminestage_core::{burn, view::View};
use salvo::http::Method;

/// Label value for names that are not declared and methods that are not standard.
pub const OTHER: &str = "_OTHER";

/// Label values of a request; all names are declared ones or [`OTHER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLabels<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Name of the workspace that owns the key of the request, [`burn::NO_WORKSPACE`] without a valid key.
    pub workspace: &'a str,
    /// Path template of the router.
    pub template: &'static str,
    /// Name of the method.
    pub method: &'static str,
}

impl<'a> RequestLabels<'a> {
    /// Labels of a request; a route that `view` does not declare becomes [`OTHER`].
    pub fn new(
        view: &'a View,
        template: &'static str,
        method: &Method,
        route: &str,
        workspace: Option<&'a str>,
    ) -> Self {
        RequestLabels {
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
