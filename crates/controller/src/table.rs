//! The routes in force and the lookup of a request's route.

use base::prelude::*;
use jobs::{RouteRef, RouteTerms};

/// A route, selected by the host and the path prefix of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host named by the requests.
    pub host: Name,
    /// The prefix of the requests' paths.
    pub prefix: Name,
    /// The terms of the route's jobs.
    pub terms: RouteTerms,
}

/// One version of all routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The version; a process never goes back to a lower one.
    pub generation: Generation,
    /// The routes.
    pub routes: Vec<Route>,
    /// The largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

/// The route that matches a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    /// What the request names.
    pub address: RouteAddress,
    /// The terms of the route's jobs.
    pub terms: RouteTerms,
    /// The rest of the path after the prefix.
    pub rest: Name,
}

impl RouteMatch {
    /// Returns the route of the request.
    pub fn route(&self) -> RouteRef {
        RouteRef {
            name: self.terms.route.clone(),
            address: self.address.clone(),
        }
    }
}

impl RouteTable {
    /// Returns the route for the host with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteMatch> {
        let matching = self
            .routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix));
        let route = matching.max_by_key(|r| r.prefix.len())?;
        Some(RouteMatch {
            address: RouteAddress::of(&route.host, &route.prefix),
            terms: route.terms.clone(),
            rest: path[route.prefix.len()..].into(),
        })
    }
}
