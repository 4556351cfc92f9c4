//! Tests of the account of a day.

use ops::{LogText, day_account};

const LATE: &str = "30788bbd75f88d70";
const STANDING: &str = "ffff8bbd75f88d70";

fn line(ms: u32, msg: &str, fields: &str) -> String {
    let (s, ms) = (ms / 1000, ms % 1000);
    format!("entry-1 {{\"msg\":\"{msg}\",\"ts\":\"2026-03-17T09:39:{s:02}.{ms:03}Z\",{fields}}}\n")
}

fn accepted(ms: u32, job: &str, standing: bool, objective_ms: u32) -> String {
    let fields = format!(
        "\"job\":\"{job}\",\"route\":\"checks\",\"tasks\":1,\"standing\":{standing},\
         \"path_ms\":1000,\"objective_ms\":{objective_ms},\"core_ms\":2000,\"scheduled\":false"
    );
    line(ms, "owner: job accepted", &fields)
}

fn run(ms: u32, event: &str, job: &str, attempt: u32, more: &str) -> String {
    let fields = format!("\"run\":\"{job}.0.0.0#{attempt}\",\"vm\":\"vm-1\"{more}");
    line(ms, &format!("owner: run {event}"), &fields)
}

fn done(ms: u32, job: &str, attempt: u32) -> [String; 2] {
    let fields = format!("\"job\":\"{job}\",\"state\":\"Completed\"");
    [
        run(ms, "ended", job, attempt, ",\"how\":\"Done\""),
        line(ms + 1, "owner: job ended", &fields),
    ]
}

fn account(lines: &[String]) -> String {
    let source = "entry-1".to_owned();
    let text = lines.concat();
    day_account(&[LogText { source, text }]).expect("a job is accepted")
}

/// Returns the row of a cause, without its share and spaces.
fn row(account: &str, cause: &str) -> Vec<String> {
    let row = account.lines().find(|line| line.ends_with(cause));
    let row = row.unwrap_or_else(|| panic!("no row of {cause}:\n{account}"));
    row.split_whitespace().take(5).map(str::to_owned).collect()
}

#[test]
fn wait_for_room_is_charged_to_the_queue() {
    let [ended, job_ended] = done(5000, LATE, 1);
    let lines = [
        accepted(1000, LATE, false, 1500),
        run(3900, "ordered", LATE, 1, ""),
        run(4000, "started", LATE, 1, ""),
        ended,
        job_ended,
    ];

    let account = account(&lines);

    let expected = ["1.000", "1", "0", "2.9", "2.9"];
    assert_eq!(row(&account, "checks, late by queue"), expected);
}

#[test]
fn wait_for_a_new_owner_is_charged_to_the_takeover() {
    let [ended, job_ended] = done(9000, LATE, 1025);
    let lines = [
        accepted(1000, LATE, false, 1500),
        line(3000, "entry: elected", "\"epoch\":2"),
        line(
            7500,
            "owner: all workers of the predecessor are heard or lapsed",
            "\"epoch\":2",
        ),
        run(8000, "ordered", LATE, 1025, ""),
        run(8000, "started", LATE, 1025, ""),
        ended,
        job_ended,
    ];

    let account = account(&lines);

    let expected = ["1.000", "1", "1", "6.5", "6.5"];
    assert_eq!(row(&account, "checks, late by takeover"), expected);
}

#[test]
fn failed_attempts_are_charged_to_repeated_runs() {
    let [ended, job_ended] = done(5000, LATE, 2);
    let lines = [
        accepted(1000, LATE, false, 1500),
        run(1100, "ordered", LATE, 1, ""),
        run(1100, "started", LATE, 1, ""),
        run(3900, "ended", LATE, 1, ",\"how\":\"Failed\""),
        run(3900, "ordered", LATE, 2, ""),
        run(4000, "started", LATE, 2, ""),
        ended,
        job_ended,
    ];

    let account = account(&lines);

    let expected = ["1.000", "1", "0", "2.8", "2.8"];
    assert_eq!(row(&account, "checks, late by repeated runs"), expected);
}

#[test]
fn job_on_time_is_no_loss() {
    let [ended, job_ended] = done(2200, LATE, 1);
    let lines = [
        accepted(1000, LATE, false, 1500),
        run(1100, "ordered", LATE, 1, ""),
        run(1200, "started", LATE, 1, ""),
        ended,
        job_ended,
    ];

    let account = account(&lines);

    assert!(!account.contains("late by"), "{account}");
}

#[test]
fn standing_task_is_away_from_its_end_to_the_next_start() {
    let lines = [
        accepted(1000, STANDING, true, 0),
        run(1000, "ordered", STANDING, 1, ""),
        run(1000, "started", STANDING, 1, ""),
        run(4000, "ended", STANDING, 1, ",\"how\":\"Failed\""),
        run(4500, "ordered", STANDING, 2, ""),
        run(5000, "started", STANDING, 2, ""),
        line(11000, "owner: fillers paced", "\"percent\":50"),
    ];

    let account = account(&lines);

    let expected = ["0.100", "1", "0", "1.0", "1.0"];
    assert_eq!(row(&account, "checks, away after a failure"), expected);
    assert!(account.contains("throttle orders: 1 (1 to 50%)"));
}

#[test]
fn refusal_names_its_reason_and_jobs_that_were_never_accepted() {
    let told = r#"Refused { reason: \"the store is out of reach\", retry_after_ms: 2000 }"#;
    let answer = |job| {
        let fields = format!(r#""verb":"submit","path":"/checks/{job}","told":"{told}""#);
        line(500, "entry: answered", &fields)
    };
    let lines = [
        answer(LATE),
        answer(STANDING),
        accepted(1000, LATE, false, 1500),
    ];

    let account = account(&lines);

    let expected = "refused: 2 answers to 2 jobs, 1 never accepted, while owned: \
                    the store is out of reach";
    assert!(account.contains(expected), "{account}");
}
