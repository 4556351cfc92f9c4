//! The settings of an entry: raw flags, resolved once to checked ones.

use std::net::SocketAddr;

use base::prelude::*;
use bpaf::{Parser, construct, long};
use report::LogFormat;
use wire::{TokenFlags, token_flags};

/// Flags and environment variables as given.
#[derive(Clone, Debug)]
pub struct EntryFlags {
    /// The name of this entry.
    pub name: Option<String>,
    /// The availability zone.
    pub zone: String,
    /// Address that serves callers' requests.
    pub http: SocketAddr,
    /// Address that serves control calls.
    pub rpc: SocketAddr,
    /// The store's address.
    pub store: SocketAddr,
    /// Control addresses of other entries to contact at the start.
    pub peers: Vec<SocketAddr>,
    /// How many threads serve requests.
    pub threads: usize,
    /// The format of the log.
    pub log_format: LogFormat,
    /// Where the shared secret comes from.
    pub token: TokenFlags,
}

/// The checked settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryCfg {
    /// The id of this entry, new at every start.
    pub entry: EntryId,
    /// The availability zone.
    pub zone: ZoneName,
    /// Address that serves callers' requests; port 0 binds a free port.
    pub http_addr: SocketAddr,
    /// Address that serves control calls; port 0 binds a free port.
    pub rpc_addr: SocketAddr,
    /// The store's address.
    pub store: SocketAddr,
    /// Control addresses of other entries to contact at the start.
    pub peers: Vec<SocketAddr>,
    /// How many threads serve requests.
    pub threads: usize,
}

/// The default number of threads that serve requests.
const DEFAULT_THREADS: usize = 128;

/// Parses the flags of the `entry` command.
pub fn entry_flags() -> impl Parser<EntryFlags> {
    let name = long("name")
        .env("MONSOONTRESTLE_NAME")
        .help("Name of this entry; drawn at random by default")
        .argument::<String>("NAME")
        .optional();
    let zone = long("zone")
        .env("MONSOONTRESTLE_ZONE")
        .help("Availability zone that this VM is in")
        .argument::<String>("ZONE");
    let http = long("http")
        .env("MONSOONTRESTLE_HTTP")
        .help("IP address and port for callers and operators")
        .argument::<SocketAddr>("ADDR");
    let rpc = long("rpc")
        .env("MONSOONTRESTLE_RPC")
        .help("IP address and port for the system's own processes")
        .argument::<SocketAddr>("ADDR");
    let store = long("store")
        .env("MONSOONTRESTLE_STORE")
        .help("IP address and port of the platform's key-value service")
        .argument::<SocketAddr>("ADDR");
    let peers = long("peer")
        .help("Control address of another entry; may be given more than once")
        .argument::<SocketAddr>("ADDR")
        .many();
    let threads = long("threads")
        .env("MONSOONTRESTLE_THREADS")
        .help("Threads that serve requests")
        .argument::<usize>("COUNT")
        .fallback(DEFAULT_THREADS)
        .display_fallback();
    let log_format = long("log")
        .env("MONSOONTRESTLE_LOG")
        .help("Form of the log: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text)
        .display_fallback();
    let token = token_flags();
    construct!(EntryFlags {
        name,
        zone,
        http,
        rpc,
        store,
        peers,
        threads,
        log_format,
        token
    })
}

impl EntryFlags {
    /// Checks the flags and fills in defaults.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] naming the invalid flag.
    pub fn resolve(self) -> Result<EntryCfg> {
        let invalid = |message| Error::new(ErrorKind::Invalid, "read settings", "entry", message);
        if self.zone.is_empty() {
            return Err(invalid("--zone: expected the name of an availability zone"));
        }
        if self.threads == 0 {
            return Err(invalid("--threads: expected at least 1"));
        }
        let suffix = rand::random::<u32>();
        let name = self.name.unwrap_or_else(|| "entry".to_owned());
        Ok(EntryCfg {
            entry: EntryId::new(format!("{name}-{suffix:08x}")),
            zone: ZoneName::from(self.zone),
            http_addr: self.http,
            rpc_addr: self.rpc,
            store: self.store,
            peers: self.peers,
            threads: self.threads,
        })
    }
}
