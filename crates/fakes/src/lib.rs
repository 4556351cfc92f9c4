//! Stand-ins for the platform and the targets, and load tools. Not shipped.

pub mod harm;
