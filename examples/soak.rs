//! Runs the real actors under random faults in virtual time and checks the invariants.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use soak::{Simulation, SoakCfg};

/// Seconds per hour.
const SECS_PER_HOUR: f64 = 3600.0;

/// The command line.
#[derive(Clone, Debug)]
struct Flags {
    seed: u64,
    seeds: u64,
    hours: f64,
    trace: bool,
}

fn flags() -> OptionParser<Flags> {
    let seed = long("seed")
        .help("What everything is drawn from")
        .argument::<u64>("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("How many runs to make, with seeds from --seed on")
        .argument::<u64>("COUNT")
        .fallback(1);
    let hours = long("hours")
        .help("Virtual hours of faults; a quiet hour follows")
        .argument::<f64>("H")
        .guard(|hours| (0.0..=1000.0).contains(hours), "expected 0 to 1000")
        .fallback(1.0);
    let trace = long("trace")
        .help("Write the trace and the logs to standard error")
        .switch();
    construct!(Flags {
        seed,
        seeds,
        hours,
        trace
    })
    .to_options()
    .descr("Long randomised run over the real actors, in virtual time.")
}

fn main() -> ExitCode {
    let flags = flags().run();
    let fault_duration = Duration::from_secs_f64(flags.hours * SECS_PER_HOUR);
    let mut total = 0;
    for seed in flags.seed..flags.seed + flags.seeds {
        let cfg = SoakCfg {
            prints: flags.trace,
            ..SoakCfg::new(seed, fault_duration)
        };
        let report = Simulation::new(cfg).run();
        total += report.violations.len();
        println!("{report}");
    }
    if flags.seeds > 1 {
        println!("total violations {total} over {} seeds", flags.seeds);
    }
    if total == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
