//! Admission and deduplication of requests by the companion's table of request ids.

use std::sync::Mutex;

use base::prelude::*;
use companion::{AdmitMeta, AdmitStep, RequestTable, StoredResponse, TableLimits};
use tables::Priority;
use wire::{Responder, RevokeReply};

const INCARNATION: Incarnation = Incarnation(7);
const DEADLINE: Duration = Duration::from_secs(2);

#[test]
fn duplicate_waits_for_the_run_and_gets_its_response() {
    let (mut table, now) = table(1, 2);
    let first = begin(&mut table, now, &meta("a", now));
    let second = begin(&mut table, now, &repeat("a", now));

    table.finished(now, &"a".into(), Some(response(3)));

    assert_eq!(first.take(), Some(AdmitStep::Run));
    assert!(
        matches!(second.take(), Some(AdmitStep::Answer { answer, .. }) if answer.body.len() == 3)
    );
}

#[test]
fn stored_response_is_returned_for_a_repeated_id() {
    let (mut table, now) = table(1, 1);
    begin(&mut table, now, &meta("a", now));
    table.finished(now, &"a".into(), Some(response(3)));

    let late = begin(&mut table, now + DEADLINE, &repeat("a", now));

    assert!(matches!(late.take(), Some(AdmitStep::Answer { .. })));
}

#[test]
fn repeated_id_that_was_forgotten_does_not_run_again() {
    const LONG_AFTER: Duration = Duration::from_secs(50);
    let (mut table, now) = table(1, 1);
    begin(&mut table, now, &meta("a", now));
    table.finished(now, &"a".into(), Some(response(3)));
    table.sweep(now + LONG_AFTER);

    // A caller repeats its idempotency key, and the claim names this id and this incarnation.
    let joined = begin(&mut table, now + LONG_AFTER, &repeat("a", now + LONG_AFTER));

    assert_ne!(joined.take(), Some(AdmitStep::Run));
}

#[test]
fn revoke_of_an_id_that_may_be_forgotten_returns_forgotten() {
    const LONG_AFTER: Duration = Duration::from_secs(50);
    let (mut table, now) = table(1, 1);
    begin(&mut table, now, &meta("a", now));
    table.finished(now, &"a".into(), Some(response(3)));
    table.sweep(now + LONG_AFTER);

    let reply = table.revoke(now + LONG_AFTER, &"a".into(), INCARNATION, Duration::ZERO);

    assert_eq!(reply, RevokeReply::Forgotten);
}

#[test]
fn request_with_a_recent_uptime_starts_after_a_long_uptime() {
    const LONG_AFTER: Duration = Duration::from_secs(5_000);
    let (mut table, now) = table(1, 1);
    let late = now + LONG_AFTER;
    let recent = AdmitMeta {
        uptime: LONG_AFTER - Duration::from_secs(2),
        ..repeat("a", late)
    };

    let step = begin(&mut table, late, &recent);

    assert_eq!(step.take(), Some(AdmitStep::Run));
}

#[test]
fn revoked_id_never_starts() {
    let (mut table, now) = table(1, 1);

    let reply = table.revoke(now, &"a".into(), INCARNATION, Duration::ZERO);

    assert_eq!(reply, RevokeReply::NeverStarted);
    let copy = begin(&mut table, now, &meta("a", now));
    assert_eq!(copy.take(), Some(AdmitStep::NotRun { reason: "revoked" }));
}

#[test]
fn revoke_removes_a_request_from_the_queue() {
    let (mut table, now) = table(1, 2);
    begin(&mut table, now, &meta("a", now));
    let queued = begin(&mut table, now, &meta("b", now));

    let reply = table.revoke(now, &"b".into(), INCARNATION, Duration::ZERO);
    table.finished(now, &"a".into(), None);

    assert_eq!(reply, RevokeReply::NeverStarted);
    assert_eq!(queued.take(), Some(AdmitStep::NotRun { reason: "revoked" }));
    assert_eq!(table.running(), 0);
}

#[test]
fn revoke_of_a_running_id_returns_running() {
    let (mut table, now) = table(1, 1);
    begin(&mut table, now, &meta("a", now));

    let reply = table.revoke(now, &"a".into(), INCARNATION, Duration::ZERO);

    assert_eq!(reply, RevokeReply::Running);
}

#[test]
fn refused_repeat_prevents_the_first_copy_from_running_later() {
    let (mut table, now) = table(1, 1);
    begin(&mut table, now, &meta("busy", now));
    let resent = begin(&mut table, now, &repeat("a", now));
    table.finished(now, &"busy".into(), None);

    let first_copy = begin(&mut table, now, &meta("a", now));

    assert_eq!(resent.take(), Some(AdmitStep::NotRun { reason: "no-slot" }));
    assert_eq!(
        first_copy.take(),
        Some(AdmitStep::NotRun { reason: "revoked" })
    );
}

#[test]
fn repeat_for_another_incarnation_has_an_unknown_outcome() {
    let (mut table, now) = table(1, 1);
    let elsewhere = |meta: AdmitMeta| AdmitMeta {
        incarnation: Incarnation(8),
        ..meta
    };

    let only_copy = begin(&mut table, now, &elsewhere(meta("a", now)));
    let resent = begin(&mut table, now, &elsewhere(repeat("b", now)));

    assert!(matches!(only_copy.take(), Some(AdmitStep::NotRun { .. })));
    assert!(matches!(resent.take(), Some(AdmitStep::Lost { .. })));
}

