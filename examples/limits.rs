//! Measures how far admission deviates from a rate limit that entries split by demand.
//!
//! In virtual time, entries receive Poisson arrivals at twice the limit and exchange their demand
//! once a second, with a delay of half a second. Two counters are compared: the token bucket that
//! the entries use, and a sliding window approximated from two fixed ones.

use std::process::ExitCode;

use base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::limits::Limits;
use tables::{RateLimit, Route, TablesDoc};

const ROUTES: &str = r#"
    [routes.check]
    path = "/check"
    kind = "request"
    pool = "runners"
    rate = { per-second = 200, burst = 20 }
"#;

const POOLS: &str = r#"
    [pools.runners]
    workers = ["*"]
"#;

/// Arrival rate as a multiple of the limit.
const OVERLOAD: f64 = 2.0;

/// Length of a run, in virtual seconds.
const SECONDS: usize = 60;

/// The second at which the demand changes.
const CHANGE_AT: usize = 30;

/// Maximum delay of gossip.
const GOSSIP_DELAY: Duration = Duration::from_millis(500);

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Steps per second.
const STEPS_PER_SECOND: usize = 1_000;

/// Maximum number of entries in any run.
const ENTRIES: usize = 4;

/// Share of the demand that each entry receives; `None` if the entry isn't running.
type Split = [Option<f64>; ENTRIES];

/// The split of the demand before and after the change.
struct Scenario {
    name: &'static str,
    before: Split,
    after: Split,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "even",
        before: [Some(0.34), Some(0.33), Some(0.33), None],
        after: [Some(0.34), Some(0.33), Some(0.33), None],
    },
    Scenario {
        name: "all on one",
        before: [Some(1.0), Some(0.0), Some(0.0), None],
        after: [Some(1.0), Some(0.0), Some(0.0), None],
    },
    Scenario {
        name: "all moves to another",
        before: [Some(1.0), Some(0.0), Some(0.0), None],
        after: [Some(0.0), Some(1.0), Some(0.0), None],
    },
    Scenario {
        name: "entry lost",
        before: [Some(0.34), Some(0.33), Some(0.33), None],
        after: [None, Some(0.5), Some(0.5), None],
    },
    Scenario {
        name: "entry added",
        before: [Some(0.34), Some(0.33), Some(0.33), None],
        after: [Some(0.25), Some(0.25), Some(0.25), Some(0.25)],
    },
];

/// The counter that decides on admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counter {
    Bucket,
    Window,
}

/// A sliding window over the last second, approximated from the counts of two fixed seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: usize,
    previous: f64,
    current: f64,
}

impl Window {
    fn admit(&mut self, step: usize, rate: RateLimit, share: f64) -> bool {
        let second = step / STEPS_PER_SECOND;
        if second > self.second {
            self.previous = if second == self.second + 1 {
                self.current
            } else {
                0.0
            };
            self.current = 0.0;
            self.second = second;
        }
        let passed = (step % STEPS_PER_SECOND) as f64 / STEPS_PER_SECOND as f64;
        let counted = self.previous * (1.0 - passed) + self.current;
        let is_below_limit = counted + 1.0 <= rate.per_second * share;
        self.current += f64::from(u8::from(is_below_limit));
        is_below_limit
    }
}

/// An entry with both counters.
struct Entry {
    id: EntryId,
    limits: Limits,
    window: Window,
    is_running: bool,
}

fn main() -> ExitCode {
    let Some((route, rate)) = limited_route() else {
        eprintln!("limits: the route has no rate");
        return ExitCode::FAILURE;
    };
    println!(
        "share of the limit that was admitted: whole run; worst and least second after the change"
    );
    for scenario in &SCENARIOS {
        for counter in [Counter::Bucket, Counter::Window] {
            let seconds = run(scenario, counter, &route, rate);
            let steady = &seconds[1..];
            let changed = &seconds[CHANGE_AT..];
            let whole = steady.iter().sum::<f64>() / steady.len() as f64;
            let worst = changed.iter().copied().fold(0.0, f64::max);
            let least = changed.iter().copied().fold(f64::MAX, f64::min);
            let name = scenario.name;
            println!("{name:<22}{counter:<8?} whole {whole:.3} worst {worst:.3} least {least:.3}");
        }
    }
    ExitCode::SUCCESS
}

/// Returns the number of requests admitted in each second, as a share of the limit.
fn run(scenario: &Scenario, counter: Counter, route: &Route, rate: RateLimit) -> Vec<f64> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries: Vec<Entry> = (0..ENTRIES).map(Entry::new).collect();
    let mut admitted = vec![0.0; SECONDS];
    for step in 0..SECONDS * STEPS_PER_SECOND {
        let now = start + STEP * step as u32;
        let second = step / STEPS_PER_SECOND;
        let split = if second < CHANGE_AT {
            &scenario.before
        } else {
            &scenario.after
        };
        for (entry, share) in entries.iter_mut().zip(split) {
            entry.is_running = share.is_some();
            let per_step =
                share.unwrap_or(0.0) * rate.per_second * OVERLOAD / STEPS_PER_SECOND as f64;
            if rng.random_bool(per_step.min(1.0)) && entry.admits(now, step, counter, route, rate) {
                admitted[second] += 1.0 / rate.per_second;
            }
        }
        exchange(&mut entries, now, step);
    }
    admitted
}

/// Updates the limits of each entry once a second, and sends its demand to the others after the
/// gossip delay.
fn exchange(entries: &mut [Entry], now: Instant, step: usize) {
    let delay = GOSSIP_DELAY.as_millis() as usize;
    if step.is_multiple_of(STEPS_PER_SECOND) {
        entries.iter_mut().for_each(|entry| entry.limits.tick(now));
    }
    if step % STEPS_PER_SECOND != delay {
        return;
    }
    let demands: Vec<_> = entries
        .iter()
        .filter(|entry| entry.is_running)
        .map(|entry| (entry.id.clone(), entry.limits.demand()))
        .collect();
    for entry in entries.iter_mut().filter(|entry| entry.is_running) {
        for (id, demand) in demands.iter().filter(|(id, _)| *id != entry.id) {
            entry.limits.peer_demand(now, id.clone(), demand.clone());
        }
    }
}

impl Entry {
    fn new(at: usize) -> Self {
        let id = EntryId::new(format!("entry-{at}"));
        Self {
            limits: Limits::new(id.clone()),
            id,
            window: Window::default(),
            is_running: false,
        }
    }

    /// Returns true if a request is admitted; its demand is recorded with either counter.
    fn admits(
        &mut self,
        now: Instant,
        step: usize,
        counter: Counter,
        route: &Route,
        rate: RateLimit,
    ) -> bool {
        let by_bucket = self.limits.begin(now, route).is_ok();
        self.limits.end(&route.name);
        match counter {
            Counter::Bucket => by_bucket,
            Counter::Window => {
                let share = self.limits.share(&route.name);
                self.window.admit(step, rate, share)
            }
        }
    }
}

fn limited_route() -> Option<(Arc<Route>, RateLimit)> {
    let doc = TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: ROUTES.into(),
        pools: POOLS.into(),
        author: "benchmark".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    };
    let tables = doc.tables().ok()?;
    let route = Arc::clone(tables.routes.first()?.1);
    let rate = route.rate?;
    Some((route, rate))
}
