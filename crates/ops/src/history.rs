//! The tables in the store: those in force and those before them.

use base::prelude::*;
use ports::store::{Expect, KeyValue, Revision, Store, StoreCall, StoreReply};
use tables::TablesDoc;

/// How many earlier generations are kept.
pub const HISTORY_KEPT: u64 = 50;

const HISTORY_PREFIX: &str = "config/history/";
const LIST_PAGE: usize = 8;
const READ_TRIES: u32 = 3;

/// The tables in force, and the revision of their key.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// The tables.
    pub doc: TablesDoc,
    /// The revision that a change is swapped against.
    pub revision: Revision,
}

/// Reads and writes the tables in the store.
#[derive(Clone, Copy, Debug)]
pub struct TablesStore<'a> {
    store: &'a dyn Store,
}

impl<'a> TablesStore<'a> {
    /// Wraps a store.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Reads the tables in force; `None` where none were ever applied.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or holds something else.
    pub fn current(&self) -> Result<Option<InForce>> {
        let found = self.get(TablesDoc::KEY)?;
        found.as_ref().map(decode).transpose()
    }

    /// Reads an earlier generation; `None` where it is no longer kept.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or holds something else.
    pub fn earlier(&self, generation: Generation) -> Result<Option<TablesDoc>> {
        let found = self.get(&history_key(generation))?;
        let found = found.as_ref().map(decode).transpose()?;
        Ok(found.map(|in_force| in_force.doc))
    }

    /// Reads a generation, be it in force or earlier.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read, or with [`ErrorKind::NotFound`] if it does not keep it.
    pub fn at(&self, generation: Generation) -> Result<TablesDoc> {
        if let Some(current) = self.current()?
            && current.doc.generation == generation
        {
            return Ok(current.doc);
        }
        self.earlier(generation)?.ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                "read history",
                "store",
                format!("generation {generation} is not kept"),
            )
        })
    }

    /// Reads the generations kept, the one in force included, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or holds something else.
    pub fn all(&self) -> Result<Vec<TablesDoc>> {
        let mut docs = self.all_earlier()?;
        if let Some(current) = self.current()? {
            docs.retain(|doc| doc.generation != current.doc.generation);
            docs.push(current.doc);
        }
        docs.sort_by_key(|doc| doc.generation);
        Ok(docs)
    }

    fn all_earlier(&self) -> Result<Vec<TablesDoc>> {
        let mut docs = Vec::new();
        let mut after = None;
        loop {
            let call = StoreCall::List {
                prefix: HISTORY_PREFIX.into(),
                after: after.clone(),
                limit: LIST_PAGE,
            };
            let StoreReply::Listed(page) = self.read(&call)? else {
                return Err(unexpected(&call));
            };
            for found in &page {
                docs.push(decode(found)?.doc);
            }
            match page.last() {
                Some(last) if page.len() == LIST_PAGE => after = Some(Arc::clone(&last.key)),
                _ => return Ok(docs),
            }
        }
    }

    /// Returns the highest generation that the store has ever held, as far as it remembers.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or holds something else.
    pub fn highest(&self) -> Result<Generation> {
        let docs = self.all()?;
        Ok(docs.last().map_or(Generation(0), |doc| doc.generation))
    }

    /// Keeps a generation before another one takes its place.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written; it is safe to repeat.
    pub fn keep(&self, doc: &TablesDoc) -> Result<()> {
        let call = StoreCall::Put {
            key: history_key(doc.generation),
            value: encode(doc)?,
            expect: Expect::Absent,
            lease: None,
        };
        match self.store.call(&call)? {
            StoreReply::Done { .. } | StoreReply::Conflict { .. } => Ok(()),
            _ => Err(unexpected(&call)),
        }
    }

    /// Deletes the generations that are too old to be kept.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written; it is safe to repeat.
    pub fn trim(&self, in_force: Generation) -> Result<()> {
        let oldest = in_force.0.saturating_sub(HISTORY_KEPT);
        let call = StoreCall::DeleteRange {
            from: history_key(Generation(0)),
            to: history_key(Generation(oldest)),
        };
        self.store.call(&call).map(drop)
    }

    /// Puts tables in the place of those with `expect`; the conflict where something else is there.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be written; errors of unknown outcome may have taken effect.
    pub fn swap(&self, doc: &TablesDoc, expect: Expect) -> Result<Swap> {
        let call = StoreCall::Put {
            key: TablesDoc::KEY.into(),
            value: encode(doc)?,
            expect,
            lease: None,
        };
        match self.store.call(&call)? {
            StoreReply::Done { .. } => Ok(Swap::Done),
            StoreReply::Conflict { current } => {
                let current = current.as_ref().map(decode).transpose()?;
                Ok(Swap::Conflict(current))
            }
            _ => Err(unexpected(&call)),
        }
    }

    /// Makes a call that has no effect, again if its answer is lost.
    fn read(&self, call: &StoreCall) -> Result<StoreReply> {
        let mut answer = self.store.call(call);
        for _ in 1..READ_TRIES {
            match &answer {
                Err(e) if e.kind().is_outcome_unknown() => answer = self.store.call(call),
                _ => break,
            }
        }
        answer.map_err(|e| match e.kind() {
            kind if kind.is_outcome_unknown() => {
                Error::new(ErrorKind::Unreachable, e.step(), e.peer(), e.message())
            }
            _ => e,
        })
    }

    fn get(&self, key: &str) -> Result<Option<KeyValue>> {
        let call = StoreCall::Get { key: key.into() };
        match self.read(&call)? {
            StoreReply::Got(found) => Ok(found),
            _ => Err(unexpected(&call)),
        }
    }
}

/// The answer to [`TablesStore::swap`].
#[derive(Clone, Debug, PartialEq)]
pub enum Swap {
    /// The tables are in their place.
    Done,
    /// Nothing changed; this is there instead.
    Conflict(Option<InForce>),
}

/// Returns the key of an earlier generation; keys sort as their generations do.
fn history_key(generation: Generation) -> Name {
    format!("{HISTORY_PREFIX}{:020}", generation.0).into()
}

fn encode(doc: &TablesDoc) -> Result<Arc<[u8]>> {
    let bytes = serde_json::to_vec(doc)
        .map_err(|e| Error::new(ErrorKind::Internal, "write tables", "store", e.to_string()))?;
    if bytes.len() > ports::store::MAX_VALUE_BYTES {
        let message = format!(
            "the tables take {} bytes together; the store holds {} at most",
            bytes.len(),
            ports::store::MAX_VALUE_BYTES
        );
        return Err(Error::new(
            ErrorKind::Invalid,
            "write tables",
            "store",
            message,
        ));
    }
    Ok(bytes.into())
}

fn decode(found: &KeyValue) -> Result<InForce> {
    let malformed = |message: String| {
        let message = format!("key {}: {message}", found.key);
        Error::new(ErrorKind::Malformed, "read tables", "store", message)
    };
    let doc =
        serde_json::from_slice::<TablesDoc>(&found.value).map_err(|e| malformed(e.to_string()))?;
    if doc.version > TablesDoc::VERSION {
        return Err(malformed(format!(
            "written by a newer program (format {}, this one knows {})",
            doc.version,
            TablesDoc::VERSION
        )));
    }
    Ok(InForce {
        doc,
        revision: found.revision,
    })
}

fn unexpected(call: &StoreCall) -> Error {
    let message = format!("unexpected answer to {}", call.kind());
    Error::new(ErrorKind::Malformed, "read tables", "store", message)
}
