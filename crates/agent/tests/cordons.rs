//! Starts in an availability zone that operators have cordoned, or may have.

mod harness;

use agent::Action;
use base::prelude::*;
use harness::{Harness, no_reply, run_of};
use jobs::report::{RejectKind, StartOrder};

/// How long the owner permits starts, from when a report was sent.
const START_LEASE_MS: u64 = 1000;

fn order(index: u32) -> StartOrder {
    StartOrder {
        run: run_of(index),
        payload: "payload".into(),
        checkpoint: None,
        ticket: None,
    }
}

fn is_rejected(harness: &Harness, index: u32) -> bool {
    let rejected = harness.last_report().rejected;
    rejected
        .iter()
        .any(|r| r.run == run_of(index) && r.why == RejectKind::Late)
}

#[test]
fn start_in_a_cordoned_zone_is_rejected_at_once() {
    let mut harness = Harness::fenced();

    harness.reply_to_report(|reply| {
        reply.start_lease_ms = Some(0);
        reply.starts = vec![order(0)];
    });

    assert!(harness.starts().is_empty());
    assert!(is_rejected(&harness, 0));
}

#[test]
fn permission_counts_from_when_the_report_was_sent() {
    let mut harness = Harness::fenced();
    harness.advance(START_LEASE_MS);

    harness.reply_to_report(|reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = vec![order(0)];
    });

    assert!(harness.starts().is_empty(), "the owner was slow to reply");
    assert!(is_rejected(&harness, 0));
}

#[test]
fn start_without_a_reply_is_not_sent_again_after_the_permission_has_run_out() {
    let mut harness = Harness::fenced();
    harness.reply_to_report(|reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = vec![order(0)];
    });
    assert_eq!(harness.starts().len(), 1);
    harness.advance(START_LEASE_MS - 10);
    harness.started(&run_of(0), Err(no_reply()));

    harness.advance(100);
    harness.run();
    harness.run();

    assert_eq!(harness.starts().len(), 1);
    let is_stop =
        |action: &Action| matches!(action, Action::Stop(_, call) if call.run == run_of(0));
    assert!(
        harness.actions.iter().any(is_stop),
        "the call without a reply may still take effect"
    );
}

#[test]
fn starts_that_wait_for_a_call_slot_are_rejected_when_the_zone_is_cordoned() {
    let mut harness = Harness::fenced();
    let orders: Vec<StartOrder> = (0..8).map(order).collect();
    harness.reply_to_report(|reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = orders;
    });
    let sent = harness.starts().len();
    assert!(sent < 8);

    harness.reply_to_report(|reply| reply.start_lease_ms = Some(0));
    harness.started(
        &run_of(0),
        Ok(agent::StartReply::Started {
            clock_ms: harness.clock_ms,
        }),
    );

    assert_eq!(harness.starts().len(), sent);
    assert!(is_rejected(&harness, 7));
}

#[test]
fn starts_go_on_once_the_zone_is_taken_back() {
    let mut harness = Harness::fenced();
    harness.reply_to_report(|reply| reply.start_lease_ms = Some(0));

    harness.reply_to_report(|reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = vec![order(0)];
    });

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn an_owner_that_sets_no_limit_lifts_that_of_its_predecessor() {
    let mut harness = Harness::fenced();
    harness.reply_to_report(|reply| reply.start_lease_ms = Some(0));

    harness.reply_to_report(|reply| {
        reply.epoch = Epoch(2);
        reply.fence = 8;
        reply.starts = vec![order(0)];
    });

    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn reply_to_an_earlier_report_does_not_reopen_the_zone() {
    let mut harness = Harness::fenced();
    let (earlier, _) = harness.last_sync();
    // News makes the companion send a second report while the first one waits.
    harness.complete_long_poll(&[], &[]);
    let (later, _) = harness.last_sync();
    assert!(later > earlier);

    harness.reply_to(later, |reply| reply.start_lease_ms = Some(0));
    harness.reply_to(earlier, |reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = vec![order(0)];
    });

    assert!(harness.starts().is_empty());
}

/// Guards against a permission that lasts longer because the VM was suspended meanwhile.
#[test]
fn permission_runs_out_while_the_vm_is_suspended() {
    let mut harness = Harness::fenced();
    harness.complete_long_poll(&[], &[]);
    let (number, _) = harness.last_sync();
    // The companion's clock stands still.
    harness.clock_ms += 2 * START_LEASE_MS;
    harness.complete_long_poll(&[], &[]);

    harness.reply_to(number, |reply| {
        reply.start_lease_ms = Some(START_LEASE_MS);
        reply.starts = vec![order(0)];
    });

    assert!(harness.starts().is_empty());
    assert!(is_rejected(&harness, 0));
}
