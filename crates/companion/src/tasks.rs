//! Tasks on the worker: started by grants, kept by answers, reported until recorded.

mod actor;
mod keeper;

pub(crate) use self::actor::TaskActor;
pub use self::keeper::{KeeperCfg, TaskKeeper, TimedCall};
