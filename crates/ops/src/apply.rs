//! Applies tables with a compare-and-swap against the generation that the change is based on.

use base::prelude::*;
use ports::store::{Expect, Store};
use tables::{Difference, Tables, TablesDoc, diff};

use crate::history::{StoredTables, Swap, TablesStore};
use crate::{Exit, Failure};

/// How often a write to the store is tried before the command gives up.
const MAX_ATTEMPTS: u32 = 5;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// A change to apply.
#[derive(Clone, Debug)]
pub struct Change {
    /// The text of `routes.toml`.
    pub routes: Name,
    /// The text of `pools.toml`.
    pub pools: Name,
    /// Who applies it.
    pub author: Name,
    /// The author's comment.
    pub comment: Name,
    /// Identifies this apply.
    pub nonce: Nonce,
}

/// A change, compared with the tables in force.
#[derive(Clone, Debug)]
pub struct Plan {
    base: Option<StoredTables>,
    doc: TablesDoc,
    /// The differences from the tables in force.
    pub differences: Vec<Difference>,
}

/// The result of an apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The tables are in force under this generation.
    New(Generation),
    /// The same tables were in force already, under this generation.
    Already(Generation),
}

impl Applied {
    /// Returns the generation under which the tables are in force.
    pub fn generation(self) -> Generation {
        match self {
            Self::New(generation) | Self::Already(generation) => generation,
        }
    }
}

/// Applies changes through a store.
#[derive(Debug)]
pub struct Applier<'a> {
    tables: TablesStore<'a>,
    clock: &'a dyn Clock,
    pause: fn(Duration),
}

impl<'a> Applier<'a> {
    /// Creates an applier that calls `pause` to wait between attempts.
    pub fn new(store: &'a dyn Store, clock: &'a dyn Clock, pause: fn(Duration)) -> Self {
        Self {
            tables: TablesStore::new(store),
            clock,
            pause,
        }
    }

    /// Compares a change with the tables in force.
    ///
    /// # Errors
    ///
    /// Fails with a conflict if `base` is given and not in force, unless the tables in force are
    /// those of the change. Fails if the tables can't be read or parsed.
    pub fn plan(&self, change: Change, base: Option<Generation>) -> Result<Plan, Failure> {
        let current = self.tables.current()?;
        let in_force = current.as_ref().map_or(Generation(0), |c| c.doc.generation);
        if let Some(base) = base
            && base != in_force
            && !is_same(current.as_ref(), &change)
        {
            return Err(self.conflict(base, current.as_ref(), &change));
        }
        let doc = self.new_doc(change, self.next_generation(current.as_ref())?);
        let differences = diff(&tables_of(current.as_ref())?, &doc.tables()?);
        Ok(Plan {
            base: current,
            doc,
            differences,
        })
    }

    /// Returns a generation higher than any that a process may apply.
    fn next_generation(&self, current: Option<&StoredTables>) -> Result<Generation, Failure> {
        if let Some(current) = current {
            return Ok(current.doc.generation.next());
        }
        // If the key is gone, it held the generation after the last one in the history.
        let highest = self.tables.highest()?;
        Ok(if highest == Generation(0) {
            highest.next()
        } else {
            highest.next().next()
        })
    }

    fn new_doc(&self, change: Change, generation: Generation) -> TablesDoc {
        TablesDoc {
            version: TablesDoc::VERSION,
            generation,
            routes: change.routes,
            pools: change.pools,
            author: change.author,
            applied_at_ms: base::unix_ms(self.clock.wall()),
            comment: change.comment,
            nonce: change.nonce,
        }
    }

    /// Puts a planned change in force.
    ///
    /// # Errors
    ///
    /// Fails with [`Exit::Conflict`] if other tables were applied first, with
    /// [`Exit::Unreachable`] if the store can't be reached and nothing was changed, and with
    /// [`Exit::Unknown`] if the change may have taken effect; it is then safe to apply it again.
    pub fn apply(&self, plan: Plan) -> Result<Applied, Failure> {
        if plan.is_in_force() {
            return Ok(Applied::Already(plan.base_generation()));
        }
        if let Some(base) = &plan.base {
            self.archive(&base.doc)?;
        }
        self.swap(&plan)?;
        // If this fails, the next apply trims the history.
        let _trimmed = self.tables.trim(plan.doc.generation);
        Ok(Applied::New(plan.doc.generation))
    }

    /// Archives the generation that is about to be replaced; retried, since it is idempotent.
    fn archive(&self, doc: &TablesDoc) -> Result<(), Failure> {
        let mut pause = INITIAL_BACKOFF;
        for _ in 1..MAX_ATTEMPTS {
            match self.tables.archive(doc) {
                Err(e) if is_transient(e.kind()) => (self.pause)(pause),
                other => return Ok(other?),
            }
            pause *= 2;
        }
        let archived = self.tables.archive(doc);
        archived.map_err(|e| Failure::new(Exit::Unreachable, format!("nothing was changed: {e}")))
    }

    fn swap(&self, plan: &Plan) -> Result<(), Failure> {
        let expect = match &plan.base {
            Some(base) => Expect::Revision(base.revision),
            None => Expect::Absent,
        };
        let mut pause = INITIAL_BACKOFF;
        let mut may_have_taken_effect = false;
        for _ in 0..MAX_ATTEMPTS {
            let error = match self.tables.swap(&plan.doc, expect) {
                Ok(Swap::Done) => return Ok(()),
                Ok(Swap::Conflict(current)) => return self.resolve(plan, current.as_ref()),
                Err(e) => e,
            };
            may_have_taken_effect |= error.kind().is_outcome_unknown();
            if !is_transient(error.kind()) && !may_have_taken_effect {
                return Err(error.into());
            }
            (self.pause)(pause);
            pause *= 2;
        }
        self.read_back(plan, may_have_taken_effect)
    }

