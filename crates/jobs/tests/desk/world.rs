//! A desk in virtual time: serving tasks whose load swings, fillers that disturb them, and callers
//! who want their jobs done by a time.
//!
//! The truth is that of the users' platform as its listings show it: a service's tail is that of a
//! queue, its own load swings with a phase of its own, and a pair of classes does either little or
//! much harm. Decisions see whole milliseconds, averaged over half a second.

use std::f64::consts::TAU;

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{JobSpec, JobState, StageSpec, TaskRun, Told};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hand_in::Filler;
use crate::rig::Rig;

const STEP: Duration = Duration::from_millis(50);

/// How old figures and listings get.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// The tail of a service without load, in milliseconds.
pub(crate) const QUIET_MS: f64 = 4.0;

/// The target over the tail without load.
pub(crate) const TARGET_FACTOR: f64 = 4.5;

/// The load of a service without neighbours: its mean, and how much it swings in which time.
const LOAD: f64 = 0.43;
const SWING: f64 = 0.22;
const SWING_SECONDS: f64 = 10.0;

/// The load from which on requests queue up.
const FULL: f64 = 0.95;

/// What a queue adds to a tail for each second of work in it, in milliseconds.
const BACKLOG_MS: f64 = 1000.0;

/// How long it takes until a pace has effect, in seconds.
const PACE_TAKES: f64 = 0.15;

/// The share of pairs of classes that do much harm.
const HARMFUL: f64 = 0.65;

/// How long traffic goes on.
const TRAFFIC: f64 = 30.0;

/// How long before traffic the standing jobs are handed in.
const LEAD: f64 = 5.0;

/// How large a desk is, and what it is given to do.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub workers: usize,
    pub serving_jobs: usize,
    pub serving_classes: usize,
    pub filler_classes: usize,
    /// The mean number of tasks of a serving job, and of a stage of fillers.
    pub widths: (f64, f64),
    /// How many jobs of fillers come a second.
    pub rate: f64,
}

/// A desk of eleven workers, with as many jobs of fillers as on its calm days.
pub const SMALL: Size = Size {
    workers: 11,
    serving_jobs: 9,
    serving_classes: 5,
    filler_classes: 9,
    widths: (6.0, 8.0),
    rate: 1.1,
};

/// The same desk grown to 53 workers.
pub const GROWN: Size = Size {
    workers: 53,
    serving_jobs: 18,
    serving_classes: 10,
    filler_classes: 18,
    widths: (14.0, 20.0),
    rate: 2.4,
};

/// What callers and users of the services got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The worth of jobs of fillers, late ones at 15%, over what was handed in.
    pub heavy: f64,
    /// The share of time in which serving tasks were at work; a task that fillers keep over its
    /// target counts four times against it.
    pub serving: f64,
    /// The longest time in which a task was over its target beside fillers at work, in seconds.
    pub longest_over: f64,
}

pub struct World {
    pub(crate) rig: Rig,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) size: Size,
    pub(crate) specs: IndexMap<JobId, JobSpec>,
    /// By serving class and class of fillers.
    harm: Vec<Vec<f64>>,
    pub(crate) phases: Vec<f64>,
    pub(crate) fillers: Vec<Filler>,
    /// The work that a task has done, and the share of speed that it has, with since when.
    progress: IndexMap<TaskRun, f64>,
    queue: IndexMap<TaskRun, f64>,
    figures: IndexMap<TaskRun, (f64, f64)>,
    over: IndexMap<TaskRun, f64>,
    /// The pace that a filler has, the one ordered, and since when.
    paces: IndexMap<TaskRun, (u32, u32, f64)>,
    pub(crate) at: f64,
    outcome: Outcome,
    served: (f64, f64),
}

