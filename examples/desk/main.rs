//! Runs a whole desk on loopback: store, entries, workers, targets and companions in one process.
//!
//! It applies the desk's two tables, sends quick requests, submits batch jobs and
//! standing work, brings on the fault asked for, and accounts for all of it. The last
//! line is one JSON object.

mod accounts;
mod faults;
mod flags;
mod fleet;
mod load;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use base::Promise;

use crate::accounts::Accounts;
use crate::flags::Flags;
use crate::fleet::Fleet;
use crate::load::Load;

/// How long jobs may take to end after the load has ended.
const SETTLE: Duration = Duration::from_secs(60);

fn main() -> ExitCode {
    match run(&flags::flags().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("desk: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the desk; returns whether every promise held.
fn run(flags: &Flags) -> eyre::Result<bool> {
    eprintln!("desk: starting {} (seed {})", flags.desk.name(), flags.seed);
    let fleet = Fleet::start(flags)?;
    fleet.apply_tables()?;
    fleet.wait_until_ready()?;
    let stop = AtomicBool::new(false);
    let load = Load::new(flags, fleet.entry_addrs());
    let began = Instant::now();
    std::thread::scope(|scope| {
        load.start(scope, &stop);
        scope.spawn(|| faults::bring_on(flags, &fleet, began));
        progress(flags, &load, began);
        stop.store(true, Ordering::Release);
    });
    eprintln!("desk: load has ended; waiting for jobs");
    load.settle(began + Duration::from_secs(flags.seconds) + SETTLE);
    let accounts = Accounts::take(flags, &load, &fleet);
    accounts.print_table();
    for counts in Promise::counts() {
        println!(
            "promise {:<16} checked {:>9} broken {}",
            counts.promise.as_str(),
            counts.checked,
            counts.broken
        );
    }
    println!("{}", serde_json::to_string(&accounts)?);
    fleet.stop();
    Ok(accounts.is_clean())
}

/// Prints how far the run has come until its time is over.
fn progress(flags: &Flags, load: &Load, began: Instant) {
    let length = Duration::from_secs(flags.seconds);
    while began.elapsed() < length {
        std::thread::sleep(Duration::from_secs(1).min(length.saturating_sub(began.elapsed())));
        eprintln!(
            "desk: {:>2} s: {} requests answered, {} jobs submitted",
            began.elapsed().as_secs(),
            load.answered(),
            load.submitted()
        );
    }
}
