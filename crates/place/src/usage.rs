//! Measured resource use and run times of each class, relative to the declared ones.

use base::prelude::*;

use crate::interference::ClassId;

/// A running mean with its variance.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    mean: f64,
    variance: f64,
    samples: u32,
}

/// The statistics of one class, as ratios to the declared values; checkpoints in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct ClassUse {
    cpu: Moments,
    memory: Moments,
    run_time: Moments,
    checkpoint: Moments,
}

/// Corrections of declared sizes and run times, by class.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    classes: IndexMap<ClassId, ClassUse>,
}

/// The least weight of a new sample in a mean.
const MIN_GAIN: f64 = 0.02;
/// How many samples a correction of sizes requires.
const MIN_SAMPLES: u32 = 20;
/// How many runs a correction of run times requires.
const MIN_RUNS: u32 = 3;
/// The margin of a grant above the mean use, in standard deviations.
const GRANT_MARGIN: f64 = 1.0;

/// Records the share of its declared amount that a task used.
///
/// A task that uses all of a raised grant is ignored: some tasks use whatever they are given, and
/// their grants would rise without bound.
fn record_share(moments: &mut Moments, declared: u64, granted: u64, used: u64) {
    let raised = granted > declared;
    if declared > 0 && (!raised || used < granted) {
        moments.add(used as f64 / declared as f64);
    }
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(MIN_GAIN);
        let deviation = value - self.mean;
        self.mean += gain * deviation;
        self.variance = (1.0 - gain) * (self.variance + gain * deviation * deviation);
    }

    fn upper(&self) -> f64 {
        self.mean + GRANT_MARGIN * self.variance.sqrt()
    }
}

impl Usage {
    /// Records the use of an unthrottled task relative to its declared size.
    pub(crate) fn record_use(
        &mut self,
        class: ClassId,
        declared: Resources,
        granted: Resources,
        cpu: u64,
        memory: u64,
    ) {
        let row = self.classes.entry(class).or_default();
        record_share(&mut row.cpu, declared.cpu_milli, granted.cpu_milli, cpu);
        record_share(
            &mut row.memory,
            declared.memory_mib,
            granted.memory_mib,
            memory,
        );
    }

    /// Records the measured run time of a job relative to its declared one.
    pub(crate) fn record_run(&mut self, class: ClassId, declared: Duration, measured: Duration) {
        if declared > Duration::ZERO {
            let ratio = measured.as_secs_f64() / declared.as_secs_f64();
            self.classes.entry(class).or_default().run_time.add(ratio);
        }
    }

    /// Records how long a checkpoint took.
    pub(crate) fn record_checkpoint(&mut self, class: ClassId, took: Duration) {
        let row = self.classes.entry(class).or_default();
        row.checkpoint.add(took.as_secs_f64());
    }

    /// Returns the expected run time of an undisturbed run.
    pub(crate) fn run_time(&self, class: ClassId, declared: Duration) -> Duration {
        match self.classes.get(&class) {
            Some(row) if row.run_time.samples >= MIN_RUNS => {
                declared.mul_f64(row.run_time.mean.clamp(0.1, 10.0))
            }
            _ => declared,
        }
    }

    /// Returns the expected duration of a checkpoint, in seconds.
    pub(crate) fn checkpoint_secs(&self, class: ClassId) -> f64 {
        match self.classes.get(&class) {
            Some(row) if row.checkpoint.samples > 0 => row.checkpoint.mean,
            _ => 1.0,
        }
    }

    /// Returns the resources to grant: the declared size, corrected by a factor within `floor` and
    /// `ceiling`.
    pub(crate) fn grant(
        &self,
        class: ClassId,
        declared: Resources,
        floor: f64,
        ceiling: f64,
    ) -> Resources {
        let Some(row) = self.classes.get(&class) else {
            return declared;
        };
        let scale = |amount: u64, use_: &Moments, floor: f64| {
            if use_.samples < MIN_SAMPLES {
                return amount;
            }
            (amount as f64 * use_.upper().clamp(floor, ceiling)).ceil() as u64
        };
        Resources {
            cpu_milli: scale(declared.cpu_milli, &row.cpu, floor),
            // A task that runs out of memory is killed, so memory is never granted below the
            // declared size.
            memory_mib: scale(declared.memory_mib, &row.memory, 1.0),
            accelerators: declared.accelerators,
        }
    }
}