impl World {
    pub fn new(size: Size, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut rig = Rig::new();
        for i in 0..size.workers {
            let cores = if rng.random_bool(0.33) { 96 } else { 64 };
            rig.add_vm(&format!("vm-{i}"), cores);
            let vm = rig.vm(&format!("vm-{i}"));
            vm.capacity = Resources::new(cores, 250 * 1024, 0);
            vm.labels = vec!["a".into(), format!("r-{}", i / 3).into()];
        }
        rig.sync_all();
        let pair = |rng: &mut ChaCha8Rng| {
            if rng.random_bool(HARMFUL) {
                rng.random_range(0.7..2.2)
            } else {
                rng.random_range(0.0..0.25)
            }
        };
        let harm = (0..size.serving_classes)
            .map(|_| (0..size.filler_classes).map(|_| pair(&mut rng)).collect())
            .collect();
        Self {
            rig,
            size,
            specs: IndexMap::new(),
            harm,
            phases: Vec::new(),
            fillers: Vec::new(),
            progress: IndexMap::new(),
            queue: IndexMap::new(),
            figures: IndexMap::new(),
            over: IndexMap::new(),
            paces: IndexMap::new(),
            at: -LEAD,
            outcome: Outcome::default(),
            served: (0.0, 0.0),
            rng,
        }
    }

    /// Plays the desk and returns what came of it.
    pub fn play(mut self) -> Outcome {
        let mut next = 0.0;
        let mut reported = vec![-LEAD; self.size.workers];
        while self.at < TRAFFIC + 8.0 {
            if self.phases.len() < self.size.serving_jobs {
                self.hand_in_serving();
            }
            if self.at >= next && self.at < TRAFFIC {
                self.hand_in_fillers();
                next += -self.rng.random::<f64>().ln() / self.size.rate;
            }
            self.rig.advance(STEP);
            self.at += STEP.as_secs_f64();
            for (i, last) in reported.iter_mut().enumerate() {
                let has_ended = self.work(i);
                if has_ended || self.at - *last >= REPORT_EVERY.as_secs_f64() {
                    *last = self.at;
                    self.report(i);
                }
            }
            self.look_at_jobs();
        }
        self.sum_up()
    }

    /// Returns the load of a serving job without neighbours.
    fn own_load(&self, job: usize) -> f64 {
        let turn = self.at / SWING_SECONDS * TAU;
        LOAD + SWING * (turn + self.phases[job]).sin()
    }

    /// Lets what is on a worker go on for a step; tells whether a run has ended.
    fn work(&mut self, i: usize) -> bool {
        let seconds = STEP.as_secs_f64();
        let name = format!("vm-{i}");
        let vm = self.rig.vm(&name).clone();
        let cores = vm.capacity.cpu_milli as f64 / 1000.0;
        let mut serving = Vec::new();
        let mut fillers = Vec::new();
        for row in &vm.running {
            let (kind, at) = split(&row.run);
            match kind {
                "serving" => serving.push((row.run.clone(), at)),
                _ => fillers.push((row.run.clone(), at)),
            }
        }
        let wanted: Vec<f64> = fillers
            .iter()
            .map(|(run, _)| {
                let ordered = vm.paces.get(run).copied().unwrap_or(100);
                self.cores_of(run) * self.pace(run, ordered)
            })
            .collect();
        let taken: f64 = serving
            .iter()
            .map(|(run, at)| self.cores_of(run) * self.own_load(*at))
            .sum();
        let total: f64 = wanted.iter().sum();
        let share = if total > 0.0 {
            ((cores - taken) / total).clamp(0.0, 1.0)
        } else {
            1.0
        };
        let mut used: IndexMap<usize, f64> = IndexMap::new();
        let mut ended = Vec::new();
        for ((run, at), wanted) in fillers.iter().zip(&wanted) {
            let using = wanted * share;
            *used.entry(self.class_of(run)).or_default() += using / cores;
            self.note_figure(run, using * 1000.0);
            let task = TaskRun {
                attempt: Attempt(0),
                ..run.clone()
            };
            let speed = using / self.cores_of(run);
            let done = self.progress.entry(task).or_default();
            *done += speed * seconds;
            let work = self.fillers[*at].work[run.task.stage as usize][run.task.index as usize];
            let percent = (*done / work * 100.0).min(99.0);
            let is_done = *done >= work;
            if let Some(row) = self.row(&name, run) {
                row.percent = percent;
            }
            if is_done {
                ended.push(run.clone());
            }
        }
        for (run, at) in &serving {
            let harm: f64 = used
                .iter()
                .map(|(class, used)| self.harm[self.class_of(run)][*class] * used)
                .sum();
            let noise = self.rng.random_range(-0.03..0.03);
            let felt = self.own_load(*at) + harm + noise;
            let queue = self.queue.entry(run.clone()).or_default();
            *queue = (*queue + (felt - FULL) * seconds).max(0.0);
            let tail = QUIET_MS / (1.0 - felt.min(FULL)) + *queue * BACKLOG_MS;
            self.judge(run, tail, harm > 0.05);
            self.note_figure(run, tail);
        }
        for run in &ended {
            self.rig.vm(&name).end(run, EndKind::Done);
        }
        !ended.is_empty()
    }