    /// Reads the tables to find out whether a swap took effect although no attempt succeeded.
    fn read_back(&self, plan: &Plan, may_have_taken_effect: bool) -> Result<(), Failure> {
        if !may_have_taken_effect {
            let message = "the store can't be reached; nothing was changed";
            return Err(Failure::new(Exit::Unreachable, message));
        }
        let current = self.tables.current().map_err(|e| unknown(&e.to_string()))?;
        let revision = current.as_ref().map(|c| c.revision);
        if revision == plan.base.as_ref().map(|base| base.revision) {
            // A delayed swap may still reach the store after this read.
            return Err(unknown("the store still holds the tables before it"));
        }
        self.resolve(plan, current.as_ref())
    }

    /// Succeeds if the tables in the store are those of the plan, or were applied after them.
    fn resolve(&self, plan: &Plan, current: Option<&StoredTables>) -> Result<(), Failure> {
        let is_ours = |doc: &TablesDoc| doc.nonce == plan.doc.nonce;
        if current.is_some_and(|current| is_ours(&current.doc)) {
            return Ok(());
        }
        let is_later = current.is_some_and(|c| c.doc.generation > plan.doc.generation);
        if is_later {
            let ours = self.tables.earlier(plan.doc.generation);
            match ours.map_err(|e| unknown(&e.to_string()))? {
                Some(doc) if is_ours(&doc) => return Ok(()),
                Some(_) => {}
                None => return Err(unknown("later generations replaced it")),
            }
        }
        let change = Change {
            routes: Arc::clone(&plan.doc.routes),
            pools: Arc::clone(&plan.doc.pools),
            author: Arc::clone(&plan.doc.author),
            comment: Arc::clone(&plan.doc.comment),
            nonce: plan.doc.nonce,
        };
        Err(self.conflict(plan.base_generation(), current, &change))
    }

    /// Returns a conflict that lists what others changed since `base`, and the rows both changed.
    fn conflict(
        &self,
        base: Generation,
        current: Option<&StoredTables>,
        change: &Change,
    ) -> Failure {
        let Some(current) = current else {
            let message = format!("conflict: generation {base} is no longer in the store");
            return Failure::new(Exit::Conflict, message);
        };
        let doc = &current.doc;
        let mut text = format!(
            "conflict: generation {} by {} is in force, this change is based on {base}; nothing was changed",
            doc.generation, doc.author
        );
        let theirs = self.changes_since(base, doc);
        for difference in theirs.iter().flatten() {
            text += &format!("\n  theirs: {difference}");
        }
        if theirs.is_none() {
            text += &format!("\n  generation {base} is not kept, so the difference can't be shown");
        }
        let ours = self.own_changes_since(base, change);
        for row in rows_in_both(theirs.as_deref(), ours.as_deref()) {
            text += &format!("\n  changed by both: {row}");
        }
        text += &format!(
            "\ntake up their change, then apply with --base {}",
            doc.generation
        );
        let lines = theirs.iter().flatten().map(ToString::to_string);
        Failure::new(Exit::Conflict, text).with_json(serde_json::json!({
            "generation": doc.generation,
            "author": &*doc.author,
            "base": base,
            "theirs": lines.collect::<Vec<_>>(),
        }))
    }

    fn changes_since(&self, base: Generation, doc: &TablesDoc) -> Option<Vec<Difference>> {
        Some(diff(&self.tables_at(base)?, &doc.tables().ok()?))
    }

    fn own_changes_since(&self, base: Generation, change: &Change) -> Option<Vec<Difference>> {
        let ours = self.new_doc(change.clone(), base.next()).tables().ok()?;
        Some(diff(&self.tables_at(base)?, &ours))
    }

    fn tables_at(&self, generation: Generation) -> Option<Tables> {
        if generation == Generation(0) {
            return Some(Tables::default());
        }
        self.tables.at(generation).ok()?.tables().ok()
    }
}

impl Plan {
    /// Returns the generation that the change is based on; 0 if there is none.
    pub fn base_generation(&self) -> Generation {
        let base = self.base.as_ref();
        base.map_or(Generation(0), |base| base.doc.generation)
    }

    /// Returns true if the same texts are in force already.
    pub fn is_in_force(&self) -> bool {
        let base = self.base.as_ref();
        base.is_some_and(|base| {
            base.doc.routes == self.doc.routes && base.doc.pools == self.doc.pools
        })
    }
}

fn is_same(current: Option<&StoredTables>, change: &Change) -> bool {
    current.is_some_and(|c| c.doc.routes == change.routes && c.doc.pools == change.pools)
}

fn tables_of(current: Option<&StoredTables>) -> Result<Tables, Failure> {
    match current {
        Some(current) => Ok(current.doc.tables()?),
        None => Ok(Tables::default()),
    }
}

fn rows_in_both<'a>(
    theirs: Option<&'a [Difference]>,
    ours: Option<&'a [Difference]>,
) -> IndexSet<&'a str> {
    let ours = ours.unwrap_or_default();
    let theirs = theirs.unwrap_or_default().iter();
    theirs
        .filter(|their| ours.iter().any(|our| our.row == their.row))
        .map(|difference| difference.row.as_str())
        .collect()
}

/// Returns true if a call that failed with this kind may succeed when it is retried.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Unreachable | ErrorKind::Overloaded) || kind.is_outcome_unknown()
}

fn unknown(why: &str) -> Failure {
    let message = format!(
        "whether the change took effect is not known ({why}); running the same command again is safe"
    );
    Failure::new(Exit::Unknown, message)
}
