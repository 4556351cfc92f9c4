//! Electors against a store in memory.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use base::prelude::*;
use controller::{Change, Elector, ElectorCfg};
use fakes::store::MemStore;
use jobs::owner::{OWNER_KEY, OwnerRecord};
use ports::store::{Expect, KeyValue, StoreCall, StoreReply};

pub const LEASE: Duration = Duration::from_secs(2);
pub const GRACE: Duration = Duration::from_secs(3);

pub struct Cluster {
    pub now: Instant,
    pub boot: Duration,
    pub store: MemStore,
}

impl Cluster {
    pub fn new() -> Self {
        Self {
            now: Instant::now(),
            boot: Duration::from_secs(1_000_000),
            store: MemStore::new(),
        }
    }

    pub fn advance(&mut self, by: Duration) {
        self.now += by;
        self.boot += by;
    }

    pub fn key(&mut self) -> Option<KeyValue> {
        let key = OWNER_KEY.into();
        match self.store.call(self.now, &StoreCall::Get { key }) {
            Ok(StoreReply::Got(found)) => found,
            other => panic!("expected a key, got {other:?}"),
        }
    }

    /// Shows an elector the key and makes its calls; drops the replies that `is_lost` selects.
    pub fn drive(
        &mut self,
        elector: &mut Elector,
        is_lost: impl Fn(&StoreCall) -> bool,
    ) -> Option<Change> {
        let kv = self.key();
        let mut change = elector.key_seen(self.now, Duration::ZERO, kv.as_ref());
        let mut next = elector.run(self.now, Nonce(7));
        while let Some(call) = next {
            let reply = self.store.call(self.now, &call);
            let reply = if is_lost(&call) {
                Err(Error::new(ErrorKind::Timeout, "call", "store", "no answer"))
            } else {
                reply
            };
            let (following, decided) = elector.reply(self.now, (self.now, self.boot), reply);
            change = decided.or(change);
            next = following;
        }
        change
    }

    /// Makes the call of an elector that is due, if any, with those that follow it, and returns the
    /// change; drops the replies to transactions if `is_lost`.
    pub fn step(&mut self, elector: &mut Elector, is_lost: bool) -> Option<Change> {
        self.step_without(elector, |call| {
            is_lost && matches!(call, StoreCall::Txn { .. })
        })
    }

    /// As [`Cluster::step`]; drops the replies that `is_lost` selects.
    pub fn step_without(
        &mut self,
        elector: &mut Elector,
        is_lost: impl Fn(&StoreCall) -> bool,
    ) -> Option<Change> {
        let mut change = None;
        let mut next = elector.run(self.now, Nonce(8));
        while let Some(call) = next {
            let reply = self.store.call(self.now, &call);
            let reply = if is_lost(&call) {
                Err(Error::new(ErrorKind::Timeout, "call", "store", "no answer"))
            } else {
                reply
            };
            let (following, decided) = elector.reply(self.now, (self.now, self.boot), reply);
            change = decided.or(change);
            next = following;
        }
        change
    }

    /// Deletes the owner's key, though its lease goes on.
    pub fn revoke_key(&mut self) {
        let delete = StoreCall::Delete {
            key: OWNER_KEY.into(),
            expect: Expect::Any,
        };
        self.store
            .call(self.now, &delete)
            .expect("the key is deleted");
    }

    /// Lets the leases in the store expire, as in a long outage.
    pub fn expire_leases(&mut self) {
        self.advance(LEASE + Duration::from_millis(1));
        self.store.expire(self.now);
    }

    pub fn elect(&mut self, elector: &mut Elector) -> Option<Change> {
        self.drive(elector, |_| false)
    }
}

pub fn elector(name: &str) -> Elector {
    delayed_elector(name, Duration::ZERO)
}

/// Creates an elector that delays its claims.
pub fn delayed_elector(name: &str, claim_delay: Duration) -> Elector {
    Elector::new(ElectorCfg {
        claim_delay,
        ..elector_cfg(name, 1)
    })
}

/// Creates an elector of an entry that takes calls at another port.
pub fn elector_at(name: &str, port: u16) -> Elector {
    Elector::new(elector_cfg(name, port))
}

fn elector_cfg(name: &str, port: u16) -> ElectorCfg {
    ElectorCfg {
        claim_delay: Duration::ZERO,
        me: OwnerRecord {
            name: name.into(),
            addr: ([127, 0, 0, 1], port).into(),
            epoch: Epoch(0),
            nonce: Nonce(0),
        },
        lease: LEASE,
        outage_grace: GRACE,
    }
}
