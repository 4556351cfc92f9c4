//! Tests of the burn report, metrics and logs.

use std::sync::Mutex;

use base::ManualClock;
use base::prelude::*;
use report::burn::{Alarm, BurnMeter, BurnReport, Sample};
use report::{Metrics, RateLimitedDrain};
use slog::{Drain, Logger, OwnedKVList, Record, o, warn};
use tables::{Source, Tables, parse};

const SECOND: Duration = Duration::from_secs(1);

fn tables() -> Tables {
    let routes = "[routes.check]\npath = \"/check\"\nkind = \"request\"\npool = \"desk\"\n\
                  objective = { within = \"100ms\", share = 0.99 }\n\
                  [routes.proof]\npath = \"/proof\"\nkind = \"batch\"\npool = \"desk\"\n\
                  objective = { within = \"8h\", share = 0.9 }\n";
    let pools = "[pools.desk]\nworkers = [\"runner-*\"]\n";
    let source = |path: &str, text: &str| Source {
        path: path.into(),
        text: text.into(),
    };
    parse(&source("routes.toml", routes), &source("pools.toml", pools))
        .expect("valid")
        .tables
}

fn meter(start: Instant) -> BurnMeter {
    let mut meter = BurnMeter::new("entry-1", start);
    meter.set_tables(&tables());
    meter
}

/// Records 100 requests a minute, of which one in `bad_one_in` misses the objective.
fn load(meter: &mut BurnMeter, from: Instant, minutes: u32, bad_one_in: u32) {
    let route = RouteName::from("check");
    for minute in 0..minutes {
        for i in 0..100 {
            let sample = Sample {
                route: &route,
                is_good: i % bad_one_in != 0,
                offender: "runner-1: slow",
            };
            meter.record(from + 60 * SECOND * minute, &sample);
        }
    }
}

fn report_at(meter: &mut BurnMeter, now: Instant) -> BurnReport {
    meter.snapshot(now).report(Vec::new())
}

#[test]
fn steady_burn_within_the_budget_raises_no_alarm() {
    let start = Instant::now();
    let mut meter = meter(start);

    load(&mut meter, start, 360, 100);
    let report = report_at(&mut meter, start + 360 * 60 * SECOND);

    let check = &report.routes[0];
    assert_eq!(check.alarm, Alarm::None);
    assert!((check.burn[3] - 1.0).abs() < 0.01, "{:?}", check.burn);
    assert!(check.budget_left.abs() < 0.01, "{}", check.budget_left);
}

#[test]
fn fast_burn_pages_and_stops_paging_soon_after_its_end() {
    let start = Instant::now();
    let mut meter = meter(start);

    load(&mut meter, start, 70, 4);
    let during = report_at(&mut meter, start + 70 * 60 * SECOND);
    load(&mut meter, start + 70 * 60 * SECOND, 8, 1000);
    let after = report_at(&mut meter, start + 78 * 60 * SECOND);

    assert_eq!(during.routes[0].alarm, Alarm::Page);
    assert_eq!(&*during.routes[0].worst[0].name, "runner-1: slow");
    assert_ne!(after.routes[0].alarm, Alarm::Page);
}

#[test]
fn slow_burn_raises_a_ticket() {
    let start = Instant::now();
    let mut meter = meter(start);

    load(&mut meter, start, 360, 12);
    let report = report_at(&mut meter, start + 360 * 60 * SECOND);

    assert_eq!(report.routes[0].alarm, Alarm::Ticket);
}

#[test]
fn counts_age_out_of_every_window() {
    let start = Instant::now();
    let mut meter = meter(start);

    load(&mut meter, start, 10, 1);
    let report = report_at(&mut meter, start + 7 * 3600 * SECOND);

    assert_eq!(report.routes[0].burn, [0.0; 4]);
    assert!(report.routes[0].budget_left < 0.0);
    assert_eq!(report.routes[0].worst, []);
}

#[test]
fn counts_of_processes_are_summed() {
    let start = Instant::now();
    let mut first = meter(start);
    let mut second = meter(start);
    load(&mut first, start, 5, 10);
    load(&mut second, start, 5, 20);
    let now = start + 300 * SECOND;

    let mut all = first.snapshot(now);
    all.merge(second.snapshot(now));
    let report = all.report(vec!["entry-3".into()]);

    assert_eq!(report.routes[0].counts[2].total, 1000);
    assert_eq!(report.routes[0].counts[2].bad, 75);
    insta::assert_snapshot!(report);
}

#[test]
fn html_page_is_self_contained() {
    let start = Instant::now();
    let mut meter = meter(start);
    load(&mut meter, start, 60, 4);

    let html = report_at(&mut meter, start + 3599 * SECOND)
        .to_html()
        .unwrap();

    assert_eq!(html.matches("<svg").count(), 2);
    assert!(
        !html
            .replace("http://www.w3.org/2000/svg", "")
            .contains("http")
    );
    assert!(html.contains("runner-1: slow (1500)"), "{html:.900}");
}

#[test]
fn offenders_are_bounded() {
    let start = Instant::now();
    let mut meter = meter(start);
    let route = RouteName::from("check");

    for i in 0..1000 {
        let offender = format!("made-up-{i}");
        let sample = Sample {
            route: &route,
            is_good: false,
            offender: &offender,
        };
        meter.record(start, &sample);
    }
    let snapshot = meter.snapshot(start);

    assert_eq!(snapshot.routes[0].offenders.len(), 33);
}

#[test]
fn metrics_carry_units_and_bounded_labels() {
    let metrics = Metrics::new();
    metrics.set_tables(&tables());

    for i in 0..100 {
        metrics.request(&format!("made-up-{i}"), "answered", 2 * SECOND);
    }
    metrics.request("check", "answered", SECOND / 100);
    metrics.store_call("put", true, SECOND / 1000);
    let text = metrics.encode().unwrap();

    assert!(
        text.contains("monsoontrestle_requests_total{route=\"other\",outcome=\"answered\"} 100")
    );
    assert!(text.contains("monsoontrestle_request_duration_seconds_count{route=\"check\"} 1"));
    assert!(text.contains("monsoontrestle_store_calls_total{kind=\"put\",result=\"ok\"} 1"));
    assert!(text.contains("monsoontrestle_promise_breaches_total{promise=\"no_revert\"} 0"));
    assert!(!text.contains("made-up"));
}

/// Collects the logged messages.
#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

#[test]
fn repeated_lines_are_suppressed_and_counted() {
    let lines = Lines::default();
    let clock = Arc::new(ManualClock::new());
    let drain = RateLimitedDrain::new(lines.clone(), Arc::clone(&clock) as Arc<dyn Clock>);
    let log = Logger::root(drain.fuse(), o!());
    let log_warning = |i| warn!(log, "store: no answer, try {}", i);

    for i in 0..100 {
        log_warning(i);
    }
    clock.advance(11 * SECOND);
    log_warning(100);

    let lines = lines.0.lock().unwrap();
    assert_eq!(lines.len(), 22);
    assert_eq!(lines[20], "store: no answer, try 100");
    assert_eq!(
        lines[21],
        "log: 80 lines like the one before were held back"
    );
}
