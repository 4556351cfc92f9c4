//! Decides what a new owner has to wait for after a takeover: many workers are drained or replaced
//! while the owner changes, and the tasks of the others must not wait for them.
//!
//! A worker's record says which tasks may run there: any, or, once nothing can start there any more,
//! only the listed ones ([`record_of`]). The list only shrinks, so it holds however long the store or
//! its writer is away. [`Inherited`] says which tasks a new owner must not start yet. Neither knows of
//! time or the network.

use std::hash::Hash;

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// The tasks that may run on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Holding<T> {
    /// Any task may have been started there.
    #[default]
    Any,
    /// Only these: nothing else can start there.
    Only(Vec<T>),
}

/// What its owner knows of a worker that may run tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether the owner may order further starts there.
    pub takes_starts: bool,
    /// Whether the owner knows every run there and every start that may still take effect.
    pub is_complete: bool,
}

/// Returns what the record of a worker must say, given the tasks whose runs its owner knows; `None` if
/// nothing can run there any more.
pub fn record_of<T>(
    knowledge: Knowledge,
    tasks: impl IntoIterator<Item = T>,
) -> Option<Holding<T>> {
    if knowledge.takes_starts || !knowledge.is_complete {
        return Some(Holding::Any);
    }
    let tasks: Vec<T> = tasks.into_iter().collect();
    (!tasks.is_empty()).then_some(Holding::Only(tasks))
}

/// Returns true if a stored record should be replaced: what it says has become wrong, or it holds back
/// more than it must. A task whose wait costs little may stay on it.
pub fn is_outdated<T: Eq + Hash>(
    stored: Option<&Holding<T>>,
    wanted: Option<&Holding<T>>,
    is_dear: impl Fn(&T) -> bool,
) -> bool {
    match (stored, wanted) {
        (Some(Holding::Only(stored)), Some(Holding::Only(wanted))) => {
            let in_stored: IndexSet<&T> = stored.iter().collect();
            let in_wanted: IndexSet<&T> = wanted.iter().collect();
            let has_left = |task: &&T| !in_wanted.contains(task);
            !wanted.iter().all(|task| in_stored.contains(task))
                || stored.iter().filter(has_left).any(is_dear)
        }
        (stored, wanted) => stored != wanted,
    }
}

/// The workers of previous owners that have neither been heard nor lapsed, and the tasks that may run
/// there.
#[derive(Debug)]
pub struct Inherited<T> {
    /// The workers that may run any task.
    unbounded: IndexSet<Name>,
    /// The tasks that may run on other workers, by worker.
    tasks: IndexMap<Name, IndexSet<T>>,
}

impl<T> Default for Inherited<T> {
    fn default() -> Self {
        Self {
            unbounded: IndexSet::new(),
            tasks: IndexMap::new(),
        }
    }
}

impl<T: Eq + Hash> Inherited<T> {
    /// Adds a worker on record.
    pub fn add(&mut self, vm: Name, holding: Holding<T>) {
        match holding {
            Holding::Any => {
                self.unbounded.insert(vm);
            }
            Holding::Only(tasks) => {
                self.tasks.insert(vm, tasks.into_iter().collect());
            }
        }
    }

    /// Removes a worker whose runs are known, or certainly ended; returns true if it held tasks back.
    pub fn settle(&mut self, vm: &Name) -> bool {
        let was_unbounded = self.unbounded.swap_remove(vm);
        self.tasks.swap_remove(vm).is_some() || was_unbounded
    }

    /// Returns true if any inherited task may run on a worker.
    pub fn holds_all(&self) -> bool {
        !self.unbounded.is_empty()
    }

    /// Returns true if some task may run on a worker.
    pub fn holds_some(&self) -> bool {
        self.holds_all() || !self.tasks.is_empty()
    }

    /// Returns true if a task may run on a worker.
    pub fn holds(&self, task: &T) -> bool {
        self.holds_all() || self.tasks.values().any(|tasks| tasks.contains(task))
    }
}
