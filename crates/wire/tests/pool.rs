//! The planned stop of a pool of HTTP threads.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};

use base::prelude::*;
use tiny_http::Response;
use wire::HttpPool;
use wire::operator::path;

/// How long a pool may drain; a drain that lasts as long was held up.
const GRACE: Duration = Duration::from_secs(60);

/// So many threads that those which drain first take the wake-ups of others.
const THREADS: usize = 64;

#[test]
fn health_checks_do_not_hold_up_a_planned_stop() {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let pool = HttpPool::start(addr, THREADS, |req| {
        // A client that is gone needs no answer.
        let _ = req.respond(Response::from_string("ok"));
    })
    .unwrap();
    let url = format!("http://{}{}", pool.addr(), path::READY);
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(200)))
        .build()
        .new_agent();
    let is_over = Arc::new(AtomicBool::new(false));
    let balancer = std::thread::spawn({
        let is_over = Arc::clone(&is_over);
        move || {
            while !is_over.load(Ordering::Acquire) {
                // The pool may have ended first.
                let _ = agent.get(&url).call();
                std::thread::sleep(Duration::from_millis(10));
            }
        }
    });

    let began = Instant::now();
    let is_finished = pool.stop(GRACE);
    let took = began.elapsed();
    is_over.store(true, Ordering::Release);
    balancer.join().unwrap();

    assert!(is_finished);
    assert!(took < GRACE, "{took:?}");
}
