//! The fields of both tables, for the parser and the reference page.

/// A field of a row.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// The key in the file.
    pub name: &'static str,
    /// The values that it accepts.
    pub value: &'static str,
    /// The default if it is absent, or `required`.
    pub default: &'static str,
    /// The description.
    pub summary: &'static str,
}

const fn field(
    name: &'static str,
    value: &'static str,
    default: &'static str,
    summary: &'static str,
) -> Field {
    Field {
        name,
        value,
        default,
        summary,
    }
}

/// The fields of `[routes.NAME]`.
pub const ROUTE_FIELDS: &[Field] = &[
    field(
        "path",
        "a path such as `/check`",
        "required",
        "The path prefix that requests come in under; the longest prefix wins.",
    ),
    field(
        "kind",
        "`request`, `batch` or `standing`",
        "required",
        "What the route carries.",
    ),
    field(
        "pool",
        "the name of a pool",
        "required",
        "The pool that serves it.",
    ),
    field(
        "desk",
        "a name",
        "the pool's name",
        "The desk whose work this is.",
    ),
    field(
        "team",
        "a name",
        "the desk's name",
        "The team that the work counts against; required where the pool lists teams.",
    ),
    field(
        "class",
        "a name",
        "the route's name",
        "The class of the work: tasks of one class use and harm alike.",
    ),
    field(
        "priority",
        "`low`, `normal` or `urgent`",
        "`normal`",
        "Who goes first; urgent work starts by pre-emption if need be.",
    ),
    field(
        "idempotent",
        "`true` or `false`",
        "`false`",
        "Whether a request may run twice without harm.",
    ),
    field(
        "hedge",
        "`true` or `false`",
        "`false`",
        "Whether a second attempt may race the first; needs `idempotent = true`.",
    ),
    field(
        "deadline",
        "a duration, 1ms to 1h",
        "`\"10s\"`",
        "How long a caller waits for an answer, where the caller sets no deadline.",
    ),
    field(
        "max-body",
        "a size, up to 64MiB",
        "`\"1MiB\"`",
        "The largest request body.",
    ),
    field(
        "rate",
        "`{ per-second = NUMBER, burst = COUNT }`",
        "no limit",
        "How many requests a second the whole route takes; `burst` defaults to one second's worth.",
    ),
    field(
        "concurrency",
        "a count, at least 1",
        "no limit",
        "How many requests of the route may be in progress over all entries.",
    ),
    field(
        "retry-budget",
        "a share, 0 to 1",
        "`0.1`",
        "The share of first attempts that may be retried.",
    ),
    field(
        "resources",
        "`{ cores = NUMBER, memory = SIZE, accelerators = COUNT }`",
        "1 core, 1GiB",
        "What a task of this route asks for (batch and standing).",
    ),
    field(
        "run-time",
        "a duration, up to 30days",
        "unknown",
        "How long a task is expected to run undisturbed (batch).",
    ),
    field(
        "finish-within",
        "a duration, up to 30days",
        "none",
        "How long after its submission a job should be finished (batch).",
    ),
    field(
        "max-failures",
        "a count, at least 1",
        "`3`",
        "How many attempts may fail before the job fails (batch).",
    ),
    field(
        "objective",
        "`{ within = DURATION, share = SHARE }`",
        "none",
        "The service-level objective: the share that must be answered or finished within the time.",
    ),
];

/// The fields of `[pools.NAME]`.
pub const POOL_FIELDS: &[Field] = &[
    field(
        "workers",
        "a list of names, `*` for any run of characters",
        "required",
        "The workers of the pool; a worker belongs to one pool at most.",
    ),
    field(
        "zones",
        "a list of names",
        "all",
        "The availability zones that the pool may use.",
    ),
    field(
        "preset",
        "`manuscript` or `trading`",
        "equal weights",
        "What the desk weighs most: batch throughput and evictions, or tail latency.",
    ),
    field(
        "weights",
        "`{ tail = NUMBER, throughput = NUMBER, evictions = NUMBER }`",
        "the preset's",
        "The weights themselves, scaled to add up to 1; in place of `preset`.",
    ),
    field(
        "outage-grace",
        "a duration, up to 24h",
        "`\"15m\"`",
        "How long tasks go on while the store is unreachable.",
    ),
    field(
        "evictions-per-hour",
        "a count",
        "`30`",
        "How many evictions an hour the pool accepts for the sake of its services.",
    ),
    field(
        "reserved",
        "`{ cores = NUMBER, memory = SIZE, accelerators = COUNT }`",
        "nothing",
        "The part of each worker kept for the services on it.",
    ),
    field(
        "teams",
        "a table of `NAME = SHARE` or `NAME = { share = SHARE, borrow = BOOL }`",
        "none",
        "The teams that share the pool; a team may use what others leave idle unless `borrow = false`.",
    ),
];

pub(crate) const RATE_FIELDS: &[&str] = &["per-second", "burst"];
pub(crate) const OBJECTIVE_FIELDS: &[&str] = &["within", "share"];
pub(crate) const RESOURCES_FIELDS: &[&str] = &["cores", "memory", "accelerators"];
pub(crate) const WEIGHTS_FIELDS: &[&str] = &["tail", "throughput", "evictions"];
pub(crate) const QUOTA_FIELDS: &[&str] = &["share", "borrow"];
