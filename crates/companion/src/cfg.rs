//! The settings of a companion: command-line flags and the validated settings made from them.

use std::net::SocketAddr;

use base::prelude::*;
use bpaf::{OptionParser, Parser, construct, long};
use report::LogFormat;
use wire::{TokenFlags, token_flags};

/// Flags and environment variables, not validated.
#[derive(Clone, Debug)]
pub struct CompanionFlags {
    /// The target's name.
    pub target: String,
    /// The worker's name; defaults to the target's.
    pub worker: Option<String>,
    /// The availability zone.
    pub zone: String,
    /// The rack.
    pub rack: String,
    /// The address to serve requests on.
    pub http: SocketAddr,
    /// The address at which entries reach [`Self::http`], if it differs.
    pub announce_http: Option<SocketAddr>,
    /// The address to serve control calls on.
    pub rpc: SocketAddr,
    /// The target's address.
    pub target_addr: SocketAddr,
    /// The address of the worker's interface.
    pub worker_addr: SocketAddr,
    /// Control addresses of entries.
    pub entries: Vec<SocketAddr>,
    /// The number of slots of the target.
    pub slots: u32,
    /// The number of connections of the target.
    pub connections: u32,
    /// The worker's number of cores.
    pub cores: u64,
    /// The worker's memory, in mebibytes.
    pub memory_mib: u64,
    /// The worker's number of accelerators.
    pub accelerators: u32,
    /// The log format.
    pub log_format: LogFormat,
    /// Where the shared secret comes from.
    pub token: TokenFlags,
}

/// The validated settings of a companion.
#[derive(Clone, Debug)]
pub struct CompanionCfg {
    /// The target.
    pub target: TargetId,
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of this companion, drawn at random at every start.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The address to serve requests on; port 0 picks a free one.
    pub http_addr: SocketAddr,
    /// The address at which entries reach [`Self::http_addr`], if it differs.
    pub announce_http: Option<SocketAddr>,
    /// The address to serve control calls on; port 0 picks a free one.
    pub rpc_addr: SocketAddr,
    /// The target's address.
    pub target_addr: SocketAddr,
    /// The address of the worker's interface.
    pub worker_addr: SocketAddr,
    /// Control addresses of the entries to contact first; more are learned from their responses.
    pub entries: Vec<SocketAddr>,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// How many requests run or wait for a slot at once.
    pub connections: u32,
    /// The worker's total resources.
    pub capacity: Resources,
}

/// Default number of slots of a target.
const DEFAULT_SLOTS: u32 = 8;

/// Default number of connections of a target.
const DEFAULT_CONNECTIONS: u32 = 64;

/// Default number of cores of a worker.
const DEFAULT_CORES: u64 = 64;

/// Default memory of a worker, in mebibytes.
const DEFAULT_MEMORY_MIB: u64 = 250 * 1024;

/// The one-line description in the companion's help.
pub const SUMMARY: &str = "Runs beside one target and its worker VM, and admits all work to both.";