    /// Returns the share of speed that a filler has by now.
    fn pace(&mut self, run: &TaskRun, ordered: u32) -> f64 {
        let pace = self
            .paces
            .entry(run.clone())
            .or_insert((100, ordered, self.at));
        if pace.1 != ordered {
            *pace = (pace.0, ordered, self.at);
        }
        if self.at - pace.2 >= PACE_TAKES {
            pace.0 = pace.1;
        }
        f64::from(pace.0) / 100.0
    }

    /// Counts a step of a serving task.
    fn judge(&mut self, run: &TaskRun, tail: f64, is_disturbed: bool) {
        let seconds = STEP.as_secs_f64();
        self.served.1 += seconds;
        let over = self.over.entry(run.clone()).or_default();
        if tail <= QUIET_MS * TARGET_FACTOR {
            self.served.0 += seconds;
            *over = 0.0;
        } else {
            self.served.0 -= 3.0 * seconds;
            if is_disturbed {
                *over += seconds;
                self.outcome.longest_over = self.outcome.longest_over.max(*over);
            }
        }
    }

    /// Follows a figure with half a second of memory.
    fn note_figure(&mut self, run: &TaskRun, value: f64) {
        let entry = self.figures.entry(run.clone()).or_insert((value, value));
        entry.0 += (value - entry.0) * STEP.as_secs_f64() / 0.25;
    }

    fn report(&mut self, i: usize) {
        let name = format!("vm-{i}");
        let figures = std::mem::take(&mut self.figures);
        for row in &mut self.rig.vm(&name).running {
            row.gauge = figures.get(&row.run).map_or(0.0, |f| f.0.round());
        }
        self.figures = figures;
        self.rig.sync(&name);
    }

    fn look_at_jobs(&mut self) {
        for at in 0..self.fillers.len() {
            let filler = &self.fillers[at];
            if filler.done.is_some() {
                continue;
            }
            let id = filler.id.clone();
            let state = self.rig.status(&id);
            if matches!(state, Some(Told::Status(JobState::Completed))) {
                self.fillers[at].done = Some(self.at);
            }
        }
    }

    fn sum_up(mut self) -> Outcome {
        let earned = |f: &Filler| match f.done {
            Some(at) if at - f.handed_in <= f.due => f.worth,
            Some(at) if at - f.handed_in <= 3.0 * f.due => 0.15 * f.worth,
            _ => 0.0,
        };
        let owed: f64 = self.fillers.iter().map(|f| f.worth).sum();
        self.outcome.heavy = self.fillers.iter().map(earned).sum::<f64>() / owed;
        self.outcome.serving = self.served.0 / self.served.1;
        self.outcome
    }

    fn row(&mut self, vm: &str, run: &TaskRun) -> Option<&mut jobs::report::RunningRow> {
        let rows = &mut self.rig.vm(vm).running;
        rows.iter_mut().find(|r| r.run == *run)
    }

    fn spec(&self, run: &TaskRun) -> &StageSpec {
        let spec = self.specs.get(&run.task.job);
        &spec.expect("the job was handed in").stages[run.task.stage as usize]
    }

    fn cores_of(&self, run: &TaskRun) -> f64 {
        self.spec(run).room.cpu_milli as f64 / 1000.0
    }

    fn class_of(&self, run: &TaskRun) -> usize {
        class_number(self.spec(run))
    }
}

/// Returns the number of what a stage runs.
fn class_number(stage: &StageSpec) -> usize {
    let class = stage.class.as_ref().expect("all have a class");
    class[1..].parse().expect("classes are numbered")
}

/// Returns the kind of a run's job and its number.
fn split(run: &TaskRun) -> (&str, usize) {
    let (kind, at) = run.task.job.as_str().split_once('-').expect("kind-number");
    (kind, at.parse().expect("jobs are numbered"))
}
