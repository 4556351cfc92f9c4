//! What fillers do to tasks with a tail target, learned by pairs of classes.
//!
//! A tail latency grows like that of a queue: without bound as the load that its task feels nears
//! one. So a tail is turned into the load felt: the task's own, which comes and goes within
//! seconds and is much the same for all tasks of a class, and what its neighbours add in
//! proportion to what they use, which differs by pair of classes. Both are tracked; the rest up to
//! the load at which the tail meets its target is what fillers may add.

use base::prelude::*;
use place::{ClassId, Harm, HarmCfg, Mix};

use super::worker::{Phase, Run, Worker};
use crate::StageSpec;

/// The share of its target that a tail takes at no load, until a lower one was seen.
const QUIET_SHARE: f64 = 0.22;

/// What is kept free below the load at which the tail meets its target.
const MARGIN: f64 = 0.05;

/// The load that a task feels before its first figures.
const FIRST_LOAD: f64 = 0.45;

/// The most load of its own that a class is taken to have.
const MAX_LOAD: f64 = 0.95;

/// How fast the tracked load of a class follows its figures; these look back half a second.
const FAST: Duration = Duration::from_millis(400);

/// How fast the load follows that tells whether it rises.
const SLOW: Duration = Duration::from_millis(2000);

/// How far ahead a rise of the load is taken to go on, over the lag between fast and slow: figures
/// and orders are about a second under way.
const AHEAD: f64 = 0.7;

/// The variance of a class's own load beside which that of its neighbours' harm is weighed.
const LOAD_VARIANCE: f64 = 0.005;

/// How many standard deviations of its harm a pair is taken to be above the mean.
const CAUTION: f64 = 0.15;

/// How long after a filler has gone the figures still tell of it: they look back half a second.
const GONE_FOR: Duration = Duration::from_millis(600);

/// The least harm for which slowing a class is worth its work.
const LEAST_HARM: f64 = 0.15;

/// The least speed at which a filler is worth starting.
const LEAST_SPEED: f64 = 0.6;

/// The harm from which on a class is slowed before others.
const HARMFUL_FROM: f64 = 0.6;

/// The load felt by one class of tasks with a tail target.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// The least tail over its target.
    quiet: f64,
    /// The load without neighbours by now.
    load: f64,
    /// The same, followed slowly.
    slow: f64,
    at: Option<Instant>,
}

impl Default for Victim {
    fn default() -> Self {
        Self {
            quiet: QUIET_SHARE,
            load: FIRST_LOAD,
            slow: FIRST_LOAD,
            at: None,
        }
    }
}

impl Victim {
    /// Returns the load felt at a tail over its target.
    fn felt(&self, tail: f64) -> f64 {
        1.0 - self.quiet / tail.max(self.quiet)
    }

    /// Returns the load that fillers may add in the next second or so.
    fn budget(&self) -> f64 {
        let ahead = self.load + (self.load - self.slow).max(0.0) * AHEAD;
        (1.0 - self.quiet - MARGIN - ahead).max(0.0)
    }

