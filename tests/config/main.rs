//! Propagation of tables to real entries and companions, under store outages, stale data and
//! malformed input.

mod binary;
mod garbage;
mod harness;
mod jobs;

use std::sync::Barrier;

use base::prelude::*;
use fakes::store::Outage;
use fakes::target::{ServiceTime, TargetServer, TargetSettings};
use fakes::worker::{WorkerServer, WorkerSettings};
use harness::{
    Cluster, client, companion, generation, is_listening, secured_companion, try_apply,
    wait_for_generation, wait_until,
};
use ops::{EntryPort, Exit, HttpEntry};
use ports::store::{Expect, Store, StoreCall};
use tables::TablesDoc;
use wire::Token;

fn target() -> TargetServer {
    TargetServer::start(TargetSettings {
        slots: 8,
        connections: 8,
        service_time: ServiceTime::Exponential(Duration::from_millis(1)),
        response_bytes: 64,
        seed: 1,
    })
}

fn worker() -> WorkerServer {
    WorkerServer::start(WorkerSettings::default(), Arc::new(base::SystemClock))
}

#[test]
fn applied_tables_become_active_on_entries_and_companions() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    let second = cluster.entry("second", &[]);
    let (target, worker) = (target(), worker());
    let companion = companion(target.addr(), worker.addr(), &[first.cfg().rpc_addr]);

    let applied = cluster.apply(3);

    wait_for_generation(first.http_addr(), applied);
    wait_for_generation(second.http_addr(), applied);
    wait_until(|| {
        let status = client(first.http_addr()).status().expect("status");
        status
            .targets
            .iter()
            .any(|target| target.generation == applied)
    });
    companion.kill();
    first.kill();
    second.kill();
}

#[test]
fn one_of_many_concurrent_applies_wins_and_the_others_conflict() {
    let cluster = Cluster::start();
    let base = cluster.apply(3);
    let appliers = 8;
    let barrier = Barrier::new(appliers);

    let results = std::thread::scope(|scope| {
        let run = |i: usize| {
            let (cluster, barrier) = (&cluster, &barrier);
            scope.spawn(move || {
                barrier.wait();
                try_apply(&cluster.store, 10 + i as u64, Some(base.0))
            })
        };
        let threads = (0..appliers).map(run).collect::<Vec<_>>();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("applier"))
            .collect::<Vec<_>>()
    });

    let (applied, rejected): (Vec<_>, Vec<_>) = results.into_iter().partition(Result::is_ok);
    assert_eq!(applied.len(), 1);
    for result in rejected {
        let failure = result.expect_err("conflict");
        assert_eq!(failure.exit(), Exit::Conflict, "{failure}");
    }
    assert_eq!(cluster.stored_generation(), base.next());
}

#[test]
fn lost_write_responses_lose_no_change_and_apply_none_twice() {
    let cluster = Cluster::start();
    let base = cluster.apply(3);

    for i in 0..5 {
        cluster.faults().lose_next_writes(2);
        let applied = try_apply(&cluster.store, 10 + i, Some(base.0 + i)).expect("applied");

        assert_eq!(applied.generation(), Generation(base.0 + i + 1));
    }

    assert_eq!(cluster.stored_generation(), Generation(base.0 + 5));
}

#[test]
fn entry_that_starts_in_an_outage_gets_the_tables_from_another_entry() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
    wait_for_generation(first.http_addr(), applied);
    cluster.faults().set_outage(Some(Outage::Refused));

    let second = cluster.entry("second", &[first.cfg().rpc_addr]);

    wait_for_generation(second.http_addr(), applied);
    first.kill();
    second.kill();
}

#[test]
fn entry_that_starts_in_an_outage_gets_the_tables_from_a_companion() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
    let (target, worker) = (target(), worker());
    let second = cluster.entry("second", &[]);
    wait_for_generation(first.http_addr(), applied);
    wait_for_generation(second.http_addr(), applied);
    let entries = [first.cfg().rpc_addr, second.cfg().rpc_addr];
    let companion = companion(target.addr(), worker.addr(), &entries);
    wait_until(|| {
        let status = client(second.http_addr()).status().expect("status");
        status
            .targets
            .iter()
            .any(|target| target.generation == applied)
    });
    cluster.faults().set_outage(Some(Outage::Refused));
    let http_addr = second.http_addr();
    let cfg = second.cfg().clone();
    first.kill();
    second.kill();
    // The listeners close a moment after the entry has stopped to respond.
    wait_until(|| !is_listening(http_addr) && !is_listening(cfg.rpc_addr));

    let third = entry::App::start(cfg, &harness::log());
    let third = third.expect("entry at the address configured in the companion");

    wait_for_generation(third.http_addr(), applied);
    companion.kill();
    third.kill();
}

#[test]
fn store_outage_leaves_the_active_tables_unchanged() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
    wait_for_generation(first.http_addr(), applied);

    cluster.faults().set_outage(Some(Outage::Refused));
    let refused = try_apply(&cluster.store, 4, Some(applied.0)).expect_err("outage");
    wait_until(|| {
        let status = client(first.http_addr()).status().expect("status");
        status.store.is_some_and(|store| !store.is_reachable)
    });
    let during = generation(first.http_addr());
    cluster.faults().set_outage(None);
    let after = cluster.apply(4);

    assert_eq!(refused.exit(), Exit::Unreachable);
    assert_eq!(during, applied);
    wait_for_generation(first.http_addr(), after);
    first.kill();
}

