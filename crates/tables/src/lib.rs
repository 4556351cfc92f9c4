//! The operator tables of routes and pools: parsing, validation and comparison.

mod active_tables;
mod check;
mod diff;
mod doc;
mod field;
mod model;
mod parse;
mod pools;
mod problem;
mod reader;
mod routes;

pub use active_tables::{ActiveTables, TablesUpdate};
pub use diff::{Change, Difference, diff};
pub use doc::TablesDoc;
pub use field::{Field, POOL_FIELDS, ROUTE_FIELDS};
pub use model::{Objective, Pool, Priority, Quota, RateLimit, Route, RouteKind, Tables, Weights};
pub use parse::{Checked, Source, parse};
pub use problem::{Problem, Problems};
