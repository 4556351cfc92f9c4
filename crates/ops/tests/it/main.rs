//! Tests of the operator commands.

mod account;
mod apply;
mod commands;
mod common;
mod explain;
