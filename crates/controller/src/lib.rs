//! The process that takes part in the election and, when elected, hosts the owner of the jobs.
//!
//! Every entry serves callers. One of them, elected through a leased key in the
//! store, owns the jobs; the others forward their callers' requests to it.

mod advice;
mod app;
mod cfg;
mod codec;
mod cordons;
mod elector;
mod event;
mod forward;
mod front;
mod load;
mod node;
mod owner_health;
mod rpc;
mod runtime;
mod store_pool;
mod table;

pub use advice::Advisor;
pub use app::{App, run};
pub use cfg::{ControllerCfg, CordonCfg};
pub use codec::{CallerCodec, CallerRequest, CallerResponse, Verb};
pub use cordons::CordonReader;
pub use elector::{Call, Change, Clocks, Elector, ElectorCfg};
pub use event::{Event, StoreToken};
pub use front::response_timeout;
pub use jobs::owner::OwnerRecord;
pub use load::{Load, LoadStep, Loaded};
pub use node::{NodeCfg, Ports};
pub use owner_health::{CallEnd, OwnerHealth};
pub use runtime::Node;
pub use table::{Route, RouteMatch, RouteTable};
