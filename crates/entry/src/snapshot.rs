//! The tables in force, shared with the threads that serve requests.

use base::prelude::*;
use parking_lot::RwLock;
use tables::Tables;

/// Holds the tables that the configuration last put in force.
#[derive(Debug, Default)]
pub struct TablesSnapshot(RwLock<Option<Arc<Tables>>>);

impl TablesSnapshot {
    /// Returns the tables in force, or `None` before the first ones are.
    pub fn get(&self) -> Option<Arc<Tables>> {
        self.0.read().clone()
    }

    /// Replaces the tables.
    pub(crate) fn set(&self, tables: Arc<Tables>) {
        *self.0.write() = Some(tables);
    }
}
