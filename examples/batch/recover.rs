//! Measures the recovery of a shard of the intended size from a store behind HTTP.

use base::SystemClock;
use base::prelude::*;
use fakes::store::StoreServer;
use journal::{Change, Effect, Owner, OwnerCfg};
use ports::HttpStore;
use ports::store::Store;
use tables::Priority;
use wire::{JobSpec, TaskEnd};

/// Response time of the store while the shard is recovered.
const STORE_DELAY: Duration = Duration::from_millis(3);

/// Timeout of one store call.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a job's payload, in bytes.
const PAYLOAD_BYTES: usize = 200;

/// Fills a shard, then measures how long a new owner takes to recover it.
pub(crate) fn measure(running: usize, finished: usize) -> Result<()> {
    let server = StoreServer::start(Arc::new(SystemClock));
    let store = HttpStore::new(server.addr(), STORE_TIMEOUT);
    let mut writer = owner("writer");
    drive(&mut writer, &store, |owner| owner.epoch().is_some())?;
    fill(&mut writer, &store, running, finished)?;
    let writes = server.counts().writes;
    writer.resign(Instant::now(), true);
    drive(&mut writer, &store, Owner::has_resigned)?;
    server.faults().set_delay(STORE_DELAY);

    let before = resident_mib();
    let mut reader = owner("reader");
    let began = Instant::now();
    drive(&mut reader, &store, |owner| owner.epoch().is_some())?;
    let took = began.elapsed();
    let memory = resident_mib().saturating_sub(before);

    assert_eq!(reader.state().jobs().len(), running + finished);
    println!("jobs recovered         {:10}", reader.state().jobs().len());
    println!("writes to fill         {writes:10}");
    println!("recovery               {:10.2} s", took.as_secs_f64());
    println!("memory of the state    {memory:10} MiB");
    println!("log bytes a task       {:10}", bytes_of_a_task());
    Ok(())
}

fn owner(entry: &str) -> Owner {
    let cfg = OwnerCfg {
        shard: ShardId(1),
        pool: "steps".into(),
        entry: entry.into(),
        rpc_addr: ([127, 0, 0, 1], 1).into(),
        lease_ttl: Duration::from_secs(60),
        drift: OwnerCfg::DRIFT,
        commit_window: Duration::ZERO,
        retry_after: OwnerCfg::RETRY_AFTER,
        snapshot_bytes: OwnerCfg::SNAPSHOT_BYTES,
    };
    Owner::new(cfg, Instant::now(), 1)
}

/// Performs the owner's store calls until `is_done` holds and no effects are pending.
fn drive(owner: &mut Owner, store: &dyn Store, is_done: impl Fn(&Owner) -> bool) -> Result<()> {
    loop {
        owner.tick(Instant::now());
        let effects = owner.take_effects();
        if is_done(owner) && effects.is_empty() {
            return Ok(());
        }
        for effect in effects {
            match effect {
                Effect::Store { id, call, .. } => {
                    let reply = store.call(&call);
                    owner.reply(Instant::now(), id, reply);
                }
                Effect::Stuck(e) => return Err(e),
                _ => {}
            }
        }
    }
}

fn fill(owner: &mut Owner, store: &dyn Store, running: usize, finished: usize) -> Result<()> {
    for number in 0..running + finished {
        for change in changes(number, number >= running) {
            owner.propose(Instant::now(), change);
        }
    }
    drive(owner, store, |owner| owner.backlog() == 0)
}

/// Returns the journal changes of a job from its submission on.
fn changes(number: usize, is_finished: bool) -> Vec<Change> {
    let job = JobId::new(format!("1-1-{number}"));
    let key = TaskKey {
        job: job.clone(),
        attempt: Attempt(1),
    };
    let mut changes = vec![
        Change::Submitted {
            job,
            spec: Box::new(spec(number)),
            at_ms: 1_700_000_000_000,
        },
        Change::Assigned {
            key: key.clone(),
            worker: format!("runner-{}", number % 1_200).into(),
            granted: Resources::new(4, 8_192, 0),
        },
    ];
    if is_finished {
        let end = TaskEnd::Finished;
        changes.push(Change::Ended { key, end });
    }
    changes
}

fn spec(number: usize) -> JobSpec {
    JobSpec {
        key: format!("manuscript-{number}-proof").into(),
        route: "proof".into(),
        pool: "steps".into(),
        team: "press".into(),
        class: "proof".into(),
        priority: Priority::Normal,
        resources: Resources::new(4, 8_192, 0),
        run_time: Some(Duration::from_secs(1_200)),
        finish_within: Some(Duration::from_secs(28_800)),
        max_failures: 3,
        after: None,
        payload: "x".repeat(PAYLOAD_BYTES).into(),
    }
}

fn bytes_of_a_task() -> usize {
    changes(12_345, true).iter().map(Change::encoded_len).sum()
}

/// Returns the resident memory of this process, in MiB.
fn resident_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) / 1_024
}
