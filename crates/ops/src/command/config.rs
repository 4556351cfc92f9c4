//! Commands on the tables.

use std::fs;
use std::path::Path;
use std::time::SystemTime;

use base::prelude::*;
use ports::store::Store;
use serde_json::{Value, json};
use tables::{Difference, Tables, TablesDoc};

use super::Context;
use super::fleet::wait_in_force;
use crate::cli::{ApplyFlags, StoreFlags};
use crate::outcome::problems_json;
use crate::{Applier, Change, Exit, Failure, Outcome, TableFiles, TablesStore};

/// Validates the tables without a connection.
pub(super) fn check(files: &TableFiles) -> Result<Outcome, Failure> {
    let loaded = files.load()?;
    let tables = &loaded.checked.tables;
    let warnings = &loaded.checked.warnings;
    let mut text = format!(
        "{} routes, {} in the table of pools; no faults",
        tables.routes.len(),
        tables.pools.len()
    );
    for warning in warnings {
        text += &format!("\nwarning: {warning}");
    }
    let json = json!({
        "routes": tables.routes.len(),
        "pools": tables.pools.len(),
        "warnings": problems_json(warnings),
    });
    Ok(Outcome::done(text, json))
}

/// Compares the tables with those in force.
pub(super) fn diff(
    cx: &dyn Context,
    files: &TableFiles,
    store: &StoreFlags,
    generation: Option<u64>,
) -> Result<Outcome, Failure> {
    let loaded = files.load()?;
    let store = cx.store(store)?;
    let tables_store = TablesStore::new(&*store);
    let doc = match generation {
        Some(generation) => Some(tables_store.at(Generation(generation))?),
        None => tables_store.current()?.map(|in_force| in_force.doc),
    };
    let (base, old) = match &doc {
        Some(doc) => (doc.generation, doc.tables()?),
        None => (Generation(0), Tables::default()),
    };
    let differences = tables::diff(&old, &loaded.checked.tables);
    let json = json!({ "base": base, "differences": difference_lines(&differences) });
    let text = format_differences(&format!("compared with generation {base}:"), &differences);
    let exit = if differences.is_empty() {
        Exit::Done
    } else {
        Exit::Differs
    };
    Ok(Outcome::done(text, json).with_exit(exit))
}

/// Puts the tables in force.
pub(super) fn apply(
    cx: &dyn Context,
    files: &TableFiles,
    store: &StoreFlags,
    flags: &ApplyFlags,
) -> Result<Outcome, Failure> {
    let loaded = files.load()?;
    let store = cx.store(store)?;
    let change = Change {
        routes: Arc::clone(&loaded.routes.text),
        pools: Arc::clone(&loaded.pools.text),
        author: flags.author.as_str().into(),
        comment: flags.comment.as_str().into(),
        nonce: cx.nonce(),
    };
    put_in_force(cx, &*store, change, flags)
}

/// Puts an earlier generation in force again.
pub(super) fn rollback(
    cx: &dyn Context,
    store: &StoreFlags,
    to: Generation,
    flags: &ApplyFlags,
) -> Result<Outcome, Failure> {
    let store = cx.store(store)?;
    let doc = TablesStore::new(&*store).at(to)?;
    let comment = match flags.comment.as_str() {
        "" => format!("rollback to generation {to}"),
        comment => comment.to_owned(),
    };
    let change = Change {
        routes: doc.routes,
        pools: doc.pools,
        author: flags.author.as_str().into(),
        comment: comment.into(),
        nonce: cx.nonce(),
    };
    put_in_force(cx, &*store, change, flags)
}

fn put_in_force(
    cx: &dyn Context,
    store: &dyn Store,
    change: Change,
    flags: &ApplyFlags,
) -> Result<Outcome, Failure> {
    if flags.wait && flags.entry.is_none() {
        return Err(Failure::new(Exit::Usage, "--wait needs --entry"));
    }
    let applier = Applier::new(store, cx.clock(), cx.pause());
    let plan = applier.plan(change, flags.base.map(Generation))?;
    let base = plan.base_generation();
    let shown = format_differences(&format!("changes to generation {base}:"), &plan.differences);
    let differences = difference_lines(&plan.differences);
    let needs_confirmation = flags.base.is_none() && !flags.yes && !plan.is_in_force();
    if needs_confirmation {
        confirm(cx, &shown, base)?;
    }
    let applied = applier.apply(plan)?;
    let generation = applied.generation();
    let mut outcome = match applied {
        crate::Applied::New(_) => Outcome::done(
            format!("{shown}\ngeneration {generation} is accepted"),
            json!({}),
        ),
        crate::Applied::Already(_) => Outcome::done(
            format!("generation {generation} holds these tables already"),
            json!({}),
        ),
    };
    outcome.json = json!({
        "generation": generation,
        "base": base,
        "new": applied == crate::Applied::New(generation),
        "differences": differences,
    });
    match &flags.entry {
        Some(entry) if flags.wait => {
            Ok(wait_in_force(cx, entry, generation, flags.timeout, outcome))
        }
        _ => Ok(outcome),
    }
}

