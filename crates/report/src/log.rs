//! Logs as text or JSON, with a rate limit on repeated lines.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

use base::prelude::*;
use slog::{Drain, Logger, OwnedKVList, Record, o};

/// Capacity of the queue to the writer thread; lines beyond it are dropped and counted.
const QUEUE_LINES: usize = 4096;
/// Lines that one call site may log within [`PERIOD`].
const BURST: u32 = 20;
/// Decisions that one call site may log within [`PERIOD`]: several hundred jobs a second.
const DECISION_BURST: u32 = 4000;
const PERIOD: Duration = Duration::from_secs(10);

/// The log format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// JSON for log collectors, one object per line.
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
/// It must keep each decision that affects a request, so its rate limit is higher than that of
/// [`logger`].
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
    Logger::root(
        RateLimitedDrain::with_burst(queue, clock, burst).fuse(),
        o!(),
    )
}

/// A drain that limits how many lines each call site may log within a period.
///
/// The first line of the next period is followed by the number of suppressed lines.
#[derive(Debug)]
pub struct RateLimitedDrain<D> {
    drain: D,
    burst: u32,
    clock: AssertUnwindSafe<Arc<dyn Clock>>,
    call_sites: Mutex<IndexMap<(&'static str, u32), CallSite>>,
}

#[derive(Clone, Copy, Debug)]
struct CallSite {
    /// The start of the current period.
    since: Instant,
    lines: u32,
    suppressed: u64,
}

impl<D> RateLimitedDrain<D> {
    /// Wraps a drain with the default limit of lines within a period.
    pub fn new(drain: D, clock: Arc<dyn Clock>) -> Self {
        Self::with_burst(drain, clock, BURST)
    }

    /// Wraps a drain; each call site may log `burst` lines within a period.
    pub fn with_burst(drain: D, clock: Arc<dyn Clock>, burst: u32) -> Self {
        Self {
            drain,
            burst,
            clock: AssertUnwindSafe(clock),
            call_sites: Mutex::default(),
        }
    }

    /// Returns how many lines were suppressed in the period before, or `None` if the call site has
    /// reached its limit.
    fn admit(&self, location: (&'static str, u32)) -> Option<u64> {
        let now = self.clock.now();
        let mut call_sites = self
            .call_sites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let new_period = CallSite {
            since: now,
            lines: 0,
            suppressed: 0,
        };
        let call_site = call_sites.entry(location).or_insert(new_period);
        let mut suppressed = 0;
        if now.duration_since(call_site.since) >= PERIOD {
            suppressed = call_site.suppressed;
            *call_site = new_period;
        }
        if call_site.lines >= self.burst {
            call_site.suppressed += 1;
            return None;
        }
        call_site.lines += 1;
        Some(suppressed)
    }
}

impl<D: Drain<Ok = ()>> Drain for RateLimitedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let Some(suppressed) = self.admit((record.file(), record.line())) else {
            return Ok(());
        };
        self.drain.log(record, values)?;
        if suppressed == 0 {
            return Ok(());
        }
        let message = format_args!("log: {suppressed} lines like the one before were held back");
        let rs = slog::record_static!(slog::Level::Warning, "");
        self.drain
            .log(&Record::new(&rs, &message, slog::b!()), values)
    }
}
