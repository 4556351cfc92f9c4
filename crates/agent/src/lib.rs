//! The companion of a worker that runs tasks of staged jobs.
//!
//! It is the only caller of its worker. It hears the worker's heartbeats,
//! reports to the owner of the jobs, and carries out what the owner answers.

mod app;
mod event;
mod keeper;
mod life;
mod node;
mod ports;
mod starts;
mod sync;
mod worker_clock;

pub use app::{AgentCfg, App, run};
pub use event::{Event, HoldDone};
pub use keeper::{Act, Keeper};
pub use node::{Node, Outside};
pub use ports::{
    Heartbeat, HeartbeatDialect, HoldCall, HoldReply, PaceCall, Runner, StartCall, StartReply,
    StopCall, WorkerSays,
};
