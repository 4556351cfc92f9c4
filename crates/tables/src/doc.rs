//! The one value in which both tables are kept in the store.

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Both tables as their operators wrote them, with the generation they are in force under.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TablesDoc {
    /// The version of the format of this value.
    pub version: u32,
    /// The generation, from 1; 0 stands for "no tables yet".
    pub generation: Generation,
    /// The text of `routes.toml`.
    pub routes: Name,
    /// The text of `pools.toml`.
    pub pools: Name,
    /// Who applied it.
    pub author: Name,
    /// When it was applied, in milliseconds since 1970.
    pub applied_at_ms: u64,
    /// What the author said of the change.
    pub comment: Name,
    /// Draws apart two applies of the same text, to resolve a lost answer.
    pub nonce: Nonce,
}

impl TablesDoc {
    /// The version that this program writes.
    pub const VERSION: u32 = 1;

    /// The key in the store that holds the tables in force.
    pub const KEY: &str = "config/tables";
}
