//! Limits split over entries.

use base::prelude::*;
use route::limits::{Limits, apportion};
use tables::{Route, TablesDoc};

const POOLS: &str = r#"
    [pools.runners]
    workers = ["*"]
"#;

#[test]
fn apportioned_parts_add_up_to_the_limit() {
    let shares = [0.5, 0.3, 0.2];

    for whole in 0..20 {
        let parts: u32 = (0..shares.len())
            .map(|at| apportion(whole, &shares, at))
            .sum();

        assert_eq!(parts, whole);
    }
}

#[test]
fn ended_request_frees_concurrency() {
    let (mut limits, now) = limits("a");
    let route = route("concurrency = 2");
    for _ in 0..2 {
        limits.begin(now, &route).expect("a free slot");
    }

    let third = limits.begin(now, &route);
    limits.end(&route.name);
    let fourth = limits.begin(now, &route);

    let refused = third.expect_err("both slots are taken");
    assert_eq!(refused.reason, "concurrency-limit");
    fourth.expect("a slot became free");
}

#[test]
fn entries_with_the_same_view_stay_within_the_concurrency_limit() {
    let route = route("concurrency = 5");
    let names = ["a", "b", "c"];
    let mut admitted = 0;

    for name in names {
        let (mut limits, now) = limits(name);
        for other in names.iter().filter(|other| **other != name) {
            limits.peer_demand(now, EntryId::from(*other), vec![]);
        }
        admitted += (0..10)
            .filter(|_| limits.begin(now, &route).is_ok())
            .count();
    }

    assert_eq!(admitted, 5);
}

#[test]
fn rate_refusal_returns_a_sufficient_retry_time() {
    let (mut limits, now) = limits("a");
    let route = route("rate = { per-second = 10, burst = 1 }");

    let refused = limits
        .begin(now, &route)
        .expect_err("the bucket starts empty");

    assert_eq!(refused.reason, "rate-limit");
    let later = now + refused.retry_after;
    limits.begin(later, &route).expect("a token by then");
}

#[test]
fn share_follows_demand_and_an_expired_peer_frees_its_share() {
    let (mut limits, now) = limits("a");
    let route = route("rate = { per-second = 10 }");
    let demand = vec![("check".into(), 100.0)];
    limits.peer_demand(now, "b".into(), demand);
    let beside_demand = limits.share(&route.name);

    limits.tick(now + Duration::from_secs(6));

    assert!(beside_demand < 0.1, "{beside_demand}");
    assert!((limits.share(&route.name) - 1.0).abs() < f64::EPSILON);
}

fn limits(name: &str) -> (Limits, Instant) {
    (Limits::new(name.into()), Instant::now())
}

fn route(limit: &str) -> Arc<Route> {
    let routes = format!(
        "[routes.check]\npath = \"/check\"\nkind = \"request\"\npool = \"runners\"\n{limit}\n"
    );
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: routes.as_str().into(),
        pools: POOLS.into(),
        author: "test".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };
    let tables = doc.tables().expect("valid tables");
    Arc::clone(&tables.routes[0])
}
