//! The companion of a worker that runs tasks of staged jobs.
//!
//! It is the only caller of its worker. It receives the worker's heartbeats,
//! reports to the owner of the jobs, and carries out the orders in the owner's replies.
//!
//! The binary of the crate `companion` runs it on the users' platform (command `site`); without
//! that command, the binary runs the companion of that crate. In this crate, "agent" is the actor
//! and its state.

mod app;
mod candidates;
mod concluded;
mod crashes;
mod event;
mod heartbeats;
mod incarnation;
mod node;
mod orders;
mod ports;
mod provenance;
mod starts;
mod state;
mod sync;
mod worker_clock;

pub use app::{AgentCfg, App, run};
pub use event::{Event, IdentityDone, LongPollDone};
pub use node::{Node, OutboundCalls};
pub use ports::{
    Heartbeat, HeartbeatCodec, IdentityCall, IdentityReply, LongPollCall, LongPollReply, Runner,
    StartCall, StartReply, StopCall, ThrottleCall, WorkerMessage,
};
pub use state::{Action, AgentState};
