//! The outcome of a request after its attempts end.

use std::net::SocketAddr;

use base::prelude::*;
use route::{AttemptEnd, NextAction, RequestMeta, RequestStep, Router, SendStep};
use tables::{Tables, TablesDoc};
use wire::{Announcement, Claim, ClaimReply, RevokeReply, TargetState};

const ROUTES: &str = r#"
    [routes.check]
    path = "/check"
    kind = "request"
    pool = "runners"
    idempotent = true

    [routes.settle]
    path = "/settle"
    kind = "request"
    pool = "runners"
"#;

const POOLS: &str = r#"
    [pools.runners]
    workers = ["runner-*"]
"#;

#[test]
fn unanswered_idempotent_request_is_resent_to_the_same_incarnation() {
    let (mut router, now) = router_with(2);
    let first = send(router.admit(now, meta("check", now)));

    let again = send(router.ended(now, &id(), &AttemptEnd::NoResponse));

    assert_eq!(again.incarnation, first.incarnation);
    assert_eq!(again.addr, first.addr);
    assert_eq!(again.id, first.id);
    assert!(again.is_repeat);
}

#[test]
fn resend_goes_to_the_first_incarnation_after_a_companion_restart() {
    let (mut router, now) = router_with(1);
    let first = send(router.admit(now, meta("settle", now)));
    router.target_announced(announcement(0, Incarnation(99)));

    let again = send(router.ended(now, &id(), &AttemptEnd::NoResponse));

    assert_eq!(again.incarnation, first.incarnation);
}

#[test]
fn non_idempotent_request_is_not_moved_while_it_may_have_arrived() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("settle", now)));
    send(router.ended(now, &id(), &AttemptEnd::NoResponse));

    let next = router.ended(now, &id(), &AttemptEnd::NotSent);

    assert!(matches!(next, NextAction::Revoke { .. }), "{next:?}");
}

#[test]
fn revoked_request_moves_to_another_target() {
    let (mut router, now) = router_with(2);
    let first = send(router.admit(now, meta("settle", now)));
    lose_all_responses(&mut router, now);

    let next = router.revoked(now, &id(), &Ok(RevokeReply::NeverStarted));

    let moved = send(next);
    assert_ne!(moved.target, first.target);
    assert!(!moved.is_repeat);
}

#[test]
fn running_request_is_awaited_until_the_deadline() {
    let (mut router, now) = router_with(2);
    let first = send(router.admit(now, meta("settle", now)));
    lose_all_responses(&mut router, now);

    let next = router.revoked(now, &id(), &Ok(RevokeReply::Running));

    let again = send(next);
    assert_eq!(again.target, first.target);
    assert_eq!(again.timeout, DEADLINE);
}

#[test]
fn request_that_cannot_be_revoked_is_unknown() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("settle", now)));
    lose_all_responses(&mut router, now);
    let error = Error::new(ErrorKind::Timeout, "call", "runner-0", "no answer in time");

    let next = router.revoked(now, &id(), &Err(error));

    assert_eq!(next, unknown("silent"));
}

#[test]
fn new_incarnation_of_a_target_leaves_the_outcome_unknown() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("settle", now)));
    lose_all_responses(&mut router, now);

    let next = router.revoked(now, &id(), &Ok(RevokeReply::WrongIncarnation));

    assert_eq!(next, unknown("target-restarted"));
}

#[test]
fn request_refused_by_every_target_is_not_run() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("settle", now)));
    send(router.ended(now, &id(), &not_run("no-slot")));

    let next = router.ended(now, &id(), &not_run("no-slot"));

    assert!(
        matches!(
            next,
            NextAction::Step(RequestStep::Refuse {
                reason: "no-slot",
                retry_after: Some(_)
            })
        ),
        "{next:?}"
    );
}

#[test]
fn refusal_after_a_lost_run_elsewhere_is_unknown() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("check", now)));
    let lost = AttemptEnd::Lost {
        reason: "no-answer".into(),
    };
    send(router.ended(now, &id(), &lost));

    let next = router.ended(now, &id(), &not_run("no-slot"));

    assert_eq!(next, unknown("no-slot"));
}

#[test]
fn lost_non_idempotent_request_is_unknown_at_once() {
    let (mut router, now) = router_with(2);
    send(router.admit(now, meta("settle", now)));
    let lost = AttemptEnd::Lost {
        reason: "no-answer".into(),
    };

    let next = router.ended(now, &id(), &lost);

    assert_eq!(next, unknown("lost"));
}

