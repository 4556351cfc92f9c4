//! The operator tables of routes and pools: parsing, validation and comparison.

mod check;
mod diff;
mod doc;
mod field;
mod in_force;
mod model;
mod parse;
mod pools;
mod problem;
mod reader;
mod routes;

pub use diff::{Change, Difference, diff};
pub use doc::TablesDoc;
pub use field::{Field, POOL_FIELDS, ROUTE_FIELDS};
pub use in_force::{InForce, Offer};
pub use model::{Objective, Pool, Priority, Quota, RateLimit, Route, RouteKind, Tables, Weights};
pub use parse::{Checked, Source, parse};
pub use problem::{Problem, Problems};
