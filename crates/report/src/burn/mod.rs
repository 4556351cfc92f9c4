//! How fast each objective's error budget is spent.
//!
//! An objective allows a share of `1 - share` of its requests or jobs to miss its time. The burn
//! rate is the share that missed over the share allowed: at 1 the budget is spent exactly.

mod meter;
mod page;
mod report;
mod ring;
mod text;

pub use meter::{BurnMeter, Sample};
pub use report::{
    Alarm, BurnReport, BurnSnapshot, Counts, Offender, RouteBurn, RouteReport, Window,
};
