//! The schedule of the faults of a run, drawn from its seed.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// An entry dies and is replaced later.
    EntryKilled,
    /// An entry is paused, often for longer than its lease.
    EntryPaused,
    /// An entry is shut down gracefully and replaced.
    EntryStopped,
    /// A companion dies and is started again; the tasks on its VM keep running.
    CompanionKilled,
    /// A companion is paused.
    CompanionPaused,
    /// A worker VM is lost with its companion and replaced by an empty one.
    WorkerLost,
    /// All worker VMs of a rack are lost.
    RackLost,
    /// All worker VMs and entries of an availability zone are lost.
    ZoneLost,
    /// A worker does not respond to its companion.
    WorkerUnreachable,
    /// Every task that a worker starts fails.
    WorkerFails,
    /// A worker is ten times slower.
    WorkerSlow,
    /// The store does not respond to any call.
    StoreDown,
    /// Both the effects and the replies of store calls are late.
    StoreSlow,
    /// Replies of the store are lost after the call took effect.
    StoreLosesAnswers,
    /// Messages between processes are lost, delayed, duplicated and reordered.
    BadLinks,
    /// One process is partitioned from all others.
    CutOff,
    /// Two operators edit the tables concurrently.
    TablesEdited,
    /// Many jobs are cancelled at once.
    CancelWave,
    /// Many jobs that declare unusually many cores arrive at once.
    NoisyWave,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 19] = [
        Self::EntryKilled,
        Self::EntryPaused,
        Self::EntryStopped,
        Self::CompanionKilled,
        Self::CompanionPaused,
        Self::WorkerLost,
        Self::RackLost,
        Self::ZoneLost,
        Self::WorkerUnreachable,
        Self::WorkerFails,
        Self::WorkerSlow,
        Self::StoreDown,
        Self::StoreSlow,
        Self::StoreLosesAnswers,
        Self::BadLinks,
        Self::CutOff,
        Self::TablesEdited,
        Self::CancelWave,
        Self::NoisyWave,
    ];

    /// Returns the relative frequency of the kind.
    fn weight(self) -> u32 {
        match self {
            Self::ZoneLost => 1,
            Self::RackLost => 2,
            Self::EntryPaused | Self::EntryKilled | Self::StoreLosesAnswers | Self::BadLinks => 8,
            _ => 5,
        }
    }

    /// Returns the longest duration of the fault.
    fn longest(self) -> Duration {
        match self {
            Self::StoreDown => Duration::from_secs(400),
            Self::EntryPaused | Self::CompanionPaused | Self::CutOff => Duration::from_secs(90),
            Self::TablesEdited | Self::CancelWave | Self::NoisyWave => Duration::from_secs(1),
            _ => Duration::from_secs(60),
        }
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The start of the fault, relative to the start of the run.
    pub at: Duration,
    /// The duration of the fault.
    pub lasts: Duration,
    /// The kind of fault.
    pub kind: FaultKind,
    /// A random number that selects the affected process, worker, rack or zone.
    pub pick: u32,
}

/// Draws the faults of a run of length `span`, with a mean gap of `every` between them.
///
/// One in four follows the previous one within 3 seconds, so that faults overlap and repeat.
pub fn plan_faults(rng: &mut ChaCha8Rng, span: Duration, every: Duration) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let together = rng.random_bool(0.25);
        let gap = if together {
            rng.random_range(Duration::ZERO..Duration::from_secs(3))
        } else {
            rng.random_range(Duration::ZERO..every * 2)
        };
        at += gap;
        if at >= span {
            return faults;
        }
        faults.push(draw_fault(rng, at));
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, at: Duration) -> Fault {
    let kind = *FaultKind::ALL
        .choose_weighted(rng, |kind| kind.weight())
        .expect("weights are not all zero");
    // Squaring favours short faults without excluding long ones.
    let share: f64 = rng.random_range(0.0..1.0);
    Fault {
        at,
        lasts: kind.longest().mul_f64(share * share),
        kind,
        pick: rng.random(),
    }
}
