//! Capacity, harm between neighbours, quotas, pre-emption and quarantine.
//!
//! [`Placer`] decides for one shard: the workers of a pool that one owner places
//! on. It does no I/O, reads no clock and draws no randomness of its own but from
//! its seed: the same calls give the same decisions.

mod cfg;
mod ledger;
mod placer;
mod types;

pub use cfg::PlacerCfg;
pub use placer::Placer;
pub use types::{
    Decision, Ended, EvictWhy, JobAsk, PlacedTask, QuarantineView, Summary, Verdict, WorkerView,
};
