//! Commands on processes: status, planned stops, the report.

use std::fs;
use std::path::Path;

use base::prelude::*;
use serde_json::json;
use wire::operator::Status;
use wire::{EntryInfo, TargetState};

use super::Context;
use crate::cli::{EntryFlags, Format};
use crate::{Exit, Failure, Outcome};

const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// A process and the generation that it applies.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Process {
    name: String,
    generation: Generation,
}

/// Shows what an entry knows of the fleet.
pub(super) fn status(cx: &dyn Context, entry: &EntryFlags) -> Result<Outcome, Failure> {
    let mut status = cx.entry(entry)?.status()?;
    let others = other_entries(&status).map(|other| at(entry, other));
    for other in others.collect::<Vec<_>>() {
        // What can't be asked is left out; its shards show without their counts.
        let asked = cx.entry(&other).and_then(|entry| entry.status());
        status
            .shards
            .extend(asked.map_or_else(|_| Vec::new(), |other| other.shards));
    }
    let json =
        serde_json::to_value(&status).map_err(|e| Failure::new(Exit::Fault, e.to_string()))?;
    Ok(Outcome::done(status_text(&status), json))
}

fn status_text(status: &Status) -> String {
    let mut lines = vec![format!(
        "entry {} in {}, generation {}",
        status.entry.entry, status.entry.zone, status.entry.generation
    )];
    lines.push(match &status.store {
        Some(store) if store.is_reachable => "store reachable".to_owned(),
        Some(store) => match store.answered_ms_ago {
            Some(ms) => format!("store unreachable, last answered {ms} ms ago"),
            None => "store unreachable, never answered".to_owned(),
        },
        None => "store not asked yet".to_owned(),
    });
    lines.push(format!("{} other entries", other_entries(status).count()));
    for entry in other_entries(status) {
        lines.push(format!(
            "  {} in {}, generation {}",
            entry.entry, entry.zone, entry.generation
        ));
    }
    lines.push(format!("{} targets", status.targets.len()));
    for target in &status.targets {
        let state = match target.state {
            TargetState::Serving => "serving",
            TargetState::Leaving => "leaving",
        };
        lines.push(format!(
            "  {} on {} in {}, {state}, {} of {} slots, generation {}",
            target.target,
            target.worker,
            target.zone,
            target.in_flight,
            target.slots,
            target.generation
        ));
    }
    lines.push(format!("{} shards", status.owners.len()));
    for owner in &status.owners {
        lines.push(format!(
            "  {} of pool {}, owner {}, epoch {}",
            owner.shard, owner.pool, owner.entry, owner.epoch
        ));
    }
    for shard in &status.shards {
        lines.push(format!(
            "shard {}: {} queued, {} running",
            shard.shard, shard.queued, shard.running
        ));
        if let Some(reason) = &shard.stuck {
            lines.push(format!("  STUCK: {reason}"));
        }
        for (worker, reason) in &shard.quarantined {
            lines.push(format!("  {worker} in quarantine: {reason}"));
        }
    }
    let broken = status.promises.iter().filter(|p| p.broken > 0);
    lines.extend(broken.map(|p| format!("BROKEN PROMISE {}: {} times", p.promise, p.broken)));
    lines.join("\n")
}

fn other_entries(status: &Status) -> impl Iterator<Item = &EntryInfo> {
    let own = &status.entry.entry;
    status
        .entries
        .iter()
        .filter(move |entry| entry.entry != *own)
}

/// Returns every live process with the generation it applies: each entry is asked itself, and
/// companions tell theirs to the entries.
fn processes(cx: &dyn Context, flags: &EntryFlags) -> Result<Vec<Process>> {
    let status = cx.entry(flags)?.status()?;
    let mut all = vec![process(&status.entry)];
    for other in other_entries(&status) {
        let asked = cx.entry(&at(flags, other)).and_then(|entry| entry.status());
        all.push(match asked {
            Ok(status) => process(&status.entry),
            // Its presence runs out soon unless it lives; until then it counts as behind.
            Err(_) => Process {
                name: format!("entry {}", other.entry),
                generation: Generation(0),
            },
        });
    }
    let targets = status.targets.iter().map(|target| Process {
        name: format!("companion of {}", target.target),
        generation: target.generation,
    });
    all.extend(targets);
    Ok(all)
}

fn process(entry: &EntryInfo) -> Process {
    Process {
        name: format!("entry {}", entry.entry),
        generation: entry.generation,
    }
}

/// Waits until every live process applies a generation, and adds to `outcome` what came of it.
pub(super) fn wait_in_force(
    cx: &dyn Context,
    flags: &EntryFlags,
    generation: Generation,
    timeout: Duration,
    mut outcome: Outcome,
) -> Outcome {
    let deadline = cx.clock().now() + timeout;
    loop {
        let late = match processes(cx, flags) {
            Ok(all) => {
                let late = all.iter().filter(|p| p.generation < generation);
                let late = late.map(|p| format!("{} (generation {})", p.name, p.generation));
                let late = late.collect::<Vec<_>>();
                if late.is_empty() {
                    outcome.text += &format!("\nin force on all {} processes", all.len());
                    outcome.json["in-force-on"] = json!(all.len());
                    return outcome;
                }
                late
            }
            Err(e) => vec![e.to_string()],
        };
        if cx.clock().now() >= deadline {
            outcome.text += "\naccepted, but not yet in force on:";
            outcome
                .text
                .extend(late.iter().map(|name| format!("\n  {name}")));
            outcome.json["not-in-force-on"] = json!(late);
            return outcome.with_exit(Exit::NotInForce);
        }
        (cx.pause())(WAIT_PAUSE);
    }
}

/// Starts the planned stop of a target.
pub(super) fn drain(
    cx: &dyn Context,
    entry: &EntryFlags,
    target: &str,
) -> Result<Outcome, Failure> {
    let target = TargetId::from(target);
    cx.entry(entry)?.drain(&target)?;
    let text = format!("{target} takes no new work and finishes what is in progress");
    Ok(Outcome::done(text, json!({ "target": target })))
}

/// Shows the report on service-level burn, added up over all entries.
pub(super) fn report(
    cx: &dyn Context,
    flags: &EntryFlags,
    format: Format,
    out: Option<&Path>,
) -> Result<Outcome, Failure> {
    let entry = cx.entry(flags)?;
    let status = entry.status()?;
    let mut all = entry.burn()?;
    let mut missing = Vec::new();
    for other in other_entries(&status) {
        match cx.entry(&at(flags, other)).and_then(|entry| entry.burn()) {
            Ok(burn) => all.merge(burn),
            Err(_) => missing.push(other.entry.as_str().into()),
        }
    }
    let report = all.report(missing);
    let json =
        serde_json::to_value(&report).map_err(|e| Failure::new(Exit::Fault, e.to_string()))?;
    let text = match format {
        Format::Text => report.to_string(),
        Format::Json => json.to_string(),
        Format::Html => report.to_html()?,
    };
    let Some(path) = out else {
        return Ok(Outcome::done(text, json));
    };
    let failed = |e| Failure::new(Exit::Usage, format!("{}: {e}", path.display()));
    fs::write(path, text).map_err(failed)?;
    Ok(Outcome::done(
        format!("written to {}", path.display()),
        json,
    ))
}

/// Returns the settings by which another entry is asked.
fn at(flags: &EntryFlags, entry: &EntryInfo) -> EntryFlags {
    EntryFlags {
        addr: entry.http_addr,
        token: flags.token.clone(),
    }
}
