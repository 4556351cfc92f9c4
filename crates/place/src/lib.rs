//! Capacity, interference between co-located tasks, quotas, pre-emption and quarantine.
//!
//! [`Placer`] decides for one shard: the workers of a pool that one owner places on. It does no
//! I/O, reads no clock and draws random numbers only from its seeded generator, so the same calls
//! give the same decisions.

mod cfg;
mod choose;
mod common_slowdown;
mod escalation;
mod free_index;
mod health;
mod interference;
mod ledger;
mod mitigation;
mod placer;
mod preempt;
mod queue;
mod quota;
mod reservation;
mod rounds;
mod rows;
mod sample;
mod types;
mod usage;

pub use cfg::{Choice, EscalationCfg, Features, HealthCfg, InterferenceCfg, PlacerCfg, QueueCfg};
pub use interference::{ClassId, Interference, InterferenceEstimate, InterferenceOracle, Mix};
pub use placer::Placer;
pub use types::{
    Decision, Ended, EvictReason, Feasibility, PlacedTask, PlacementRequest, QuarantineView,
    Summary, WorkerView,
};
