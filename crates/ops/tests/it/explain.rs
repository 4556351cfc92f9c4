//! Tests of the timeline of a job.

use ops::{LogText, job_timeline};

const ID: &str = "30788bbd75f88d70";

fn line(ms: u32, msg: &str, fields: &str) -> String {
    let (s, ms) = (ms / 1000, ms % 1000);
    format!(
        "{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"2026-03-17T09:39:{s:02}.{ms:03}Z\",{fields}}}\n"
    )
}

fn log(source: &str, lines: &[String]) -> LogText {
    LogText {
        source: source.into(),
        text: lines.concat(),
    }
}

/// The log of an owner that accepts the job, orders a run on `vm-1` and crashes.
fn first_owner() -> LogText {
    let accepted = line(1000, "owner: job accepted", &format!("\"job\":\"{ID}\""));
    let run = format!("\"run\":\"{ID}.0.0.0#1\",\"vm\":\"vm-1\"");
    let other = line(1020, "owner: job accepted", "\"job\":\"ffff8bbd75f88d70\"");
    log(
        "entry-1",
        &[accepted, other, line(1050, "owner: run ordered", &run)],
    )
}

/// The log of the next owner, at which the lease of `vm-1` expires.
fn second_owner() -> LogText {
    let elected = line(3000, "entry: elected", "\"epoch\":2");
    let expired = line(9000, "owner: worker lease lapsed", "\"vm\":\"vm-1\"");
    let elsewhere = line(9001, "owner: worker lease lapsed", "\"vm\":\"vm-7\"");
    let run = format!("\"run\":\"{ID}.0.0.0#1025\",\"vm\":\"vm-2\"");
    let ordered = line(9010, "owner: run ordered", &run);
    let ended = line(9900, "owner: run ended", &run);
    let job = format!("\"job\":\"{ID}\",\"state\":\"Completed\"");
    let job = line(9901, "owner: job ended", &job);
    log(
        "entry-2",
        &[elected, expired, elsewhere, ordered, ended, job],
    )
}

#[test]
fn timeline_merges_several_logs_in_order_of_time() {
    let timeline =
        job_timeline(ID, &[second_owner(), first_owner()], false).expect("the job is named");

    insta::assert_snapshot!(timeline);
}

#[test]
fn run_without_a_later_line_is_reported_as_a_gap() {
    let timeline = job_timeline(ID, &[first_owner()], true).expect("the job is named");

    assert!(
        timeline.contains("? run 30788bbd75f88d70.0.0.0#1 was ordered"),
        "{timeline}"
    );
    assert!(timeline.contains("? no line tells its end"), "{timeline}");
}

#[test]
fn process_name_at_the_start_of_a_line_is_its_source() {
    let text = format!(
        "  1.25 edge-7 {}",
        line(1, "owner: refused", &format!("\"job\":\"{ID}\""))
    );
    let logs = [LogText {
        source: "all".into(),
        text: format!("not a log line\n{text}{{\"cut"),
    }];

    let timeline = job_timeline(ID, &logs, false).expect("the job is named");

    assert!(timeline.contains("edge-7: owner: refused"), "{timeline}");
    assert!(!timeline.contains('?'), "a refusal has no further steps");
}

#[test]
fn job_that_no_line_names_has_no_timeline() {
    assert_eq!(
        job_timeline("0000000000000000", &[first_owner()], false),
        None
    );
}

#[test]
fn crash_and_the_verdict_on_a_task_of_the_job_are_shown() {
    let task = format!("\"task\":\"{ID}.0.0.0\"");
    let crashed = line(4000, "owner: worker crashed", "\"vm\":\"vm-1\"");
    let lost = format!("{task},\"vm\":\"vm-1\",\"ran_ms\":14,\"strength\":\"Alone\"");
    let lost = line(4001, "owner: run on a lost worker", &lost);
    let cause = format!("{task},\"cause\":\"task {ID}.0.0.0 crashed 2 workers (vm-1, vm-2)\"");
    let given_up = line(4002, "owner: task given up", &cause);
    let owner = log("entry-3", &[crashed, lost, given_up]);

    let timeline = job_timeline(ID, &[first_owner(), owner], false).expect("the job is named");

    for text in ["worker crashed", "strength=Alone", "crashed 2 workers"] {
        assert!(timeline.contains(text), "{text} in\n{timeline}");
    }
}
