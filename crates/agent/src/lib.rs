//! The companion of a worker that runs tasks of staged jobs.
//!
//! It is the only caller of its worker. It receives the worker's heartbeats,
//! reports to the owner of the jobs, and carries out the orders in the owner's replies.

mod app;
mod event;
mod incarnation;
mod node;
mod ports;
mod starts;
mod state;
mod sync;
mod worker_clock;

pub use app::{AgentCfg, App, run};
pub use event::{Event, LongPollDone};
pub use node::{Node, OutboundCalls};
pub use ports::{
    Heartbeat, HeartbeatCodec, LongPollCall, LongPollReply, Runner, StartCall, StartReply,
    StopCall, ThrottleCall, WorkerMessage,
};
pub use state::{Action, AgentState};