#[test]
fn stale_tables_in_the_store_never_become_active_again() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    cluster.apply(3);
    let old = cluster
        .store
        .call(&StoreCall::Get {
            key: TablesDoc::KEY.into(),
        })
        .expect("read");
    let ports::store::StoreReply::Got(Some(old)) = old else {
        panic!("no tables");
    };
    let newer = cluster.apply(4);
    wait_for_generation(first.http_addr(), newer);
    let reads = cluster.server.counts();

    let put = StoreCall::Put {
        key: TablesDoc::KEY.into(),
        value: old.value,
        expect: Expect::Any,
        lease: None,
    };
    cluster.store.call(&put).expect("write");
    wait_until(|| cluster.server.counts().reads >= reads.reads + 10);

    assert_eq!(generation(first.http_addr()), newer);
    assert_eq!(Promise::total_broken(), 0);
    first.kill();
}

#[test]
fn operator_calls_and_control_calls_need_the_secret() {
    let cluster = Cluster::start();
    let token = Token::new("hush");
    let entry = cluster.secured_entry("first", &token);
    let applied = cluster.apply(3);
    let with = HttpEntry::new(entry.http_addr(), Some(token));
    wait_until(|| {
        with.status()
            .is_ok_and(|status| status.entry.generation == applied)
    });

    let without = client(entry.http_addr()).status().expect_err("no secret");
    let wrong = HttpEntry::new(entry.http_addr(), Some(Token::new("hash"))).status();
    let control = ureq::post(format!("http://{}", entry.cfg().rpc_addr))
        .content_type("application/json")
        .send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"entry_gossip\"}");

    assert_eq!(without.kind(), ErrorKind::Refused);
    assert_eq!(wrong.expect_err("wrong secret").kind(), ErrorKind::Refused);
    assert!(matches!(control, Err(ureq::Error::StatusCode(401))));
    entry.kill();
}

#[test]
fn status_of_an_entry_shows_the_generations_of_its_peers() {
    let cluster = Cluster::start();
    let first = cluster.entry("first", &[]);
    let second = cluster.entry("second", &[]);

    let applied = cluster.apply(3);

    wait_until(|| {
        let status = client(first.http_addr()).status().expect("status");
        let generations = status.entries.iter().map(|entry| entry.generation);
        status.entries.len() == 2 && generations.min() == Some(applied)
    });
    first.kill();
    second.kill();
}

#[test]
fn metrics_count_requests_store_calls_and_targets() {
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
    let (target, worker) = (target(), worker());
    let companion = companion(target.addr(), worker.addr(), &[entry.cfg().rpc_addr]);
    let url = |path: &str| format!("http://{}{path}", entry.http_addr());
    wait_for_generation(entry.http_addr(), applied);

    let page = |path: &str| {
        let mut response = ureq::get(url(path)).call().expect("page");
        response.body_mut().read_to_string().expect("text")
    };
    wait_until(|| ureq::post(url("/style-check")).send("text").is_ok());
    // The watch may deliver the tables before the first read completes.
    let read = "monsoontrestle_store_calls_total{kind=\"get\",result=\"ok\"}";
    wait_until(|| page("/v1/metrics").contains(read));
    let text = page("/v1/metrics");
    let report = page("/v1/report?format=html");

    let answered = "monsoontrestle_requests_total{route=\"style-check\",outcome=\"answered\"} 1";
    assert!(text.contains(answered), "{text}");
    assert!(text.contains("monsoontrestle_targets 1"));
    assert!(text.contains(&format!("monsoontrestle_tables_generation {applied}")));
    assert!(report.contains("<td>style-check</td>"));
    companion.kill();
    entry.kill();
}

#[test]
fn only_processes_with_the_secret_join_the_cluster() {
    let cluster = Cluster::start();
    let token = Token::new("hush");
    let entry = cluster.secured_entry("first", &token);
    let applied = cluster.apply(3);
    let (target, worker) = (target(), worker());
    let entries = [entry.cfg().rpc_addr];
    let unauthenticated = companion(target.addr(), worker.addr(), &entries);
    let operator = HttpEntry::new(entry.http_addr(), Some(token.clone()));
    let targets = || operator.status().map_or(0, |status| status.targets.len());
    wait_until(|| {
        operator
            .status()
            .is_ok_and(|status| status.entry.generation == applied)
    });
    let targets_without_secret = targets();
    unauthenticated.kill();

    let companion = secured_companion(target.addr(), worker.addr(), &entries, Some(token));
    let url = format!("http://{}/style-check", entry.http_addr());
    wait_until(|| ureq::post(&url).send("text").is_ok());
    let direct = ureq::post(format!("http://{}/style-check", companion.http_addr())).send("text");

    assert_eq!(targets_without_secret, 0);
    assert_eq!(targets(), 1);
    assert!(matches!(direct, Err(ureq::Error::StatusCode(401))));
    companion.kill();
    entry.kill();
}
