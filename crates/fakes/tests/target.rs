//! The target, the relay and their faults.

use std::net::SocketAddr;
use std::time::Duration;

use fakes::relay::{Direction, Relay};
use fakes::target::{REQUEST_ID, ServiceTime, TargetFault, TargetServer, TargetSettings};
use ureq::{Agent, Error};

const LONG: Duration = Duration::from_secs(60);
const SHORT: Duration = Duration::from_millis(300);

fn send(agent: &Agent, addr: SocketAddr, id: &str, timeout: Duration) -> Result<String, Error> {
    agent
        .post(format!("http://{addr}/"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .header(REQUEST_ID, id)
        .send("body")
        .and_then(|mut resp| {
            resp.body_mut().read_to_vec()?;
            Ok(resp.headers()[REQUEST_ID].to_str().unwrap().to_owned())
        })
}

fn wait_for_run(target: &TargetServer, id: &str) {
    while !target.counts().runs.contains_key(id) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn echoes_the_id_and_counts_runs() {
    let target = TargetServer::start(TargetSettings::default());

    let echoed = send(&Agent::new_with_defaults(), target.addr(), "r-1", LONG).unwrap();
    send(&Agent::new_with_defaults(), target.addr(), "r-1", LONG).unwrap();

    assert_eq!(echoed, "r-1");
    assert_eq!(target.counts().runs["r-1"], 2);
}

#[test]
fn counts_requests_that_run_beyond_the_slots() {
    let settings = TargetSettings {
        slots: 1,
        service_time: ServiceTime::Fixed(Duration::from_millis(300)),
        ..TargetSettings::default()
    };
    let target = TargetServer::start(settings);

    let addr = target.addr();
    let sent: Vec<_> = ["a", "b", "c"]
        .into_iter()
        .map(|id| {
            std::thread::spawn(move || send(&Agent::new_with_defaults(), addr, id, LONG).unwrap())
        })
        .collect();
    for thread in sent {
        thread.join().unwrap();
    }

    let counts = target.counts();
    assert_eq!(counts.answered, 3);
    assert_eq!(counts.running, 0);
    assert_eq!(counts.over_slots > 0, counts.max_running > 1);
}

#[test]
fn truncated_response_fails_the_call() {
    let target = TargetServer::start(TargetSettings::default());
    target.set_fault(TargetFault::TruncatedResponses);

    let cut = send(&Agent::new_with_defaults(), target.addr(), "r-1", SHORT);

    cut.unwrap_err();
    wait_for_run(&target, "r-1");
    assert_eq!(target.counts().runs["r-1"], 1);
}

#[test]
fn hanging_target_runs_nothing() {
    let target = TargetServer::start(TargetSettings::default());
    target.set_fault(TargetFault::Hangs);

    let hung = send(&Agent::new_with_defaults(), target.addr(), "r-1", SHORT);

    hung.unwrap_err();
    assert_eq!(target.counts().runs.len(), 0);
}

#[test]
fn discarding_on_open_connections_spares_new_ones() {
    let target = TargetServer::start(TargetSettings::default());
    let relay = Relay::start(target.addr());
    let old = Agent::new_with_defaults();
    send(&old, relay.addr(), "r-1", LONG).unwrap();

    relay.discard_on_open_connections(Direction::Both);
    let lost = send(&old, relay.addr(), "r-2", SHORT);
    let fresh = send(&Agent::new_with_defaults(), relay.addr(), "r-3", LONG);

    lost.unwrap_err();
    assert_eq!(fresh.unwrap(), "r-3");
    assert!(!target.counts().runs.contains_key("r-2"));
}

#[test]
fn discarding_responses_lets_requests_through() {
    let target = TargetServer::start(TargetSettings::default());
    let relay = Relay::start(target.addr());
    let old = Agent::new_with_defaults();
    send(&old, relay.addr(), "r-1", LONG).unwrap();

    relay.discard_on_open_connections(Direction::ToClient);
    let lost = send(&old, relay.addr(), "r-2", SHORT);

    lost.unwrap_err();
    wait_for_run(&target, "r-2");
    assert_eq!(target.counts().runs["r-2"], 1);
}

#[test]
fn discarding_reaches_new_connections_until_it_ends() {
    let target = TargetServer::start(TargetSettings::default());
    let relay = Relay::start(target.addr());
    let fresh = Agent::new_with_defaults;

    relay.set_discarding(Direction::ToClient, true);
    let lost = send(&fresh(), relay.addr(), "r-1", SHORT);
    relay.set_discarding(Direction::ToClient, false);
    let answered = send(&fresh(), relay.addr(), "r-2", LONG);

    lost.unwrap_err();
    wait_for_run(&target, "r-1");
    assert_eq!(answered.unwrap(), "r-2");
}
