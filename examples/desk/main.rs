//! Runs a whole desk on loopback: store, entries, workers, targets and companions in one process.
//!
//! It applies the desk's two tables, sends quick requests, submits batch jobs and standing tasks,
//! injects the requested fault, and accounts for all requests and jobs. The last line is one JSON
//! object.

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

/// Time within which jobs must end after the load has ended.
const SETTLING_TIME: Duration = Duration::from_secs(60);

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

/// Runs the desk; returns true if no work was lost or ran twice and no promise was broken.
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
        scope.spawn(|| faults::inject(flags, &fleet, began));
        print_progress(flags, &load, began);
        stop.store(true, Ordering::Release);
    });
    eprintln!("desk: load has ended; waiting for jobs");
    load.wait_for_jobs(began + Duration::from_secs(flags.seconds) + SETTLING_TIME);
    let accounts = Accounts::collect(flags, &load, &fleet);
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

/// Prints the progress once a second until the load ends.
fn print_progress(flags: &Flags, load: &Load, began: Instant) {
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