/// Returns the parser of the companion's command line.
pub fn companion_flags() -> OptionParser<CompanionFlags> {
    companion_parser()
        .to_options()
        .descr(SUMMARY)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Returns the parser of the companion's flags, to be combined with others.
pub fn companion_parser() -> impl Parser<CompanionFlags> {
    let target = long("target")
        .env("MONSOONTRESTLE_TARGET")
        .help("Name of the target beside this process")
        .argument::<String>("NAME");
    let worker = long("worker")
        .env("MONSOONTRESTLE_WORKER")
        .help("Name of the worker VM; the target's name by default")
        .argument::<String>("NAME")
        .optional();
    let zone = long("zone")
        .env("MONSOONTRESTLE_ZONE")
        .help("Availability zone that this VM is in")
        .argument::<String>("ZONE");
    let rack = long("rack")
        .env("MONSOONTRESTLE_RACK")
        .help("Rack that this VM sits in")
        .argument::<String>("RACK");
    let http = long("http")
        .env("MONSOONTRESTLE_HTTP")
        .help("IP address and port for requests from entries")
        .argument::<SocketAddr>("ADDR");
    let announce_http = long("announce-http")
        .env("MONSOONTRESTLE_ANNOUNCE_HTTP")
        .help("IP address and port at which entries reach --http, where that differs")
        .argument::<SocketAddr>("ADDR")
        .optional();
    let rpc = long("rpc")
        .env("MONSOONTRESTLE_RPC")
        .help("IP address and port for control calls")
        .argument::<SocketAddr>("ADDR");
    let target_addr = long("target-addr")
        .env("MONSOONTRESTLE_TARGET_ADDR")
        .help("IP address and port of the target")
        .argument::<SocketAddr>("ADDR");
    let worker_addr = long("worker-addr")
        .env("MONSOONTRESTLE_WORKER_ADDR")
        .help("IP address and port of the platform's worker interface")
        .argument::<SocketAddr>("ADDR");
    let entries = long("entry")
        .help("Control address of an entry; may be given more than once")
        .argument::<SocketAddr>("ADDR")
        .some("expected at least one --entry ADDR");
    let slots = long("slots")
        .env("MONSOONTRESTLE_SLOTS")
        .help("Requests that the target runs at once")
        .argument::<u32>("COUNT")
        .fallback(DEFAULT_SLOTS)
        .display_fallback();
    let connections = long("connections")
        .env("MONSOONTRESTLE_CONNECTIONS")
        .help("Connections that the target takes")
        .argument::<u32>("COUNT")
        .fallback(DEFAULT_CONNECTIONS)
        .display_fallback();
    let cores = long("cores")
        .env("MONSOONTRESTLE_CORES")
        .help("Cores of the worker")
        .argument::<u64>("COUNT")
        .fallback(DEFAULT_CORES)
        .display_fallback();
    let memory_mib = long("memory-mib")
        .env("MONSOONTRESTLE_MEMORY_MIB")
        .help("Memory of the worker in mebibytes")
        .argument::<u64>("MIB")
        .fallback(DEFAULT_MEMORY_MIB)
        .display_fallback();
    let accelerators = long("accelerators")
        .env("MONSOONTRESTLE_ACCELERATORS")
        .help("Accelerators of the worker")
        .argument::<u32>("COUNT")
        .fallback(0)
        .display_fallback();
    let log_format = long("log")
        .env("MONSOONTRESTLE_LOG")
        .help("Form of the log: text or json")
        .argument::<LogFormat>("FORMAT")
        .fallback(LogFormat::Text)
        .display_fallback();
    let token = token_flags();
    construct!(CompanionFlags {
        target,
        worker,
        zone,
        rack,
        http,
        announce_http,
        rpc,
        target_addr,
        worker_addr,
        entries,
        slots,
        connections,
        cores,
        memory_mib,
        accelerators,
        log_format,
        token
    })
}

impl CompanionFlags {
    /// Validates the flags and fills in defaults.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] that names the first invalid flag.
    pub fn resolve(self) -> Result<CompanionCfg> {
        let invalid =
            |message| Error::new(ErrorKind::Invalid, "read settings", "companion", message);
        if self.target.is_empty() {
            return Err(invalid("--target: expected a name"));
        }
        if self.slots == 0 {
            return Err(invalid("--slots: expected at least 1"));
        }
        let worker = self.worker.unwrap_or_else(|| self.target.clone());
        Ok(CompanionCfg {
            target: TargetId::from(self.target),
            worker: WorkerId::from(worker),
            incarnation: Incarnation(rand::random()),
            zone: ZoneName::from(self.zone),
            rack: RackName::from(self.rack),
            http_addr: self.http,
            announce_http: self.announce_http,
            rpc_addr: self.rpc,
            target_addr: self.target_addr,
            worker_addr: self.worker_addr,
            entries: self.entries,
            slots: self.slots,
            connections: self.connections,
            capacity: Resources::new(self.cores, self.memory_mib, self.accelerators),
        })
    }
}
