//! What fillers do to tasks with a tail target, learned by pairs of classes.
//!
//! A tail latency grows like that of a queue: without bound as the load that its task feels nears
//! one. So a tail is turned into the load felt, to which neighbours add in proportion to what they
//! use; how much differs by pair and is learned from figures taken while the mix stood still.

use base::prelude::*;
use place::{ClassId, Harm, HarmCfg, Mix};

use super::worker::{Phase, Run, Worker};
use crate::StageSpec;

/// The share of its target that a tail takes at no load, until a lower one was seen.
const QUIET_SHARE: f64 = 0.22;

/// How far a task's own load swings above its mean; that of both sites at their peaks.
const SWING: f64 = 0.08;

/// What is kept free below the load at which the tail meets its target.
const MARGIN: f64 = 0.03;

/// The load that a task feels on average before its first figures.
const FIRST_LOAD: f64 = 0.45;

/// The share by which one figure moves the average load.
const LOAD_GAIN: f64 = 0.05;

/// How long a mix has to stand still before figures tell of it: they look back half a second.
const SETTLED_AFTER: Duration = Duration::from_millis(900);

/// The harm from which on a class is slowed before others.
const HARMFUL_FROM: f64 = 0.6;

/// The load felt by one class of tasks with a tail target.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// The least tail over its target.
    quiet: f64,
    /// The average load without neighbours.
    load: f64,
}

impl Default for Victim {
    fn default() -> Self {
        Self {
            quiet: QUIET_SHARE,
            load: FIRST_LOAD,
        }
    }
}

impl Victim {
    /// Returns the load felt at a tail over its target.
    fn felt(&self, tail: f64) -> f64 {
        1.0 - self.quiet / tail.max(self.quiet)
    }

    /// Returns the load at which the tail meets its target.
    fn limit(&self) -> f64 {
        1.0 - self.quiet - MARGIN
    }
}

/// What is known of pairs of classes.
#[derive(Debug)]
pub(crate) struct Neighbours {
    harm: Harm,
    victims: IndexMap<ClassId, Victim>,
}

impl Neighbours {
    pub(super) fn new() -> Self {
        let cfg = HarmCfg {
            prior_mean: 0.5,
            prior_deviation: 2.0,
            noise_deviation: 0.12,
            caution: 0.15,
            ..HarmCfg::default()
        };
        Self {
            harm: Harm::new(cfg, true),
            victims: IndexMap::new(),
        }
    }

    /// Learns from a worker's latest figures, if its mix has stood still.
    pub(super) fn learn(&mut self, now: Instant, worker: &mut Worker) {
        let mix = filler_mix(worker, None);
        if mix != worker.last_mix {
            worker.last_mix = mix;
            worker.mix_since = Some(now);
            return;
        }
        let is_settled = worker
            .mix_since
            .is_none_or(|since| now.duration_since(since) >= SETTLED_AFTER);
        if !is_settled || worker.learned_number == worker.number {
            return;
        }
        worker.learned_number = worker.number;
        let mix = self.numbered(&mix);
        for (class, tail) in tails(worker) {
            let id = self.harm.class(&ClassName::new(class));
            let victim = self.victims.entry(id).or_default();
            victim.quiet = victim.quiet.min(tail);
            let felt = victim.felt(tail);
            if mix.is_empty() {
                victim.load += (felt - victim.load) * LOAD_GAIN;
            } else {
                let extra = felt - victim.load;
                self.harm.learn(id, &mix, extra, now);
            }
        }
    }

    /// Returns the load that one more filler adds for the tasks on a worker, or `None` if one of
    /// them might miss its target.
    pub(super) fn harm_of(
        &mut self,
        now: Instant,
        worker: &Worker,
        stage: &StageSpec,
    ) -> Option<f64> {
        if worker.serving() == 0 {
            return Some(0.0);
        }
        if worker.pace_level > 0 {
            return None;
        }
        let before = self.numbered(&filler_mix(worker, None));
        let after = self.numbered(&filler_mix(worker, Some(stage)));
        let mut added = 0.0;
        for (class, _) in tails(worker) {
            let id = self.harm.class(&ClassName::new(class));
            let victim = self.victims.get(&id).copied().unwrap_or_default();
            let felt = self.harm.predict_safely(id, &after, now);
            if victim.load + SWING + felt > victim.limit() {
                return None;
            }
            added += felt - self.harm.predict_safely(id, &before, now);
        }
        Some(added)
    }

    /// Returns the classes of fillers that are known to harm the tasks nearest to their targets.
    pub(super) fn harmful_to_worst(&mut self, now: Instant, worker: &Worker) -> IndexSet<Name> {
        let worst = tails(worker).into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        let Some((worst, _)) = worst else {
            return IndexSet::new();
        };
        let victim = self.harm.class(&ClassName::new(worst));
        let classes: IndexSet<Name> = fillers(worker).filter_map(|r| r.class.clone()).collect();
        let is_harmful = |class: &Name| {
            let id = self.harm.class(&ClassName::new(Arc::clone(class)));
            self.harm.predict(victim, &[(id, 1.0)], now) >= HARMFUL_FROM
        };
        classes.into_iter().filter(is_harmful).collect()
    }

    fn numbered(&mut self, mix: &[(Name, f64)]) -> Mix {
        mix.iter()
            .map(|(class, share)| (self.harm.class(&ClassName::new(Arc::clone(class))), *share))
            .collect()
    }
}

fn fillers(worker: &Worker) -> impl Iterator<Item = &Run> {
    worker.runs.values().filter(|r| r.is_filler)
}

/// Returns the share of the processors that each class of fillers uses, with one more filler.
fn filler_mix(worker: &Worker, more: Option<&StageSpec>) -> Vec<(Name, f64)> {
    let mut mix: IndexMap<Name, f64> = IndexMap::new();
    for run in fillers(worker) {
        let share = worker.share(run.demand_milli) * f64::from(run.pace) / 100.0;
        *mix.entry(class_of(run.class.as_ref())).or_default() += share;
    }
    if let Some(stage) = more {
        *mix.entry(class_of(stage.class.as_ref())).or_default() +=
            worker.share(stage.room.cpu_milli);
    }
    mix.into_iter().filter(|(_, share)| *share > 0.0).collect()
}

/// Returns the average tail over its target of each class that has one.
fn tails(worker: &Worker) -> Vec<(Name, f64)> {
    let mut sums: IndexMap<Name, (f64, f64)> = IndexMap::new();
    for run in worker.runs.values().filter(|r| r.phase == Phase::Running) {
        let Some(target) = run.tail_target_ms.filter(|t| *t > 0) else {
            continue;
        };
        if run.gauge > 0.0 {
            let sum = sums.entry(class_of(run.class.as_ref())).or_default();
            sum.0 += run.gauge / target as f64;
            sum.1 += 1.0;
        }
    }
    let mean = |(sum, count): (f64, f64)| sum / count;
    sums.into_iter()
        .map(|(class, sums)| (class, mean(sums)))
        .collect()
}

fn class_of(class: Option<&Name>) -> Name {
    class.cloned().unwrap_or_else(|| "".into())
}
