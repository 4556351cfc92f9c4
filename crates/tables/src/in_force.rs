//! The tables that a process applies; their generation never decreases.

use base::prelude::*;

use crate::{Problems, Tables, TablesDoc};

/// The valid tables with the highest generation that a process has received.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    doc: Option<TablesDoc>,
    tables: Arc<Tables>,
}

/// What became of tables that were offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Offer {
    /// They are in force now.
    Taken(Arc<Tables>),
    /// They were in force already.
    Same,
    /// Their generation is lower than the one in force; nothing changed.
    Older,
    /// They carry the generation in force, but are others; nothing changed.
    Rival,
    /// They can't be read by this program; nothing changed.
    Malformed(Problems),
}

impl InForce {
    /// Takes tables whose generation is higher than the one in force, and no others.
    pub fn offer(&mut self, doc: TablesDoc) -> Offer {
        let before = self.generation();
        if doc.generation < before {
            return Offer::Older;
        }
        if doc.generation == before {
            let is_same = self.doc.as_ref().is_none_or(|own| own.nonce == doc.nonce);
            return if is_same { Offer::Same } else { Offer::Rival };
        }
        let tables = match doc.tables() {
            Ok(tables) => Arc::new(tables),
            Err(problems) => return Offer::Malformed(problems),
        };
        let is_held = Promise::NoRevert.check(tables.generation > before, || {
            format!("generation {} after {before}", tables.generation)
        });
        if !is_held {
            return Offer::Older;
        }
        self.doc = Some(doc);
        self.tables = Arc::clone(&tables);
        Offer::Taken(tables)
    }

    /// Returns the generation in force; 0 where there is none.
    pub fn generation(&self) -> Generation {
        self.tables.generation
    }

    /// Returns the tables in force; empty where there are none.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Returns the value in force, to be passed on.
    pub fn doc(&self) -> Option<&TablesDoc> {
        self.doc.as_ref()
    }
}
