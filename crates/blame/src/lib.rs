//! Decides whether a task or its workers are at fault.
//!
//! [`Outcomes`] judges failed runs: a task that fails on several workers, against a worker that fails
//! several tasks. The rest judges crashes of workers.
//!
//! A crash is evidence against each run that the worker had, of a strength that depends on the others:
//! [`attribute`] weighs the runs of one crash against each other, [`assess`] all crashes under one task.
//! Neither knows of time, workers or the network, so a new owner comes to the same verdict from the
//! stored evidence.

mod outcomes;

use base::prelude::*;
use serde::{Deserialize, Serialize};

pub use self::outcomes::Outcomes;

/// How long a task without evidence may have run at a crash and still be a primary suspect: a task
/// that crashes its worker mostly does so soon after its start.
const FRESH_MS: u64 = 300;

/// How soon after the start of a run a crash is prompt.
const PROMPT_MS: u64 = 150;

/// How precisely the time from a start to a crash is known.
const PRECISION_MS: u64 = 100;

/// How much longer than at a crash a run has to last on trial, as a share and in addition.
const TRIAL_SHARE: f64 = 1.25;
const TRIAL_MARGIN_MS: u64 = 200;

/// How many distant crashes, at about the same time after the start, do not make a task a suspect yet.
const MAX_DISTANT: usize = 2;

/// How strongly a crash speaks against a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Strength {
    /// Others on the worker are more likely at fault, or all had run for long.
    Distant,
    /// It is one of several primary suspects.
    Shared,
    /// It is the only primary suspect.
    Alone,
}

/// A crash under a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Evidence {
    /// The VM of the worker.
    pub vm: Name,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// How long the run had lasted, in milliseconds.
    pub ran_ms: u64,
    /// How strongly it speaks against the run.
    pub strength: Strength,
    /// Whether the worker certainly crashed, and the run was certainly not over before.
    pub is_certain: bool,
    /// Whether workers had crashed lately without a primary suspect, so that there are other causes.
    pub has_other_causes: bool,
}

impl Evidence {
    /// Returns true if both are of the same incarnation of a worker.
    pub fn is_of_same_worker(&self, other: &Self) -> bool {
        self.vm == other.vm && self.incarnation == other.incarnation
    }
}

/// A run that a crashed worker may have had.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The earlier evidence against its task.
    pub evidence: &'a [Evidence],
    /// How long the run had lasted, in milliseconds.
    pub ran_ms: u64,
}

/// What the crashes under a task say of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It runs like any other.
    Clear,
    /// It may be at fault: it runs on trial, as the only suspect of a worker.
    Suspect,
    /// It probably is: besides, at most one such task of a pool runs at a time.
    PrimeSuspect,
    /// It is at fault and must not run again.
    Guilty,
}

/// Returns how strongly a crash speaks against each of the runs that the worker may have had, and
/// whether there is a primary suspect among them.
///
/// Primary suspects are the runs on trial and those that had just started. Each gang counts as one
/// candidate.
pub fn attribute(candidates: &[Candidate<'_>]) -> (Vec<Strength>, bool) {
    let primary = candidates.iter().filter(|c| c.is_primary()).count();
    let strength = |candidate: &Candidate<'_>| match (candidate.is_primary(), primary) {
        (true, 1) => Strength::Alone,
        (true, _) => Strength::Shared,
        (false, _) => Strength::Distant,
    };
    let strengths = candidates.iter().map(strength).collect();
    (strengths, primary > 0)
}

/// Returns what the evidence against a task says.
///
/// One crash never proves a fault. Two prove it if both were prompt, the task was alone at one, and no
/// worker crashed lately for another cause; three, if it was alone at two, at about the same time after
/// its start; five, if it was alone at three. Crashes of one VM, which may itself be at fault, prove
/// nothing unless there are four.
pub fn assess(evidence: &[Evidence]) -> Verdict {
    let certain: Vec<&Evidence> = evidence.iter().filter(|e| e.is_certain).collect();
    let crashes = certain.len();
    let alone = certain.iter().filter(|e| e.strength == Strength::Alone);
    let alone: Vec<&Evidence> = alone.copied().collect();
    let vms: IndexSet<&Name> = certain.iter().map(|e| &e.vm).collect();
    let is_prompt = certain.iter().all(|e| e.ran_ms <= PROMPT_MS);
    let has_other_causes = certain.iter().any(|e| e.has_other_causes);
    let is_proof = match crashes {
        0 | 1 => false,
        2 => is_prompt && !has_other_causes && !alone.is_empty() && vms.len() > 1,
        3 => alone.len() >= 2 && is_consistent(&alone) && vms.len() > 1,
        4 => alone.len() >= 2 && is_consistent(&alone),
        _ => alone.len() >= 3 || (alone.len() >= 2 && is_consistent(&alone)),
    };
    let is_suspect = evidence.iter().any(|e| e.strength != Strength::Distant)
        || (crashes > MAX_DISTANT && is_consistent(&certain));
    if is_proof {
        Verdict::Guilty
    } else if crashes >= 2 && !alone.is_empty() {
        Verdict::PrimeSuspect
    } else if is_suspect {
        Verdict::Suspect
    } else {
        Verdict::Clear
    }
}

/// Returns how long a run of the task has to last until it is cleared of the evidence: longer than at
/// the crashes that it is a primary suspect of.
pub fn trial(evidence: &[Evidence]) -> Duration {
    let ran_ms = |is_counted: fn(&Evidence) -> bool| {
        let counted = evidence.iter().filter(|e| is_counted(e));
        counted.map(|e| e.ran_ms).max()
    };
    let primary = ran_ms(|e| e.strength != Strength::Distant);
    let ran_ms = primary.or_else(|| ran_ms(|_| true)).unwrap_or(0);
    Duration::from_millis(ran_ms).mul_f64(TRIAL_SHARE) + Duration::from_millis(TRIAL_MARGIN_MS)
}

/// Returns true if all crashes came at about the same time after the start of the run.
fn is_consistent(evidence: &[&Evidence]) -> bool {
    let ran_ms = evidence.iter().map(|e| e.ran_ms);
    let (least, most) = (ran_ms.clone().min(), ran_ms.max());
    least
        .zip(most)
        .is_some_and(|(least, most)| most - least <= least / 4 + PRECISION_MS)
}

impl Candidate<'_> {
    fn is_primary(&self) -> bool {
        if assess(self.evidence) == Verdict::Clear {
            self.ran_ms <= FRESH_MS
        } else {
            Duration::from_millis(self.ran_ms) < trial(self.evidence)
        }
    }
}
