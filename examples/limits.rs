//! Measures how far admission strays from a limit that entries split by demand.
//!
//! Under virtual time, entries take Poisson arrivals at twice the limit and exchange
//! their demand once a second, half a second late. Two counters are compared: the
//! token bucket that the entries use, and a sliding window over two fixed ones.

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

/// How many requests arrive for each that the limit allows.
const OVERLOAD: f64 = 2.0;

/// How long a run is, in virtual seconds.
const SECONDS: usize = 60;

/// When the demand changes.
const CHANGE_AT: usize = 30;

/// How long gossip is on its way at most.
const GOSSIP_DELAY: Duration = Duration::from_millis(500);

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Steps in a second.
const STEPS: usize = 1_000;

/// The most entries in any run.
const ENTRIES: usize = 4;

/// The parts of the demand that entries get; `None` where an entry is not there.
type Split = [Option<f64>; ENTRIES];

/// What happens in a run.
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

/// Which counter admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Counter {
    Bucket,
    Window,
}

/// A count over the last second, from the counts of two fixed seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: usize,
    before: f64,
    now: f64,
}

impl Window {
    fn take(&mut self, step: usize, rate: RateLimit, share: f64) -> bool {
        let second = step / STEPS;
        if second > self.second {
            self.before = if second == self.second + 1 {
                self.now
            } else {
                0.0
            };
            self.now = 0.0;
            self.second = second;
        }
        let passed = (step % STEPS) as f64 / STEPS as f64;
        let counted = self.before * (1.0 - passed) + self.now;
        let has_room = counted + 1.0 <= rate.per_second * share;
        self.now += f64::from(u8::from(has_room));
        has_room
    }
}

/// An entry with its limits.
struct Entry {
    id: EntryId,
    limits: Limits,
    window: Window,
    is_there: bool,
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

/// Returns what was admitted in each second, as a share of the limit.
fn run(scenario: &Scenario, counter: Counter, route: &Route, rate: RateLimit) -> Vec<f64> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries: Vec<Entry> = (0..ENTRIES).map(Entry::new).collect();
    let mut admitted = vec![0.0; SECONDS];
    for step in 0..SECONDS * STEPS {
        let now = start + STEP * step as u32;
        let second = step / STEPS;
        let split = if second < CHANGE_AT {
            &scenario.before
        } else {
            &scenario.after
        };
        for (entry, part) in entries.iter_mut().zip(split) {
            entry.is_there = part.is_some();
            let per_step = part.unwrap_or(0.0) * rate.per_second * OVERLOAD / STEPS as f64;
            if rng.random_bool(per_step.min(1.0)) && entry.admits(now, step, counter, route, rate) {
                admitted[second] += 1.0 / rate.per_second;
            }
        }
        exchange(&mut entries, now, step);
    }
    admitted
}

/// Closes the second of each entry and tells its demand to the others, later.
fn exchange(entries: &mut [Entry], now: Instant, step: usize) {
    let delay = GOSSIP_DELAY.as_millis() as usize;
    if step.is_multiple_of(STEPS) {
        entries.iter_mut().for_each(|entry| entry.limits.tick(now));
    }
    if step % STEPS != delay {
        return;
    }
    let told: Vec<_> = entries
        .iter()
        .filter(|entry| entry.is_there)
        .map(|entry| (entry.id.clone(), entry.limits.demand()))
        .collect();
    for entry in entries.iter_mut().filter(|entry| entry.is_there) {
        for (id, demand) in told.iter().filter(|(id, _)| *id != entry.id) {
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
            is_there: false,
        }
    }

    /// Takes a request; its demand counts with either counter.
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
                self.window.take(step, rate, share)
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
