//! The entry that takes jobs of stages and, when elected, owns them.
//!
//! Every entry serves callers. One of them, elected through a leased key of the
//! store, owns the jobs; the others pass on to it what their callers ask.

mod advice;
mod app;
mod cfg;
mod dialect;
mod elector;
mod event;
mod forward;
mod front;
mod load;
mod node;
mod rpc;
mod runtime;
mod store_pool;
mod table;

pub use advice::Advisor;
pub use app::{App, run};
pub use cfg::LeadCfg;
pub use dialect::{Answer, CallerRequest, Dialect, Verb};
pub use elector::{Call, Change, Elector, ElectorCfg};
pub use event::{Event, StoreToken};
pub use front::answer_time;
pub use jobs::owner::OwnerRecord;
pub use load::{Load, LoadStep, Loaded};
pub use node::{NodeCfg, Ports};
pub use runtime::Node;
pub use table::{Route, RouteTable, Sought};
