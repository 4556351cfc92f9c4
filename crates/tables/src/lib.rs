//! The two operator tables: parsing, checks, joins and differences.

mod doc;
mod model;

pub use doc::TablesDoc;
pub use model::{Objective, Pool, Priority, Quota, RateLimit, Route, RouteKind, Tables, Weights};
