//! Fakes of the platform and the targets, and test tools. Not shipped.

pub mod history;
pub mod http;
pub mod interference;
pub mod process;
pub mod relay;
pub mod store;
pub mod target;
pub mod timing;
pub mod worker;