    /// Follows a figure of the load without neighbours, which is trusted by a `share`.
    fn follow(&mut self, now: Instant, load: f64, share: f64) {
        let Some(at) = self.at.replace(now) else {
            self.load += (load - self.load) * share;
            self.slow = self.load;
            return;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let gain = |time: Duration| 1.0 - (-passed / time.as_secs_f64()).exp();
        self.load += (load - self.load) * gain(FAST) * share;
        self.load = self.load.clamp(0.0, MAX_LOAD);
        self.slow += (self.load - self.slow) * gain(SLOW);
    }
}

/// The speed that each class of fillers on a worker may have, as a share; full if it is missing.
pub(super) type Speeds = IndexMap<Name, f64>;

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
            noise_deviation: 0.1,
            caution: CAUTION,
            ..HarmCfg::default()
        };
        Self {
            harm: Harm::new(cfg, true),
            victims: IndexMap::new(),
        }
    }

    /// Learns from a worker's latest figures.
    pub(super) fn learn(&mut self, now: Instant, worker: &mut Worker) {
        if worker.learned_number == worker.number {
            return;
        }
        worker.learned_number = worker.number;
        let count = fillers(worker).count();
        if count < worker.filler_count {
            worker.filler_gone_at = Some(now);
        }
        worker.filler_count = count;
        let is_gone_lately = |at: Instant| now.duration_since(at) < GONE_FOR;
        if worker.filler_gone_at.is_some_and(is_gone_lately) {
            return;
        }
        let mix = self.numbered(&used_mix(worker));
        for (class, tail) in tails(worker) {
            let id = self.harm.class(&ClassName::new(class));
            let mean = self.harm.predict(id, &mix, now);
            let doubt = (self.harm.predict_safely(id, &mix, now) - mean) / CAUTION;
            let victim = self.victims.entry(id).or_default();
            victim.quiet = victim.quiet.min(tail);
            let felt = victim.felt(tail);
            let extra = felt - victim.load;
            let share = LOAD_VARIANCE / (LOAD_VARIANCE + doubt * doubt);
            victim.follow(now, (felt - mean).max(0.0), share);
            self.harm.learn(id, &mix, extra, now);
        }
    }

    /// Returns how fast fillers may go so that the tasks beside them meet their targets.
    ///
    /// Those that do most harm for the processors that they use are slowed first.
    pub(super) fn speeds(
        &mut self,
        now: Instant,
        worker: &Worker,
        more: Option<&(Name, f64)>,
    ) -> Speeds {
        let mix = full_mix(worker, more);
        let numbered = self.numbered(&mix);
        let mut speeds = Speeds::new();
        for (class, _) in tails(worker) {
            let id = self.harm.class(&ClassName::new(class));
            let victim = self.victims.get(&id).copied().unwrap_or_default();
            let harm_of = |c: ClassId| self.harm.predict_safely(id, &[(c, 1.0)], now);
            let mut harms: Vec<(f64, f64, &Name)> = mix
                .iter()
                .zip(&numbered)
                .map(|((name, used), (c, _))| (harm_of(*c), *used, name))
                .collect();
            harms.sort_by(|a, b| b.0.total_cmp(&a.0));
            let total: f64 = harms.iter().map(|(harm, used, _)| harm * used).sum();
            let mut excess = total - victim.budget();
            for (harm, used, name) in harms {
                if excess <= 0.0 || harm < LEAST_HARM {
                    break;
                }
                let cut = excess.min(harm * used);
                excess -= cut;
                let speed = speeds.entry(Arc::clone(name)).or_insert(1.0);
                *speed = speed.min(1.0 - cut / (harm * used));
            }
        }
        speeds
    }

    /// Returns the load that one more filler adds for the tasks on a worker, or `None` if it or
    /// those that are there would have to be slowed for it.
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
        // Whole cores, so that jobs of like size share what was worked out.
        let cpu_milli = stage.room.cpu_milli.next_multiple_of(1000);
        let mut memo = worker.harm_memo.borrow_mut();
        let stamp = (worker.number, worker.version);
        if memo.stamp != stamp {
            memo.stamp = stamp;
            memo.rows.clear();
        }
        let is_same =
            |row: &&(Option<Name>, u64, Option<f64>)| row.1 == cpu_milli && row.0 == stage.class;
        if let Some((_, _, known)) = memo.rows.iter().find(is_same) {
            return *known;
        }
        let harm = self.work_out(now, worker, stage.class.as_ref(), cpu_milli);
        memo.rows.push((stage.class.clone(), cpu_milli, harm));
        harm
    }

    fn work_out(
        &mut self,
        now: Instant,
        worker: &Worker,
        class: Option<&Name>,
        cpu_milli: u64,
    ) -> Option<f64> {
        let more = (class_of(class), worker.share(cpu_milli));
        let before = self.work(now, worker, None);
        let after = self.work(now, worker, Some(&more));
        if after - before < more.1 * LEAST_SPEED {
            return None;
        }
        let mix = self.numbered(&[more]);
        let mut added = 0.0;
        for (class, _) in tails(worker) {
            let id = self.harm.class(&ClassName::new(class));
            added += self.harm.predict_safely(id, &mix, now);
        }
        Some(added)
    }

    /// Returns the processors that the fillers of a worker may use, as a share.
    fn work(&mut self, now: Instant, worker: &Worker, more: Option<&(Name, f64)>) -> f64 {
        let speeds = self.speeds(now, worker, more);
        let mix = full_mix(worker, more);
        let used = mix
            .iter()
            .map(|(class, used)| used * speeds.get(class).copied().unwrap_or(1.0));
        used.sum()
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

/// Returns the share of the processors that each class of fillers used in the last half second.
fn used_mix(worker: &Worker) -> Vec<(Name, f64)> {
    let used = |run: &Run| {
        let milli = if run.gauge > 0.0 {
            run.gauge
        } else {
            run.demand_milli as f64 * f64::from(run.pace) / 100.0
        };
        worker.share(milli as u64)
    };
    let mut mix: IndexMap<Name, f64> = IndexMap::new();
    for run in fillers(worker).filter(|r| r.phase == Phase::Running) {
        *mix.entry(class_of(run.class.as_ref())).or_default() += used(run);
    }
    mix.into_iter().filter(|(_, share)| *share > 0.0).collect()
}

/// Returns the share of the processors that each class of fillers uses at full speed, with one
/// more filler.
fn full_mix(worker: &Worker, more: Option<&(Name, f64)>) -> Vec<(Name, f64)> {
    let mut mix: IndexMap<Name, f64> = IndexMap::new();
    for run in fillers(worker) {
        *mix.entry(class_of(run.class.as_ref())).or_default() += worker.share(run.demand_milli);
    }
    if let Some((class, share)) = more {
        *mix.entry(Arc::clone(class)).or_default() += share;
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

pub(super) fn class_of(class: Option<&Name>) -> Name {
    class.cloned().unwrap_or_else(|| "".into())
}
