//! Tests of the planned stop of an HTTP server.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use tiny_http::Response;
use wire::HttpPool;
use wire::operator::path;

/// The longest time that a pool may drain; a drain that takes this long was blocked.
const GRACE: Duration = Duration::from_secs(60);

/// Enough threads that those which drain first consume the wake-ups of others.
const THREADS: usize = 64;

#[test]
fn health_checks_do_not_delay_a_planned_stop() {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let pool = HttpPool::start(addr, THREADS, |req| {
        // The client may have disconnected.
        let _ = req.respond(Response::from_string("ok"));
    })
    .unwrap();
    let url = format!("http://{}{}", pool.addr(), path::READY);
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(200)))
        .build()
        .new_agent();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let balancer = std::thread::spawn({
        let is_stopped = Arc::clone(&is_stopped);
        move || {
            while !is_stopped.load(Ordering::Acquire) {
                // Fails once the pool has stopped.
                let _ = agent.get(&url).call();
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    });

    let began = Instant::now();
    let is_finished = pool.stop(GRACE);
    let took = began.elapsed();
    is_stopped.store(true, Ordering::Release);
    balancer.join().unwrap();

    assert!(is_finished);
    assert!(took < GRACE, "{took:?}");
}
