//! The store value that holds both tables.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The source texts of both tables, with their generation and author.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TablesDoc {
    /// The format version of this value.
    pub version: u32,
    /// The generation, from 1; 0 stands for "no tables yet".
    pub generation: Generation,
    /// The text of `routes.toml`.
    pub routes: Name,
    /// The text of `pools.toml`.
    pub pools: Name,
    /// The operator who applied the tables.
    pub author: Name,
    /// When the tables were applied, in milliseconds since the Unix epoch.
    pub applied_at_ms: u64,
    /// The author's comment on the change.
    pub comment: Name,
    /// Identifies one apply, to resolve an apply whose response was lost.
    pub nonce: Nonce,
}

impl TablesDoc {
    /// The format version that this program writes.
    pub const VERSION: u32 = 1;

    /// The store key of the tables in force.
    pub const KEY: &str = "config/tables";
}
