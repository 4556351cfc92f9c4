//! An entry's view of the fleet and its spread by gossip.

use std::net::SocketAddr;

use base::prelude::*;
use member::{Freshness, View};
use wire::{Announcement, EntryInfo, TargetState};

#[test]
fn late_announcement_of_a_leaving_target_does_not_bring_it_back() {
    let (mut view, now) = view("a");
    view.record_announcement(now, &announcement(5, TargetState::Leaving));

    let freshness = view.record_announcement(now, &announcement(4, TargetState::Serving));

    assert_eq!(freshness, Freshness::Stale);
    assert_eq!(state(&view), Some(TargetState::Leaving));
}

#[test]
fn leaving_state_from_a_peer_overrides_later_announcements_of_the_incarnation() {
    let (mut view, now) = view("a");
    view.mark_left(now, &"runner-0".into(), Incarnation(1));

    view.record_announcement(now, &announcement(9, TargetState::Serving));

    assert_eq!(state(&view), Some(TargetState::Leaving));
}

#[test]
fn new_incarnation_of_a_target_that_left_serves_again() {
    let (mut view, now) = view("a");
    view.record_announcement(now, &announcement(5, TargetState::Leaving));
    let restarted = Announcement {
        incarnation: Incarnation(2),
        ..announcement(1, TargetState::Serving)
    };

    let freshness = view.record_announcement(now, &restarted);

    assert_eq!(freshness, Freshness::New);
    assert_eq!(state(&view), Some(TargetState::Serving));
}

#[test]
fn new_entry_takes_the_targets_of_a_peer() {
    let (mut old, now) = view("old");
    old.record_announcement(now, &announcement(1, TargetState::Serving));
    let later = now + Duration::from_secs(3);
    let mut new = View::new(later, "new".into(), Vec::new());
    let request = new.gossip(later, info("new", 2), false);
    old.record_announcement(later, &announcement(4, TargetState::Serving));

    let reply = old.gossip(later, info("old", 1), request.wants_targets);
    let new_targets = new.merge(later, &reply, true);

    assert_eq!(new_targets.len(), 1);
    assert!(new.is_ready(later));
}

#[test]
fn entry_known_only_from_gossip_is_dropped_after_failures() {
    let (mut view, now) = view("a");
    let mut gossip = self::view("b").0.gossip(now, info("b", 1), false);
    gossip.entries = vec![info("lost", 9)];
    view.merge(now, &gossip, true);

    for _ in 0..3 {
        view.record_failure(addr(9));
    }

    assert_eq!(view.peers(addr(0)), IndexSet::from([addr(1)]));
    assert_eq!(view.entries().count(), 1);
}

#[test]
fn entries_stay_in_the_view_without_the_store_while_they_gossip() {
    let (mut view, now) = view("a");
    let gossip = self::view("b").0.gossip(now, info("b", 1), false);
    let later = now + Duration::from_secs(60);
    view.merge(now, &gossip, true);

    view.merge(later, &gossip, false);
    view.expire(later);

    assert_eq!(view.entries().count(), 1);
}

#[test]
fn stopping_entry_is_removed_at_once() {
    let (mut view, now) = view("a");
    let mut gossip = self::view("b").0.gossip(now, info("b", 1), false);
    view.merge(now, &gossip, true);
    gossip.is_stopping = true;

    view.merge(now, &gossip, false);

    assert_eq!(view.entries().count(), 0);
}

#[test]
fn unresponsive_target_is_removed() {
    let (mut view, now) = view("a");
    view.record_announcement(now, &announcement(1, TargetState::Serving));

    let expired = view.expire(now + Duration::from_secs(5));

    assert_eq!(expired, [TargetId::from("runner-0")]);
}

fn view(name: &str) -> (View, Instant) {
    let now = Instant::now();
    (View::new(now, name.into(), Vec::new()), now)
}

fn state(view: &View) -> Option<TargetState> {
    view.target(&"runner-0".into()).map(|a| a.state)
}

fn addr(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + at))
}

fn info(name: &str, at: u16) -> EntryInfo {
    EntryInfo {
        entry: name.into(),
        zone: "viti-suva".into(),
        http_addr: addr(100 + at),
        rpc_addr: addr(at),
        generation: Generation(1),
    }
}

fn announcement(sequence: u64, state: TargetState) -> Announcement {
    Announcement {
        target: "runner-0".into(),
        worker: "runner-0".into(),
        incarnation: Incarnation(1),
        uptime: Duration::ZERO,
        sequence,
        zone: "viti-suva".into(),
        rack: "rack-0".into(),
        http_addr: addr(50),
        rpc_addr: addr(51),
        slots: 8,
        connections: 64,
        capacity: Resources::ZERO,
        state,
        in_flight: 0,
        generation: Generation(1),
    }
}
