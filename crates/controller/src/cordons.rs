//! Decides when to read the cordoned availability zones, and what a read shows.

use base::prelude::*;
use cordon::Observation;
use ports::store::{KeyValue, StoreCall, StoreReply};
use slog::{Logger, warn};

use crate::CordonCfg;
use crate::elector::Clocks;

/// The longest interval between two reads.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The shortest interval between two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// How many reads there are at least in the time of the bound.
const READS_PER_BOUND: u32 = 10;

/// The interval after a read that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of keys to read; there are only a few zones.
const MAX_KEYS: usize = 1000;

/// How far the two clocks may drift apart before the process counts as suspended: the monotonic
/// clock does not run meanwhile.
const MAX_SUSPENSION: Duration = Duration::from_millis(100);

/// Reads the operators' keys that cordon availability zones.
///
/// A list is read anew each time rather than watched, so that no history of the store is needed.
#[derive(Debug)]
pub struct CordonReader {
    cfg: CordonCfg,
    /// When the read in progress was sent.
    sent: Option<Clocks>,
    next: Option<Instant>,
    latest: Option<(Observation, Clocks)>,
    /// Zones that the settings do not name and that were warned of.
    unknown: IndexSet<ZoneName>,
}

impl CordonReader {
    /// Creates a reader that is not running.
    pub fn new(cfg: CordonCfg) -> Self {
        Self {
            cfg,
            sent: None,
            next: None,
            latest: None,
            unknown: IndexSet::new(),
        }
    }

    /// Stops reading, and drops what is known.
    pub fn stop(&mut self) {
        self.next = None;
        self.latest = None;
    }

    /// Returns the next read if it is due; the first one is due at once.
    pub fn run(&mut self, clocks: Clocks) -> Option<StoreCall> {
        let (now, _) = clocks;
        if self.sent.is_some() || self.next.is_some_and(|at| at > now) {
            return None;
        }
        self.sent = Some(clocks);
        Some(StoreCall::List {
            prefix: Arc::clone(&self.cfg.prefix),
            after: None,
            limit: MAX_KEYS,
        })
    }

    /// Returns when [`CordonReader::run`] has to be called next.
    pub fn next_due(&self) -> Option<Instant> {
        self.next.filter(|_| self.sent.is_none())
    }

    /// Handles the reply to a read; returns what it showed.
    pub fn handle_reply(
        &mut self,
        now: Instant,
        reply: Result<StoreReply>,
        log: &Logger,
    ) -> Option<Observation> {
        let sent = self.sent.take()?;
        let items = match reply {
            Ok(StoreReply::Listed(items)) => items,
            Ok(_) => {
                warn!(log, "entry: cordons could not be read"; "error" => "unexpected kind of reply");
                self.next = Some(now + RETRY_INTERVAL);
                return None;
            }
            Err(e) => {
                warn!(log, "entry: cordons could not be read"; "error" => %e);
                self.next = Some(now + RETRY_INTERVAL);
                return None;
            }
        };
        let interval = self.cfg.bound / READS_PER_BOUND;
        let interval = interval.clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL);
        self.next = Some(now + interval);
        let observation = Observation {
            zones: self.zones(&items, log),
            sent_at: sent.0,
        };
        self.latest = Some((observation.clone(), sent));
        Some(observation)
    }

    /// Returns what the latest read showed.
    pub fn latest(&self) -> Option<Observation> {
        self.latest.as_ref().map(|(latest, _)| latest.clone())
    }

    /// Drops what is known if the process was suspended since, because its age can't be told;
    /// returns true if it was.
    pub fn drop_if_suspended(&mut self, (now, boot_time): Clocks) -> bool {
        let is_suspended = |since: &Clocks| {
            let awake = now.saturating_duration_since(since.0);
            boot_time.saturating_sub(since.1) > awake + MAX_SUSPENSION
        };
        // The reply to a read that was sent before the suspension is too old as well.
        if let Some(sent) = self.sent.as_mut().filter(|sent| is_suspended(sent)) {
            let awake = now.saturating_duration_since(sent.0);
            let suspended = boot_time.saturating_sub(sent.1).saturating_sub(awake);
            sent.0 = sent.0.checked_sub(suspended).unwrap_or(sent.0);
            sent.1 = boot_time.saturating_sub(awake);
        }
        let is_outdated = self.latest.as_ref().is_some_and(|(_, at)| is_suspended(at));
        if is_outdated {
            self.latest = None;
            self.next = Some(now);
        }
        is_outdated
    }

    /// Returns the zones that the keys name. A key alone cordons its zone, whatever its value, and also
    /// a zone that was added after the settings were written.
    fn zones(&mut self, items: &[KeyValue], log: &Logger) -> IndexSet<ZoneName> {
        let names = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(&*self.cfg.prefix));
        let zones: IndexSet<ZoneName> = names.map(ZoneName::from).collect();
        for zone in zones.difference(&self.cfg.zones) {
            if self.unknown.insert(zone.clone()) {
                warn!(log, "entry: cordon of an unknown availability zone"; "zone" => %zone);
            }
        }
        self.unknown.retain(|zone| zones.contains(zone));
        zones
    }
}
