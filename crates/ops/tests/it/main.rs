//! Tests of the operator commands.

mod apply;
mod commands;
mod common;
mod explain;
