//! The faults of a run, drawn from its seed.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// An entry dies and is replaced later.
    EntryKilled,
    /// An entry stands still, often past its lease.
    EntryPaused,
    /// An entry is stopped as planned and replaced.
    EntryStopped,
    /// A companion dies and is started again; what runs beside it goes on.
    CompanionKilled,
    /// A companion stands still.
    CompanionPaused,
    /// A worker VM is lost with its companion and replaced by an empty one.
    WorkerLost,
    /// All worker VMs of a rack are lost.
    RackLost,
    /// All that is in an availability zone is lost.
    ZoneLost,
    /// A worker does not answer its companion.
    WorkerUnreachable,
    /// A worker fails everything it starts.
    WorkerFails,
    /// A worker is ten times slower.
    WorkerSlow,
    /// The store answers no call.
    StoreDown,
    /// The store answers late, and so do effects.
    StoreSlow,
    /// Answers of the store are lost after the effect.
    StoreLosesAnswers,
    /// Messages between processes are lost, late, doubled and reordered.
    BadLinks,
    /// One process hears no other, and none hears it.
    CutOff,
    /// Two operators edit the tables at once.
    TablesEdited,
    /// Many jobs are cancelled at once.
    CancelWave,
    /// Many jobs arrive at once, whose declarations are far off.
    NoisyWave,
}

impl FaultKind {
    /// Every kind.
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

    /// Returns how often the kind is drawn beside others.
    fn weight(self) -> u32 {
        match self {
            Self::ZoneLost => 1,
            Self::RackLost => 2,
            Self::EntryPaused | Self::EntryKilled | Self::StoreLosesAnswers | Self::BadLinks => 8,
            _ => 5,
        }
    }

    /// Returns the longest time that the fault lasts.
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
    /// When it begins, after the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What fails.
    pub kind: FaultKind,
    /// Draws which process, worker, rack or zone it concerns.
    pub pick: u32,
}

/// Draws the faults of a run of length `span`, with a mean time of `every` between them.
///
/// One in four is followed at once by another, so that faults meet and come twice.
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
    // The square favours short faults; long ones come all the same.
    let share: f64 = rng.random_range(0.0..1.0);
    Fault {
        at,
        lasts: kind.longest().mul_f64(share * share),
        kind,
        pick: rng.random(),
    }
}