#[test]
fn idempotent_request_that_ends_target_after_target_is_not_sent_to_a_third() {
    let (mut router, now) = router_with(4);
    let lost = AttemptEnd::Lost {
        reason: "no-answer".into(),
    };
    send(router.admit(now, meta("check", now)));
    send(router.ended(now, &id(), &lost));

    let next = router.ended(now, &id(), &lost);

    assert_eq!(next, unknown("lost"));
}

#[test]
fn request_past_its_deadline_is_not_sent() {
    let (mut router, now) = router_with(1);

    let next = router.admit(now + DEADLINE, meta("check", now));

    assert!(
        matches!(
            next,
            NextAction::Step(RequestStep::Refuse {
                reason: "expired",
                ..
            })
        ),
        "{next:?}"
    );
}

#[test]
fn leaving_target_gets_no_new_request() {
    let (mut router, now) = router_with(1);
    send(router.admit(now, meta("check", now)));
    router.ended(now, &id(), &not_run("leaving"));
    router.target_announced(announcement(0, Incarnation(1)));

    let next = router.admit(now, meta("check", now));

    assert!(
        matches!(
            next,
            NextAction::Step(RequestStep::Refuse {
                reason: "no-target",
                ..
            })
        ),
        "{next:?}"
    );
}

#[test]
fn retries_stay_within_the_budget_when_every_target_is_slow() {
    const REQUESTS: u32 = 2_000;
    let (mut router, now) = router_with(10);
    let mut sent = 0;

    for n in 0..REQUESTS {
        let meta = RequestMeta {
            id: RequestId::new(format!("r{n}")),
            ..meta("check", now)
        };
        let id = meta.id.clone();
        let mut next = router.admit(now, meta);
        while let NextAction::Step(RequestStep::Send(step)) = next {
            sent += u32::from(!step.is_repeat);
            next = router.ended(now, &id, &AttemptEnd::NoResponse);
        }
    }

    let amplification = f64::from(sent) / f64::from(REQUESTS);
    assert!(amplification <= 1.11, "{amplification}");
}

#[test]
fn key_is_claimed_before_a_request_is_sent() {
    let (mut router, now) = router_with(2);

    let next = router.admit(now, keyed(now));

    assert!(
        matches!(next, NextAction::Claim { replaces: None, .. }),
        "{next:?}"
    );
    assert!(send(router.claimed(now, &id(), Ok(ClaimReply::Granted))).is_repeat);
}

/// Guards against a repetition that runs again since the route has another name by then.
#[test]
fn key_is_claimed_for_the_path_under_any_name() {
    let (mut router, now) = router_with(2);
    let first = claimed_route(router.admit(now, keyed(now)));

    router.set_tables(tables(2, &ROUTES.replace("routes.settle", "routes.payout")));
    let again = RequestMeta {
        id: numbered(2),
        route: "payout".into(),
        ..keyed(now)
    };

    assert_eq!(claimed_route(router.admit(now, again)), first);
}

#[test]
fn request_whose_key_cannot_be_claimed_is_not_run() {
    let (mut router, now) = router_with(2);
    router.admit(now, keyed(now));
    let error = Error::new(ErrorKind::Timeout, "call", "entry-1", "no answer in time");

    let next = router.claimed(now, &id(), Err(error));

    assert!(
        matches!(
            next,
            NextAction::Step(RequestStep::Refuse {
                reason: "key-not-claimed",
                ..
            })
        ),
        "{next:?}"
    );
}

#[test]
fn request_with_a_claimed_key_joins_the_first_run() {
    let (mut router, now) = router_with(2);
    router.admit(now, keyed(now));
    let held = Claim {
        route: "/settle".into(),
        key: "lot-7".into(),
        request: "other-1".into(),
        target: "runner-1".into(),
        incarnation: Incarnation(1),
        uptime: Duration::ZERO,
        http_addr: addr(1),
    };

    let joined = send(router.claimed(now, &id(), Ok(ClaimReply::Held(held))));

    assert_eq!(joined.id, RequestId::from("other-1"));
    assert_eq!(joined.target, TargetId::from("runner-1"));
    assert!(joined.is_repeat);
}

#[test]
fn moving_a_keyed_request_moves_its_claim_first() {
    let (mut router, now) = router_with(2);
    router.admit(now, keyed(now));
    send(router.claimed(now, &id(), Ok(ClaimReply::Granted)));

    let next = router.ended(now, &id(), &not_run("no-slot"));

    assert!(
        matches!(
            next,
            NextAction::Claim {
                replaces: Some(_),
                ..
            }
        ),
        "{next:?}"
    );
}

