//! Tasks on the worker: orders of the owner, renewal of their leases, and reports of their ends.

mod actor;
mod table;

pub(crate) use self::actor::TaskActor;
pub use self::table::{TaskTable, TaskTableCfg, TimedCall};
