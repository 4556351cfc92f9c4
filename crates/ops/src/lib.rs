//! The operator commands.
