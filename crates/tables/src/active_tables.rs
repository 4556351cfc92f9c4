//! The tables that a process applies; their generation never decreases.

use base::prelude::*;

use crate::{Problems, Tables, TablesDoc};

/// The valid tables with the highest generation that a process has received.
#[derive(Clone, Debug, Default)]
pub struct ActiveTables {
    doc: Option<TablesDoc>,
    tables: Arc<Tables>,
}

/// The result of [`ActiveTables::update`].
#[derive(Clone, Debug, PartialEq)]
pub enum TablesUpdate {
    /// The new tables are in force.
    Applied(Arc<Tables>),
    /// The tables were in force already.
    Unchanged,
    /// The generation is lower than the one in force; nothing changed.
    Stale,
    /// Different tables have the generation in force; nothing changed.
    Conflicting,
    /// The tables are invalid; nothing changed.
    Malformed(Problems),
}

impl ActiveTables {
    /// Puts tables in force if their generation is higher than the current one.
    pub fn update(&mut self, doc: TablesDoc) -> TablesUpdate {
        let before = self.generation();
        if doc.generation < before {
            return TablesUpdate::Stale;
        }
        if doc.generation == before {
            let is_same = self
                .doc
                .as_ref()
                .is_none_or(|current| current.nonce == doc.nonce);
            return if is_same {
                TablesUpdate::Unchanged
            } else {
                TablesUpdate::Conflicting
            };
        }
        let tables = match doc.tables() {
            Ok(tables) => Arc::new(tables),
            Err(problems) => return TablesUpdate::Malformed(problems),
        };
        let is_newer = Promise::NoRevert.check(tables.generation > before, || {
            format!("generation {} after {before}", tables.generation)
        });
        if !is_newer {
            return TablesUpdate::Stale;
        }
        self.doc = Some(doc);
        self.tables = Arc::clone(&tables);
        TablesUpdate::Applied(tables)
    }

    /// Returns the generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.tables.generation
    }

    /// Returns the tables in force; empty if there are none.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Returns the stored form of the tables in force, for other processes.
    pub fn doc(&self) -> Option<&TablesDoc> {
        self.doc.as_ref()
    }
}
