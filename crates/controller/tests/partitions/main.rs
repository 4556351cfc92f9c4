//! Entries, companions and the store behind links that fail at random: no task runs twice.

mod entry;
mod network;
mod play;
mod vm;

use play::Play;

/// How many seeds are played unless `PARTITION_SEEDS` says otherwise.
const SEEDS: u64 = 30;

/// Guards against an owner that takes what it cannot hear for ended while another owner goes on.
#[test]
fn no_task_runs_twice_whoever_is_cut_off_from_whom() {
    let seeds = std::env::var("PARTITION_SEEDS");
    let seeds = seeds.map_or(SEEDS, |seeds| seeds.parse().expect("a number"));

    let failures: Vec<String> = (0..seeds)
        .filter_map(|seed| Play::run(seed).err())
        .collect();

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
