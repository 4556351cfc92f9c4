//! Tests of commands from their flags to their outcomes.

use crate::common::{FakeContext, FakeEntry, MemStore, sample};
use base::prelude::*;
use bpaf::Parser;
use ops::{Exit, Failure, Outcome, command, execute};

fn run(cx: &FakeContext, args: &[&str]) -> Result<Outcome, Failure> {
    let command = command().to_options().run_inner(args).expect("flags");
    execute(cx, &command.action)
}

/// Returns arguments of a command on the sample tables of a desk.
fn on_sample(desk: &str, args: &[&str]) -> Vec<String> {
    let files = sample(desk);
    let mut all = args.iter().map(ToString::to_string).collect::<Vec<_>>();
    all.push(format!("--routes={}", files.routes.display()));
    all.push(format!("--pools={}", files.pools.display()));
    all
}

fn run_on(cx: &FakeContext, desk: &str, args: &[&str]) -> Result<Outcome, Failure> {
    let all = on_sample(desk, args);
    run(cx, &all.iter().map(String::as_str).collect::<Vec<_>>())
}

const STORE: &str = "--store=127.0.0.1:9";
const ENTRY: &str = "--entry=127.0.0.1:9";

#[test]
fn check_needs_no_connection() {
    let cx = FakeContext::new(MemStore::default());

    let outcome = run_on(&cx, "swan-river", &["check", "--json"]).unwrap();

    assert_eq!(outcome.text, "4 routes, 1 in the table of pools; no faults");
    assert_eq!(outcome.json["routes"], 4);
}

#[test]
fn check_reports_a_missing_file() {
    let cx = FakeContext::new(MemStore::default());

    let failure = run(&cx, &["check", "--routes=no-such.toml"]).unwrap_err();

    assert_eq!(failure.exit(), Exit::Usage);
    assert!(failure.to_string().starts_with("no-such.toml: "));
}

#[test]
fn apply_without_base_needs_confirmation() {
    let mut cx = FakeContext::new(MemStore::default());
    let args = ["apply", STORE, "--author=Ana"];

    let unasked = run_on(&cx, "vakaloloma", &args).unwrap_err();
    cx.answer = Some(false);
    let refused = run_on(&cx, "vakaloloma", &args).unwrap_err();
    cx.answer = Some(true);
    let applied = run_on(&cx, "vakaloloma", &args).unwrap();

    assert_eq!(unasked.exit(), Exit::Usage);
    assert!(unasked.to_string().contains("--base 0"));
    assert_eq!(refused.exit(), Exit::Refused);
    assert_eq!(applied.json["generation"], 1);
}

#[test]
fn apply_diff_rollback_and_history_in_sequence() {
    let cx = FakeContext::new(MemStore::default());

    let first = run_on(
        &cx,
        "vakaloloma",
        &["apply", STORE, "--base=0", "--author=Ana"],
    )
    .unwrap();
    let same = run_on(&cx, "vakaloloma", &["diff", STORE]).unwrap();
    let other = run_on(&cx, "swan-river", &["diff", STORE]).unwrap();
    let second = run_on(&cx, "swan-river", &["apply", STORE, "--base=1"]).unwrap();
    let back = run(&cx, &["rollback", STORE, "--to=1", "--base=2"]).unwrap();
    let shown = run(&cx, &["show", STORE]).unwrap();
    let history = run(&cx, &["history", STORE]).unwrap();

    assert_eq!(first.exit, Exit::Done);
    assert_eq!(same.exit, Exit::Done);
    assert_eq!(other.exit, Exit::Differs);
    assert_eq!(second.json["generation"], 2);
    assert_eq!(back.json["generation"], 3);
    assert!(shown.text.contains("[routes.style-check]"));
    insta::assert_snapshot!(history.text.replace(|c: char| c.is_ascii_digit(), "N"));
}

#[test]
fn wait_succeeds_when_every_process_applies_the_tables() {
    let mut cx = FakeContext::new(MemStore::default());
    cx.entry = FakeEntry::new(&[0, 0, 1]);

    let args = ["apply", STORE, "--base=0", "--wait", ENTRY];
    let outcome = run_on(&cx, "vakaloloma", &args).unwrap();

    assert_eq!(outcome.exit, Exit::Done);
    assert_eq!(outcome.json["in-force-on"], 1);
}

#[test]
fn wait_lists_the_processes_that_are_behind_at_the_timeout() {
    let mut cx = FakeContext::new(MemStore::default());
    cx.entry = FakeEntry::new(&[0]);

    let args = ["apply", STORE, "--base=0", "--wait", ENTRY, "--timeout=5s"];
    let outcome = run_on(&cx, "vakaloloma", &args).unwrap();

    assert_eq!(outcome.exit, Exit::NotInForce);
    assert!(outcome.text.ends_with("entry entry-1 (generation 0)"));
}

#[test]
fn secrets_are_never_shown() {
    let token = wire::Token::new("hush");

    let shown = format!(
        "{:?}",
        ops::HttpEntry::new("127.0.0.1:9".parse().unwrap(), Some(token))
    );

    assert!(!shown.contains("hush"));
}

#[test]
fn unreachable_entry_gives_an_unreachable_error() {
    let entry = ops::HttpEntry::new(unused_addr(), None);

    let error = ops::EntryPort::status(&entry).unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Unreachable);
}

/// Returns a loopback address that nothing listens on.
fn unused_addr() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}
