//! The commands. Each takes parsed flags and a [`Context`] and returns an [`Outcome`].

mod config;
mod fleet;
mod jobs;

use std::fmt;

use base::prelude::*;
use ports::store::Store;

use crate::cli::{Action, EntryFlags, StoreFlags};
use crate::{EntryPort, Failure, Outcome};

/// The external services that commands use.
pub trait Context: fmt::Debug {
    /// Connects to the store.
    ///
    /// # Errors
    ///
    /// Fails if the settings are wrong.
    fn store(&self, flags: &StoreFlags) -> Result<Box<dyn Store>>;

    /// Connects to an entry.
    ///
    /// # Errors
    ///
    /// Fails if the settings are wrong.
    fn entry(&self, flags: &EntryFlags) -> Result<Box<dyn EntryPort>>;

    /// Returns the clock.
    fn clock(&self) -> &dyn Clock;

    /// Returns a random number that identifies this run of the program.
    fn nonce(&self) -> Nonce;

    /// Asks the operator for confirmation; returns `None` if there is no terminal.
    fn confirm(&self, question: &str) -> Option<bool>;

    /// Returns the function that sleeps for a duration.
    fn pause(&self) -> fn(Duration);
}

/// Runs a command.
///
/// # Errors
///
/// Fails with the reason and the exit code.
pub fn execute(cx: &dyn Context, action: &Action) -> Result<Outcome, Failure> {
    match action {
        Action::Check { files } => config::check(files),
        Action::Diff {
            files,
            store,
            generation,
        } => config::diff(cx, files, store, *generation),
        Action::Apply {
            files,
            store,
            flags,
        } => config::apply(cx, files, store, flags),
        Action::Show {
            store,
            generation,
            out,
        } => config::show(cx, store, *generation, out.as_deref()),
        Action::History { store } => config::history(cx, store),
        Action::Rollback { store, to, flags } => {
            config::rollback(cx, store, Generation(*to), flags)
        }
        Action::Status { entry } => fleet::status(cx, entry),
        Action::Drain { entry, target } => fleet::drain(cx, entry, target),
        Action::Report { entry, format, out } => fleet::report(cx, entry, *format, out.as_deref()),
        Action::Submit { entry, job } => jobs::submit(cx, entry, job),
        Action::Job { entry, jobs } => jobs::show(cx, entry, jobs),
        Action::Cancel { entry, jobs } => jobs::cancel(cx, entry, jobs),
    }
}
