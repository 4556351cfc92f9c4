//! Counts the outcomes of all requests and jobs of a run.

use base::prelude::*;
use fakes::worker::Run;
use serde::Serialize;
use wire::JobPhase;

use crate::flags::Flags;
use crate::fleet::{Fleet, lock};
use crate::load::{Load, is_running};

/// Counts of all requests and jobs of a run, printed as a table and as JSON.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Accounts {
    requests: u64,
    answered: u64,
    refused_not_run: u64,
    unknown: u64,
    p50_ms: f64,
    p99_ms: f64,
    jobs_submitted: usize,
    jobs_finished: usize,
    jobs_doubled: usize,
    jobs_lost: usize,
    evictions: u32,
    standing_running: usize,
    invariant_violations: u64,
    seed: u64,
}

impl Accounts {
    /// Collects the counts from the clients, the entries and the workers' records.
    pub(crate) fn collect(flags: &Flags, load: &Load, fleet: &Fleet) -> Self {
        let jobs = lock(&load.jobs).clone();
        let statuses = load.statuses(&jobs);
        let finished = statuses
            .iter()
            .flatten()
            .filter(|status| status.phase == JobPhase::Finished)
            .count();
        let ended_otherwise = statuses
            .iter()
            .flatten()
            .filter(|s| matches!(s.phase, JobPhase::Failed { .. } | JobPhase::Cancelled))
            .count();
        let standing = load.statuses(&lock(&load.standing).clone());
        let requests = lock(&load.requests);
        for (reason, count) in &requests.reasons {
            eprintln!("desk: {count} requests not answered: {reason}");
        }
        Self {
            requests: requests.sent,
            answered: requests.answered,
            refused_not_run: requests.refused_not_run,
            unknown: requests.unknown,
            p50_ms: requests.latency_us.value_at_quantile(0.5) as f64 / 1000.0,
            p99_ms: requests.latency_us.value_at_quantile(0.99) as f64 / 1000.0,
            jobs_submitted: jobs.len(),
            jobs_finished: finished,
            jobs_doubled: count_duplicates(fleet),
            jobs_lost: jobs.len() - finished - ended_otherwise,
            evictions: statuses
                .iter()
                .flatten()
                .map(|status| status.evictions)
                .sum(),
            standing_running: standing.iter().filter(|s| is_running(s.as_ref())).count(),
            invariant_violations: Promise::total_broken(),
            seed: flags.seed,
        }
    }

    /// Returns true if every request has an outcome, no job was lost or ran twice, and no promise
    /// was broken.
    pub(crate) fn is_clean(&self) -> bool {
        let accounted = self.answered + self.refused_not_run + self.unknown;
        self.jobs_lost == 0
            && self.jobs_doubled == 0
            && self.invariant_violations == 0
            && accounted == self.requests
    }

    pub(crate) fn print_table(&self) {
        println!("{:<24}{:>10}", "requests", self.requests);
        println!("{:<24}{:>10}", "  answered", self.answered);
        println!("{:<24}{:>10}", "  refused, not run", self.refused_not_run);
        println!("{:<24}{:>10}", "  unknown", self.unknown);
        println!("{:<24}{:>10.2}", "  p50 (ms)", self.p50_ms);
        println!("{:<24}{:>10.2}", "  p99 (ms)", self.p99_ms);
        println!("{:<24}{:>10}", "jobs submitted", self.jobs_submitted);
        println!("{:<24}{:>10}", "  finished", self.jobs_finished);
        println!("{:<24}{:>10}", "  doubled", self.jobs_doubled);
        println!("{:<24}{:>10}", "  lost", self.jobs_lost);
        println!("{:<24}{:>10}", "  evictions", self.evictions);
        println!(
            "{:<24}{:>10}",
            "standing work running", self.standing_running
        );
        println!("{:<24}{:>10}", "promises broken", self.invariant_violations);
    }
}

/// Counts the jobs that ran in two places at once or took effect twice.
///
/// Effects on a lost VM don't count, since nothing outside the VM observed them.
fn count_duplicates(fleet: &Fleet) -> usize {
    let mut runs: IndexMap<JobId, Vec<Run>> = IndexMap::new();
    let mut effects: IndexMap<JobId, u32> = IndexMap::new();
    for vm in &fleet.vms {
        let record = vm.worker.record();
        for run in record.runs {
            runs.entry(run.key.job.clone()).or_default().push(run);
        }
        if *lock(&vm.is_lost) {
            continue;
        }
        for effect in record.effects {
            *effects.entry(effect.key.job).or_default() += 1;
        }
    }
    let is_duplicate = |job: &JobId, runs: &mut Vec<Run>| {
        effects.get(job).is_some_and(|count| *count > 1) || overlap(runs)
    };
    runs.iter_mut()
        .filter_map(|(job, runs)| is_duplicate(job, runs).then_some(()))
        .count()
}

/// Returns true if any two runs of one job overlap in time.
fn overlap(runs: &mut [Run]) -> bool {
    runs.sort_by_key(|run| run.start);
    runs.windows(2)
        .any(|pair| pair[0].end.is_none_or(|end| end > pair[1].start))
}
