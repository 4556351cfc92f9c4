//! Logs as text or JSON, in which a line that repeats is held back.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

use base::prelude::*;
use slog::{Drain, Logger, OwnedKVList, Record, o};

/// Lines queued for the writer; later ones are dropped and counted.
const QUEUE_LINES: usize = 4096;
/// How often one place in the code may log within [`PERIOD`].
const BURST: u32 = 20;
/// How often one place may log a decision within [`PERIOD`]: some hundred jobs a second.
const DECISION_BURST: u32 = 4000;
const PERIOD: Duration = Duration::from_secs(10);

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For a person.
    #[default]
    Text,
    /// For a collector, one object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("expected text or json, found {text:?}")),
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

/// Creates the logger of a process, which writes to standard error from a thread of its own.
pub fn logger(format: LogFormat, clock: Arc<dyn Clock>) -> Logger {
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            root(drain, clock)
        }
        LogFormat::Json => root(slog_json::Json::default(std::io::stderr()).fuse(), clock),
    }
}

/// Creates a logger of decisions, which writes JSON to standard output from a thread of its own.
///
/// It keeps each decision that touches a request, so its bound is wider than that of [`logger`].
pub fn decision_logger(clock: Arc<dyn Clock>) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    root_with(drain, clock, DECISION_BURST)
}

fn root<D>(drain: D, clock: Arc<dyn Clock>) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    root_with(drain, clock, BURST)
}

fn root_with<D>(drain: D, clock: Arc<dyn Clock>, burst: u32) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(Limited::with_burst(queue, clock, burst).fuse(), o!())
}

/// A drain that lets each place in the code log a number of times within a period.
///
/// The first line after a silence tells how many were held back.
#[derive(Debug)]
pub struct Limited<D> {
    drain: D,
    burst: u32,
    clock: AssertUnwindSafe<Arc<dyn Clock>>,
    places: Mutex<IndexMap<(&'static str, u32), Place>>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    since: Instant,
    lines: u32,
    held_back: u64,
}

impl<D> Limited<D> {
    /// Wraps a drain.
    pub fn new(drain: D, clock: Arc<dyn Clock>) -> Self {
        Self::with_burst(drain, clock, BURST)
    }

    /// Wraps a drain that lets each place log `burst` times within a period.
    pub fn with_burst(drain: D, clock: Arc<dyn Clock>, burst: u32) -> Self {
        Self {
            drain,
            burst,
            clock: AssertUnwindSafe(clock),
            places: Mutex::default(),
        }
    }

    /// Tells whether a place may log now, and how many of its lines were held back before.
    fn admit(&self, place: (&'static str, u32)) -> Option<u64> {
        let now = self.clock.now();
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = Place {
            since: now,
            lines: 0,
            held_back: 0,
        };
        let place = places.entry(place).or_insert(fresh);
        let mut held_back = 0;
        if now.duration_since(place.since) >= PERIOD {
            held_back = place.held_back;
            *place = fresh;
        }
        if place.lines >= self.burst {
            place.held_back += 1;
            return None;
        }
        place.lines += 1;
        Some(held_back)
    }
}

impl<D: Drain<Ok = ()>> Drain for Limited<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let Some(held_back) = self.admit((record.file(), record.line())) else {
            return Ok(());
        };
        self.drain.log(record, values)?;
        if held_back == 0 {
            return Ok(());
        }
        let message = format_args!("log: {held_back} lines like the one before were held back");
        let rs = slog::record_static!(slog::Level::Warning, "");
        self.drain
            .log(&Record::new(&rs, &message, slog::b!()), values)
    }
}
