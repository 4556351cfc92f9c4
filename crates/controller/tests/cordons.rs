//! Reading the cordoned availability zones: when, and what a read shows.

use base::prelude::*;
use controller::{CordonCfg, CordonReader};
use ports::store::{KeyValue, StoreReply};
use slog::{Logger, o};

const BOOT: Duration = Duration::from_secs(1_000_000);

fn reader() -> CordonReader {
    CordonReader::new(CordonCfg {
        prefix: "cordons/".into(),
        bound: Duration::from_secs(5),
        zones: ["north", "south"].map(ZoneName::from).into_iter().collect(),
    })
}

fn log() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn listed(zones: &[&str]) -> Result<StoreReply> {
    let item = |zone: &&str| KeyValue {
        key: format!("cordons/{zone}").into(),
        value: b"not read".as_slice().into(),
        revision: 1,
    };
    Ok(StoreReply::Listed(zones.iter().map(item).collect()))
}

fn lost() -> Result<StoreReply> {
    Err(Error::new(ErrorKind::Timeout, "list", "store", "no answer"))
}

#[test]
fn a_read_shows_the_zones_of_when_it_was_sent() {
    let now = Instant::now();
    let mut reader = reader();
    assert!(reader.run((now, BOOT)).is_some());

    let later = now + Duration::from_millis(300);
    let shown = reader.handle_reply(later, listed(&["south"]), &log());

    let shown = shown.expect("the read was answered");
    assert_eq!(shown.sent_at, now);
    assert_eq!(shown.zones, IndexSet::from([ZoneName::from("south")]));
}

#[test]
fn one_read_is_in_progress_at_a_time_and_the_next_follows_soon() {
    let now = Instant::now();
    let mut reader = reader();
    assert!(reader.run((now, BOOT)).is_some());
    assert!(reader.run((now, BOOT)).is_none());

    reader.handle_reply(now, listed(&[]), &log());

    let due = reader.next_due().expect("another read is due");
    assert!(due > now && due <= now + Duration::from_secs(1));
    assert!(reader.run((due, BOOT + (due - now))).is_some());
}

#[test]
fn a_failed_read_shows_nothing_and_is_repeated() {
    let now = Instant::now();
    let mut reader = reader();
    reader.run((now, BOOT));

    let shown = reader.handle_reply(now, lost(), &log());

    assert_eq!(shown, None);
    let due = reader.next_due().expect("it is repeated");
    assert!(due <= now + Duration::from_millis(500));
}

#[test]
fn a_zone_that_the_settings_do_not_name_is_cordoned_too() {
    let now = Instant::now();
    let mut reader = reader();
    reader.run((now, BOOT));

    let shown = reader.handle_reply(now, listed(&["west", "north"]), &log());

    let shown = shown.expect("the read was answered");
    assert!(shown.zones.contains(&ZoneName::from("west")));
    assert_eq!(shown.zones.len(), 2);
}

#[test]
fn what_was_read_before_a_suspension_is_dropped() {
    let now = Instant::now();
    let mut reader = reader();
    reader.run((now, BOOT));
    reader.handle_reply(now, listed(&[]), &log());

    let suspended = BOOT + Duration::from_secs(3);
    assert!(!reader.drop_if_suspended((now, BOOT)));
    assert!(reader.drop_if_suspended((now, suspended)));

    assert_eq!(reader.latest(), None);
    assert!(reader.run((now, suspended)).is_some(), "read again at once");
}

#[test]
fn the_age_of_a_read_includes_a_suspension_before_its_reply() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut reader = reader();
    reader.run((now, BOOT));

    reader.drop_if_suspended((now, BOOT + Duration::from_secs(3)));
    let shown = reader.handle_reply(now, listed(&[]), &log());

    let shown = shown.expect("the read was answered");
    assert_eq!(shown.sent_at, now - Duration::from_secs(3));
}

#[test]
fn a_bound_of_zero_does_not_make_reads_spin() {
    let now = Instant::now();
    let mut reader = CordonReader::new(CordonCfg {
        prefix: "cordons/".into(),
        bound: Duration::ZERO,
        zones: IndexSet::new(),
    });
    reader.run((now, BOOT));

    reader.handle_reply(now, listed(&[]), &log());

    let due = reader.next_due().expect("another read is due");
    assert!(due >= now + Duration::from_millis(50));
}
