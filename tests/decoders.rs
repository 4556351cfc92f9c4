//! Property tests: decoders never panic, whatever bytes the store or an operator provides.

use base::prelude::*;
use journal::{Change, OwnerValue, Record, RecordBody};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tables::{Source, TablesDoc, parse};

const ROUTES: &str = include_str!("../examples/vakaloloma/routes.toml");
const POOLS: &str = include_str!("../examples/vakaloloma/pools.toml");

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn change() -> impl Strategy<Value = Change> {
    let key = ("[a-z]{0,8}", any::<u64>()).prop_map(|(job, attempt)| TaskKey {
        job: job.into(),
        attempt: Attempt(attempt),
    });
    prop_oneof![
        (key.clone(), "[a-z]{0,8}", any::<u64>(), any::<u32>()).prop_map(
            |(key, worker, amount, accelerators)| Change::Assigned {
                key,
                worker: worker.into(),
                granted: Resources {
                    cpu_milli: amount,
                    memory_mib: amount,
                    accelerators,
                },
            }
        ),
        key.prop_map(|key| Change::Lost { key }),
        "[a-z]{0,8}".prop_map(|job| Change::Cancelled { job: job.into() }),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    let changes = proptest::collection::vec(change(), 0..6);
    (any::<u64>(), any::<u64>(), any::<u64>(), changes).prop_map(|(seq, epoch, nonce, changes)| {
        Record {
            seq: Seq(seq),
            epoch: Epoch(epoch),
            nonce: Nonce(nonce),
            writer: "entry-0".into(),
            body: RecordBody::Changes(changes),
        }
    })
}

/// Returns the text with up to three characters replaced, removed or duplicated.
fn damaged(text: &'static str) -> impl Strategy<Value = String> {
    let edits = proptest::collection::vec((0..text.len(), any::<char>(), 0..3), 0..4);
    edits.prop_map(move |edits| {
        let mut chars: Vec<char> = text.chars().collect();
        for (at, c, how) in edits {
            let at = at.min(chars.len() - 1);
            match how {
                0 => chars[at] = c,
                1 => drop(chars.remove(at)),
                _ => chars.insert(at, chars[at]),
            }
        }
        chars.into_iter().collect()
    })
}

fn source(path: &str, text: &str) -> Source {
    Source {
        path: path.into(),
        text: text.into(),
    }
}

fn doc(routes: &str, pools: &str) -> TablesDoc {
    TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(1),
        routes: routes.into(),
        pools: pools.into(),
        author: "test".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(1),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn records_survive_encoding(record in record()) {
        let buf = record.encode().unwrap();

        prop_assert_eq!(Record::decode(&buf).unwrap(), record);
    }

    #[test]
    fn truncated_records_are_refused(record in record(), share in 0.0..1.0_f64) {
        let buf = record.encode().unwrap();
        let len = (buf.len() as f64 * share) as usize;

        let kind = Record::decode(&buf[..len]).unwrap_err().kind();

        prop_assert_eq!(kind, ErrorKind::Malformed);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(buf in proptest::collection::vec(any::<u8>(), 0..300)) {
        // Random bytes that decode must also encode again.
        if let Ok(record) = Record::decode(&buf) {
            prop_assert!(record.encode().is_ok());
        }
        if let Some(value) = OwnerValue::decode(&buf) {
            prop_assert!(OwnerValue::decode(&value.encode()).is_some());
        }
    }

    #[test]
    fn damaged_tables_are_parsed_or_refused_with_the_file_name(
        routes in damaged(ROUTES),
        pools in damaged(POOLS),
    ) {
        let result = parse(&source("routes.toml", &routes), &source("pools.toml", &pools));
        let doc = doc(&routes, &pools);

        prop_assert_eq!(doc.tables().is_ok(), result.is_ok());
        if let Err(problems) = result {
            let text = problems.to_string();
            prop_assert!(text.contains("routes.toml") || text.contains("pools.toml"), "{}", text);
        }
    }
}
