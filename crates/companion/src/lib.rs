//! The companion process beside each target and worker.

mod admit;
mod announce;
mod app;
mod cfg;
mod event;
mod http;
mod node;
mod ports;
mod rpc;
mod tasks;
mod worker_io;

pub use admit::{AdmitStep, RequestTable, StoredResponse, TableLimits};
pub use app::{App, run};
pub use cfg::{CompanionCfg, CompanionFlags, SUMMARY, companion_flags, companion_parser};
pub use event::{AdmitEvent, AdmitMeta, Event};
pub use node::Node;
pub use ports::{Ports, WorkerPort};
pub use tasks::{TaskTable, TaskTableCfg, TimedCall};
pub use worker_io::call_in_time;
