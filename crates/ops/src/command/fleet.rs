//! Commands on processes: status, drain and the burn report.

use std::fs;
use std::path::Path;

use base::prelude::*;
use serde_json::json;
use wire::operator::Status;
use wire::{EntryInfo, TargetState};

use super::Context;
use crate::cli::{EntryFlags, Format};
use crate::{Exit, Failure, Outcome};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A process and the generation that it applies.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Process {
    name: String,
    generation: Generation,
}

/// Shows what an entry knows of the fleet.
pub(super) fn status(cx: &dyn Context, entry: &EntryFlags) -> Result<Outcome, Failure> {
    let mut status = cx.entry(entry)?.status()?;
    let others = other_entries(&status).map(|other| flags_for(entry, other));
    for other in others.collect::<Vec<_>>() {
        // An entry that does not respond is skipped; its shards are shown without their counts.
        let response = cx.entry(&other).and_then(|entry| entry.status());
        status
            .shards
            .extend(response.map_or_else(|_| Vec::new(), |other| other.shards));
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

/// Returns every live process with the generation it applies.
///
/// Each entry is queried directly; companions announce their generation to the entries.
fn processes(cx: &dyn Context, flags: &EntryFlags) -> Result<Vec<Process>> {
    let status = cx.entry(flags)?.status()?;
    let mut all = vec![process(&status.entry)];
    for other in other_entries(&status) {
        let response = cx
            .entry(&flags_for(flags, other))
            .and_then(|entry| entry.status());
        all.push(match response {
            Ok(status) => process(&status.entry),
            // The presence of a dead entry expires soon; until then the entry counts as behind.
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

/// Waits until every live process applies a generation, and adds the result to `outcome`.
pub(super) fn wait_in_force(
    cx: &dyn Context,
    flags: &EntryFlags,
    generation: Generation,
    timeout: Duration,
    mut outcome: Outcome,
) -> Outcome {
    let deadline = cx.clock().now() + timeout;
    loop {
        let behind = match processes(cx, flags) {
            Ok(all) => {
                let behind = all.iter().filter(|p| p.generation < generation);
                let behind = behind.map(|p| format!("{} (generation {})", p.name, p.generation));
                let behind = behind.collect::<Vec<_>>();
                if behind.is_empty() {
                    outcome.text += &format!("\nin force on all {} processes", all.len());
                    outcome.json["in-force-on"] = json!(all.len());
                    return outcome;
                }
                behind
            }
            Err(e) => vec![e.to_string()],
        };
        if cx.clock().now() >= deadline {
            outcome.text += "\naccepted, but not yet in force on:";
            outcome
                .text
                .extend(behind.iter().map(|name| format!("\n  {name}")));
            outcome.json["not-in-force-on"] = json!(behind);
            return outcome.with_exit(Exit::NotInForce);
        }
        (cx.pause())(POLL_INTERVAL);
    }
}

/// Starts to drain a target.
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

/// Shows the service-level burn report, summed over all entries.
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
        match cx
            .entry(&flags_for(flags, other))
            .and_then(|entry| entry.burn())
        {
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

/// Returns the flags for calls to another entry.
fn flags_for(flags: &EntryFlags, entry: &EntryInfo) -> EntryFlags {
    EntryFlags {
        addr: entry.http_addr,
        token: flags.token.clone(),
    }
}
