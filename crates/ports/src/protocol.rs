//! The project's own HTTP protocol for the store and workers, shared by the adapters and the
//! fakes.
//!
//! # Store
//!
//! | call | request | response |
//! |---|---|---|
//! | get, observe | `GET /v1/kv/KEY` | 200 with the raw value, or 404; [`STORE_REVISION`] with both |
//! | list | `GET /v1/kv?prefix=P&after=K&limit=N` | 200 with a [`Listed`](crate::store::StoreReply::Listed) |
//! | put | `PUT /v1/kv/KEY?expect=E&lease=L`, raw value | 200, 409 with the current value, 410 |
//! | delete | `DELETE /v1/kv/KEY?expect=E` | 200, or 409 with the current value |
//! | range delete | `DELETE /v1/kv?from=A&to=B` | 200 |
//! | transaction | `POST /v1/txn`, `postcard` of the expected, written and deleted rows | 200, 409 with a [`Conflicts`](crate::store::StoreReply::Conflicts), 410 |
//! | lease grant | `POST /v1/leases?ttl_ms=N` | 200 |
//! | lease renewal | `PUT /v1/leases/L` | 200, or 410 |
//! | lease end | `DELETE /v1/leases/L` | 200, or 410 |
//! | watch | `GET /v1/watch?prefix=P&after=N&wait_ms=N` | 200 with a [`Watched`](crate::store::StoreReply::Watched) |
//!
//! `E` is `any`, `absent` or a revision. Keys are percent-encoded. Revisions travel in
//! [`REVISION`], leases in [`LEASE`] and [`TTL_MS`]. A 409 without [`REVISION`] means that the
//! key does not exist; 410 means that the lease has ended. Lists and watches are `postcard` bodies.
//!
//! # Worker
//!
//! `POST /v1/worker` with a [`WorkerCall`](crate::worker::WorkerCall) as JSON returns 200 with a
//! [`WorkerReply`](crate::worker::WorkerReply) as JSON.
//!
//! # Errors
//!
//! 429 and 503 mean that the call was shed before it had an effect, 400 and 413 that it is invalid.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};

use crate::store::Expect;

/// The header that holds the revision of a key or of the store's last change.
pub const REVISION: &str = "x-revision";

/// The header that holds the store's revision at the time a key was read.
pub const STORE_REVISION: &str = "x-store-revision";

/// The header that holds the id of a lease.
pub const LEASE: &str = "x-lease";

/// The header that holds the time to live of a lease, in milliseconds.
pub const TTL_MS: &str = "x-ttl-ms";

/// The path prefix of keys.
pub const KV_PATH: &str = "/v1/kv";

/// The path prefix of leases.
pub const LEASES_PATH: &str = "/v1/leases";

/// The path of transactions.
pub const TXN_PATH: &str = "/v1/txn";

/// The path of watches.
pub const WATCH_PATH: &str = "/v1/watch";

/// The path of calls to a worker.
pub const WORKER_PATH: &str = "/v1/worker";

/// The characters of keys that are percent-encoded in paths and queries.
pub const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Formats an expectation as a query value.
pub fn format_expect(expect: Expect) -> String {
    match expect {
        Expect::Any => "any".to_owned(),
        Expect::Absent => "absent".to_owned(),
        Expect::Revision(revision) => revision.to_string(),
    }
}

/// Parses an expectation from a query value; `None` if it is malformed.
pub fn parse_expect(text: &str) -> Option<Expect> {
    match text {
        "any" => Some(Expect::Any),
        "absent" => Some(Expect::Absent),
        revision => revision.parse().ok().map(Expect::Revision),
    }
}