#[test]
fn slots_and_connections_are_never_exceeded() {
    let (mut table, now) = table(2, 3);

    let steps: Vec<ReceivedStep> = (0..5)
        .map(|n| begin(&mut table, now, &meta(&format!("r{n}"), now)))
        .collect();

    assert_eq!(table.running(), 2);
    assert_eq!(table.load(), 3);
    let refused = AdmitStep::NotRun { reason: "no-slot" };
    let received: Vec<Option<AdmitStep>> = steps.iter().map(ReceivedStep::take).collect();
    let run = Some(AdmitStep::Run);
    assert_eq!(
        received,
        [run.clone(), run, None, Some(refused.clone()), Some(refused)]
    );
}

#[test]
fn expired_request_is_removed_from_the_queue() {
    let (mut table, now) = table(1, 2);
    begin(&mut table, now, &meta("a", now));
    let queued = begin(&mut table, now, &meta("b", now));

    table.expire(now + DEADLINE);

    assert_eq!(queued.take(), Some(AdmitStep::NotRun { reason: "expired" }));
}

#[test]
fn urgent_request_replaces_a_low_one_in_a_full_queue() {
    let (mut table, now) = table(1, 2);
    begin(&mut table, now, &meta("a", now));
    let low = AdmitMeta {
        priority: Priority::Low,
        ..meta("low", now)
    };
    let urgent = AdmitMeta {
        priority: Priority::Urgent,
        ..meta("urgent", now)
    };
    let shed = begin(&mut table, now, &low);

    let waiting = begin(&mut table, now, &urgent);

    assert_eq!(shed.take(), Some(AdmitStep::NotRun { reason: "no-slot" }));
    assert_eq!(waiting.take(), None);
}

#[test]
fn leaving_refuses_new_and_queued_requests_and_lets_running_ones_finish() {
    let (mut table, now) = table(1, 2);
    begin(&mut table, now, &meta("running", now));
    let queued = begin(&mut table, now, &meta("queued", now));

    table.leave(now);
    let new = begin(&mut table, now, &meta("new", now));
    let joined = begin(&mut table, now, &repeat("running", now));
    table.finished(now, &"running".into(), Some(response(1)));

    let leaving = Some(AdmitStep::NotRun { reason: "leaving" });
    assert_eq!(queued.take(), leaving);
    assert_eq!(new.take(), leaving);
    assert!(matches!(joined.take(), Some(AdmitStep::Answer { .. })));
}

#[test]
fn oldest_responses_are_dropped_beyond_the_byte_limit() {
    let limits = TableLimits {
        response_bytes: 10,
        ..TableLimits::new(1, 1)
    };
    let now = Instant::now();
    let mut table = RequestTable::new(INCARNATION, limits, now);
    for id in ["a", "b", "c"] {
        begin(&mut table, now, &meta(id, now));
        table.finished(now, &id.into(), Some(response(5)));
    }

    let oldest = begin(&mut table, now, &repeat("a", now));
    let newest = begin(&mut table, now, &repeat("c", now));

    assert_eq!(table.stored_bytes(), 10);
    assert_eq!(
        oldest.take(),
        Some(AdmitStep::Lost {
            reason: "no-answer"
        })
    );
    assert!(matches!(newest.take(), Some(AdmitStep::Answer { .. })));
}

#[test]
fn full_table_refuses_new_ids_and_repeats_have_an_unknown_outcome() {
    let limits = TableLimits {
        ids: 1,
        ..TableLimits::new(8, 8)
    };
    let now = Instant::now();
    let mut table = RequestTable::new(INCARNATION, limits, now);
    begin(&mut table, now, &meta("a", now));

    let new = begin(&mut table, now, &meta("b", now));
    let resent = begin(&mut table, now, &repeat("c", now));

    assert_eq!(
        new.take(),
        Some(AdmitStep::NotRun {
            reason: "table-full"
        })
    );
    assert_eq!(
        resent.take(),
        Some(AdmitStep::Lost {
            reason: "table-full"
        })
    );
}

/// The step that a request got, if it has been sent.
struct ReceivedStep(Arc<Mutex<Option<AdmitStep>>>);

impl ReceivedStep {
    fn take(&self) -> Option<AdmitStep> {
        self.0.lock().expect("no test panics here").take()
    }
}

fn begin(table: &mut RequestTable, now: Instant, meta: &AdmitMeta) -> ReceivedStep {
    let step = Arc::default();
    let sink: Arc<Mutex<Option<AdmitStep>>> = Arc::clone(&step);
    let reply = Responder::new(move |sent| *sink.lock().expect("no test panics here") = Some(sent));
    table.begin(now, meta, reply);
    ReceivedStep(step)
}

fn table(slots: u32, connections: u32) -> (RequestTable, Instant) {
    let limits = TableLimits::new(slots, connections);
    let now = Instant::now();
    (RequestTable::new(INCARNATION, limits, now), now)
}

fn meta(id: &str, now: Instant) -> AdmitMeta {
    AdmitMeta {
        id: id.into(),
        incarnation: INCARNATION,
        uptime: Duration::ZERO,
        deadline: now + DEADLINE,
        priority: Priority::Normal,
        is_repeat: false,
    }
}

fn repeat(id: &str, now: Instant) -> AdmitMeta {
    AdmitMeta {
        is_repeat: true,
        ..meta(id, now)
    }
}

fn response(bytes: usize) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: 200,
        headers: ureq::http::HeaderMap::new(),
        body: vec![b'.'; bytes],
    })
}
