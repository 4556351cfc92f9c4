//! Command-line flags, and the settings of each sample customer.

use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};

/// The command line of the example.
#[derive(Clone, Debug)]
pub(crate) struct Flags {
    pub(crate) desk: Desk,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
    pub(crate) fault: Fault,
    pub(crate) verbose: bool,
}

/// A sample customer, which sets the zones, delays, paths and pool of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Desk {
    Vakaloloma,
    SwanRiver,
}

/// The fault injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A worker VM is lost with all that runs on it.
    Vm,
    /// An entry that owns work is killed.
    Entry,
    /// The store refuses every call for some seconds.
    Store,
    /// Every open connection between entries and companions stops responding.
    Silent,
    /// All of the above faults, one after another.
    All,
}

impl Desk {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Vakaloloma => "vakaloloma",
            Self::SwanRiver => "swan-river",
        }
    }

    /// Returns the availability zones.
    pub(crate) fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Vakaloloma => ["viti-suva", "vanua-labasa", "viti-nadi"],
            Self::SwanRiver => ["perth-north", "kalgoorlie-hall", "fremantle"],
        }
    }

    /// Returns the one-way delay between availability zones.
    pub(crate) fn zone_delay(self) -> Duration {
        match self {
            Self::Vakaloloma => Duration::from_micros(500),
            Self::SwanRiver => Duration::from_micros(1_500),
        }
    }

    /// Returns the one-way delay to clients.
    pub(crate) fn client_delay(self) -> Duration {
        match self {
            Self::Vakaloloma => Duration::from_millis(1),
            Self::SwanRiver => Duration::from_millis(3),
        }
    }

    /// Returns the path of quick requests.
    pub(crate) fn request_path(self) -> &'static str {
        match self {
            Self::Vakaloloma => "/style-check",
            Self::SwanRiver => "/price-check",
        }
    }

    /// Returns the path of batch jobs.
    pub(crate) fn batch_path(self) -> &'static str {
        match self {
            Self::Vakaloloma => "/proof",
            Self::SwanRiver => "/settlement-run",
        }
    }

    /// Returns the path of standing tasks.
    pub(crate) fn standing_path(self) -> &'static str {
        match self {
            Self::Vakaloloma => "/style-watch",
            Self::SwanRiver => "/watch-list",
        }
    }

    /// Returns the pool of all these paths.
    pub(crate) fn pool(self) -> &'static str {
        match self {
            Self::Vakaloloma => "manuscript-desk",
            Self::SwanRiver => "trading-desk",
        }
    }
}

impl FromStr for Desk {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "vakaloloma" => Ok(Self::Vakaloloma),
            "swan-river" => Ok(Self::SwanRiver),
            _ => Err("expected vakaloloma or swan-river".to_owned()),
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "vm" => Ok(Self::Vm),
            "entry" => Ok(Self::Entry),
            "store" => Ok(Self::Store),
            "silent" => Ok(Self::Silent),
            "all" => Ok(Self::All),
            _ => Err("expected none, vm, entry, store, silent or all".to_owned()),
        }
    }
}

/// Parses the command line.
pub(crate) fn flags() -> OptionParser<Flags> {
    let desk = long("desk")
        .help("Whose desk to run: vakaloloma or swan-river")
        .argument::<Desk>("DESK")
        .fallback(Desk::Vakaloloma);
    let seconds = long("seconds")
        .help("How long to send load, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(10);
    let seed = long("seed")
        .help("Seed of the load")
        .argument::<u64>("SEED")
        .fallback(1);
    let fault = long("fault")
        .help("What goes wrong: none, vm, entry, store, silent or all")
        .argument::<Fault>("FAULT")
        .fallback(Fault::None);
    let verbose = long("verbose")
        .help("Show the logs of every process")
        .switch();
    construct!(Flags {
        desk,
        seconds,
        seed,
        fault,
        verbose
    })
    .to_options()
    .descr("Runs a whole desk on loopback and accounts for all of its work.")
}
