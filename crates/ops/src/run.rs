//! Runs a command with the system clock, the terminal and network connections.

use std::io::{self, BufRead, IsTerminal, Write};
use std::thread;

use base::SystemClock;
use base::prelude::*;
use ports::HttpStore;
use ports::store::Store;

use crate::cli::{EntryFlags, StoreFlags};
use crate::{Command, Context, EntryPort, Exit, HttpEntry, execute};

const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a command, prints its output and returns its exit code.
pub fn run(command: &Command) -> Exit {
    let (written, exit) = match execute(&SystemContext, &command.action) {
        Ok(outcome) if command.json => (print(&outcome.json.to_string()), outcome.exit),
        Ok(outcome) => (print(&outcome.text), outcome.exit),
        Err(failure) if command.json => (print(&failure.json().to_string()), failure.exit()),
        Err(failure) => {
            eprintln!("{failure}");
            (Ok(()), failure.exit())
        }
    };
    // A reader that closed the pipe, such as a pager, is no failure of the command.
    match written {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Exit::Fault,
        _ => exit,
    }
}

fn print(text: &str) -> io::Result<()> {
    writeln!(io::stdout(), "{}", text.trim_end())
}

/// The system clock, the terminal and network connections.
#[derive(Debug)]
struct SystemContext;

impl Context for SystemContext {
    fn store(&self, flags: &StoreFlags) -> Result<Box<dyn Store>> {
        Ok(Box::new(HttpStore::new(flags.addr, STORE_TIMEOUT)))
    }

    fn entry(&self, flags: &EntryFlags) -> Result<Box<dyn EntryPort>> {
        Ok(Box::new(HttpEntry::new(flags.addr, flags.token.resolve()?)))
    }

    fn clock(&self) -> &dyn Clock {
        &SystemClock
    }

    fn nonce(&self) -> Nonce {
        Nonce(rand::random())
    }

    fn confirm(&self, question: &str) -> Option<bool> {
        if !io::stdin().is_terminal() {
            return None;
        }
        eprint!("{question} [y/N] ");
        let mut answer = String::new();
        io::stdin().lock().read_line(&mut answer).ok()?;
        Some(matches!(answer.trim(), "y" | "Y" | "yes"))
    }

    fn pause(&self) -> fn(Duration) {
        thread::sleep
    }
}