#[test]
fn keyed_request_is_revoked_at_an_unreachable_target() {
    let (mut router, now) = router_with(2);
    router.admit(now, keyed(now));
    send(router.claimed(now, &id(), Ok(ClaimReply::Granted)));

    let next = router.ended(now, &id(), &AttemptEnd::NotSent);

    assert!(matches!(next, NextAction::Revoke { .. }), "{next:?}");
}

#[test]
fn failing_target_is_ejected_and_probed_by_one_request() {
    let (mut router, now) = router_with(4);
    let mut sent_to_first = 0;
    for n in 0..400 {
        let step = admit_numbered(&mut router, now, n);
        if step.target == TargetId::from("runner-0") {
            sent_to_first += 1;
            router.ended(now, &numbered(n), &AttemptEnd::NotSent);
        } else {
            router.ended(now, &numbered(n), &answered());
        }
    }

    let later = now + Duration::from_secs(1);
    let probe = admit_numbered(&mut router, later, 1_000);
    let other = admit_numbered(&mut router, later, 1_001);

    assert_eq!(sent_to_first, 3);
    assert_eq!(probe.target, TargetId::from("runner-0"));
    assert_ne!(other.target, TargetId::from("runner-0"));
}

const DEADLINE: Duration = Duration::from_secs(10);

fn tables(generation: u64, routes: &str) -> Arc<Tables> {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(generation),
        routes: routes.into(),
        pools: POOLS.into(),
        author: "test".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };
    Arc::new(doc.tables().expect("valid tables"))
}

fn router_with(targets: u16) -> (Router, Instant) {
    let mut router = Router::new("entry-0".into(), "viti-suva".into(), 7);
    router.set_tables(tables(1, ROUTES));
    for at in 0..targets {
        router.target_announced(announcement(at, Incarnation(1)));
    }
    (router, Instant::now())
}

fn announcement(at: u16, incarnation: Incarnation) -> Announcement {
    Announcement {
        target: TargetId::new(format!("runner-{at}")),
        worker: WorkerId::new(format!("runner-{at}")),
        incarnation,
        uptime: Duration::ZERO,
        sequence: 1,
        zone: "viti-suva".into(),
        rack: "rack-0".into(),
        http_addr: addr(at),
        rpc_addr: addr(100 + at),
        slots: 8,
        connections: 64,
        capacity: Resources::ZERO,
        state: TargetState::Serving,
        in_flight: 0,
        generation: Generation(1),
    }
}

fn addr(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + at))
}

fn id() -> RequestId {
    "r1".into()
}

fn numbered(n: u32) -> RequestId {
    RequestId::new(format!("r{n}"))
}

fn meta(route: &str, now: Instant) -> RequestMeta {
    RequestMeta {
        id: id(),
        route: route.into(),
        team: "editors".into(),
        priority: tables::Priority::Normal,
        deadline: now + DEADLINE,
        key: None,
    }
}

fn keyed(now: Instant) -> RequestMeta {
    RequestMeta {
        key: Some("lot-7".into()),
        ..meta("settle", now)
    }
}

fn admit_numbered(router: &mut Router, now: Instant, n: u32) -> SendStep {
    let meta = RequestMeta {
        id: numbered(n),
        ..meta("check", now)
    };
    send(router.admit(now, meta))
}

/// Ends the first copy and both resends of a request without a response.
fn lose_all_responses(router: &mut Router, now: Instant) {
    send(router.ended(now, &id(), &AttemptEnd::NoResponse));
    send(router.ended(now, &id(), &AttemptEnd::NoResponse));
    let next = router.ended(now, &id(), &AttemptEnd::NoResponse);
    assert!(matches!(next, NextAction::Revoke { .. }), "{next:?}");
}

fn send(next: NextAction) -> SendStep {
    match next {
        NextAction::Step(RequestStep::Send(step)) => step,
        other => panic!("expected a send, got {other:?}"),
    }
}

fn claimed_route(next: NextAction) -> RouteAddress {
    match next {
        NextAction::Claim { claim, .. } => claim.route,
        other => panic!("expected a claim, got {other:?}"),
    }
}

fn not_run(reason: &str) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason: reason.into(),
    }
}

fn answered() -> AttemptEnd {
    AttemptEnd::Answered {
        took: Duration::from_millis(5),
        load: 0,
        status: 200,
    }
}

fn unknown(reason: &'static str) -> NextAction {
    NextAction::Step(RequestStep::Unknown { reason })
}
