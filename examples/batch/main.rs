//! Measures the batch path: starts per second, submission latency, fail-over and recovery.
//!
//! `cargo run --release --example batch -- --help` lists the flags.

mod fleet;
mod load;
mod recover;

use base::prelude::*;
use bpaf::{OptionParser, Parser, construct, long};
use hdrhistogram::Histogram;

use crate::fleet::Fleet;
use crate::load::Load;

/// How long the load runs before the measurement.
const WARM_UP: Duration = Duration::from_secs(4);

/// How long to wait for the first start after the owner is killed.
const FAIL_OVER_WITHIN: Duration = Duration::from_secs(60);

/// The command line.
#[derive(Clone, Debug)]
struct Flags {
    rate: f64,
    seconds: u64,
    writes: f64,
    running: usize,
    finished: usize,
}

fn flags() -> OptionParser<Flags> {
    let rate = long("rate")
        .help("Jobs submitted a second")
        .argument::<f64>("N")
        .fallback(280.0);
    let seconds = long("seconds")
        .help("How long to count")
        .argument::<u64>("N")
        .fallback(15);
    let writes = long("store-writes")
        .help("Writes a second that the store takes")
        .argument::<f64>("N")
        .fallback(300.0);
    let running = long("running")
        .help("Running jobs to recover")
        .argument::<usize>("N")
        .fallback(9_300);
    let finished = long("finished")
        .help("Finished jobs to recover")
        .argument::<usize>("N")
        .fallback(19_000);
    construct!(Flags {
        rate,
        seconds,
        writes,
        running,
        finished
    })
    .to_options()
}

fn main() -> eyre::Result<()> {
    let flags = flags().run();
    recover::measure(flags.running, flags.finished)?;
    measure_starts(&flags)
}

/// Measures starts under load on a store with limited writes, then kills the owner and measures the
/// fail-over.
fn measure_starts(flags: &Flags) -> eyre::Result<()> {
    let fleet = Fleet::start(flags.writes)?;
    let load = Load::start(fleet.entry_addrs(), flags.rate);
    std::thread::sleep(WARM_UP);
    load.take_latencies();
    let before = fleet.store_counts();
    let began = Instant::now();
    std::thread::sleep(Duration::from_secs(flags.seconds));
    let ended = Instant::now();
    let after = fleet.store_counts();
    let elapsed = (ended - began).as_secs_f64();
    let starts = fleet.starts(began, ended);
    let latencies = load.take_latencies();

    println!("starts a second        {:10.1}", starts as f64 / elapsed);
    print_latencies(&latencies);
    let writes = after.writes - before.writes;
    println!("store writes a second  {:10.1}", writes as f64 / elapsed);
    println!(
        "store writes a start   {:10.3}",
        writes as f64 / starts.max(1) as f64
    );
    let reads = after.reads - before.reads;
    println!("store reads a second   {:10.1}", reads as f64 / elapsed);
    println!("store calls shed       {:10}", after.shed - before.shed);

    let killed = fleet.kill_owner()?;
    let first = fleet.first_start_after(killed, FAIL_OVER_WITHIN);
    match first {
        Some(at) => println!(
            "owner killed to start  {:10.2} s",
            (at - killed.0).as_secs_f64()
        ),
        None => println!("owner killed to start      never"),
    }
    load.stop();
    println!(
        "jobs that took effect twice {:5}",
        fleet.duplicate_effects()
    );
    println!("promises broken        {:10}", Promise::total_broken());
    fleet.stop();
    Ok(())
}

fn print_latencies(latencies: &Histogram<u64>) {
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    println!("submissions accepted   {:10}", latencies.len());
    println!("submit p50             {:10.1} ms", ms(0.5));
    println!("submit p99             {:10.1} ms", ms(0.99));
}