fn confirm(cx: &dyn Context, shown: &str, base: Generation) -> Result<(), Failure> {
    match cx.confirm(&format!("{shown}\nput this in force?")) {
        Some(true) => Ok(()),
        Some(false) => Err(Failure::new(Exit::Refused, "not applied")),
        None => {
            let message = format!(
                "{shown}\nnot applied: pass --base {base} to apply this change, \
                 or --yes to apply on whatever is in force"
            );
            Err(Failure::new(Exit::Usage, message))
        }
    }
}

/// Shows the tables in force, or earlier ones.
pub(super) fn show(
    cx: &dyn Context,
    store: &StoreFlags,
    generation: Option<u64>,
    out: Option<&Path>,
) -> Result<Outcome, Failure> {
    let store = cx.store(store)?;
    let tables_store = TablesStore::new(&*store);
    let doc = match generation {
        Some(generation) => tables_store.at(Generation(generation))?,
        None => match tables_store.current()? {
            Some(in_force) => in_force.doc,
            None => return Err(Failure::new(Exit::Refused, "no tables were applied yet")),
        },
    };
    let head = headline(&doc);
    let text = match out {
        Some(folder) => {
            write(&folder.join("routes.toml"), &doc.routes)?;
            write(&folder.join("pools.toml"), &doc.pools)?;
            format!("{head}\nwritten to {}", folder.display())
        }
        None => format!(
            "# {head}\n# routes.toml\n{}\n# pools.toml\n{}",
            doc.routes.trim_end(),
            doc.pools.trim_end()
        ),
    };
    Ok(Outcome::done(text, doc_json(&doc)))
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    let failed = |e| Failure::new(Exit::Usage, format!("{}: {e}", path.display()));
    fs::write(path, text).map_err(failed)
}

/// Lists the generations in the store.
pub(super) fn history(cx: &dyn Context, store: &StoreFlags) -> Result<Outcome, Failure> {
    let store = cx.store(store)?;
    let docs = TablesStore::new(&*store).all()?;
    let mut texts = Vec::with_capacity(docs.len());
    let mut rows = Vec::with_capacity(docs.len());
    let mut before: Option<Tables> = None;
    for doc in &docs {
        let tables = doc.tables().ok();
        let differences = match (&before, &tables) {
            (Some(before), Some(tables)) => tables::diff(before, tables),
            _ => Vec::new(),
        };
        let mut row = doc_json(doc);
        row["differences"] = json!(difference_lines(&differences));
        rows.push(row);
        let changes = differences.iter().map(|d| format!("\n  {d}"));
        texts.push(headline(doc) + &changes.collect::<String>());
        before = tables;
    }
    texts.reverse();
    rows.reverse();
    if texts.is_empty() {
        texts.push("no tables were applied yet".to_owned());
    }
    Ok(Outcome::done(texts.join("\n"), Value::Array(rows)))
}

fn headline(doc: &TablesDoc) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(doc.applied_at_ms);
    let at = humantime::format_rfc3339_seconds(at);
    let mut text = format!("generation {} by {} at {at}", doc.generation, doc.author);
    if !doc.comment.is_empty() {
        text += &format!(": {}", doc.comment);
    }
    text
}

fn doc_json(doc: &TablesDoc) -> Value {
    json!({
        "generation": doc.generation,
        "author": &*doc.author,
        "applied-at-ms": doc.applied_at_ms,
        "comment": &*doc.comment,
        "routes": &*doc.routes,
        "pools": &*doc.pools,
    })
}

fn difference_lines(differences: &[Difference]) -> Vec<String> {
    differences.iter().map(ToString::to_string).collect()
}

fn format_differences(head: &str, differences: &[Difference]) -> String {
    if differences.is_empty() {
        return format!("{head} no differences");
    }
    let lines = differences.iter().map(|d| format!("\n  {d}"));
    format!("{head}{}", lines.collect::<String>())
}
