//! What a new owner reads before it owns.

use base::prelude::*;
use lead::{Load, LoadStep};
use ports::store::{KeyValue, StoreCall, StoreReply};

fn listed(key: &str) -> Result<StoreReply> {
    Ok(StoreReply::Listed(vec![KeyValue {
        key: key.into(),
        value: b"{}".to_vec().into(),
        revision: 1,
    }]))
}

fn failed() -> Result<StoreReply> {
    Err(Error::new(ErrorKind::Timeout, "list", "store", "no answer"))
}

fn prefix(load: &Load) -> Name {
    match load.call() {
        StoreCall::List { prefix, .. } => prefix,
        other => panic!("expected a list, got {other:?}"),
    }
}

#[test]
fn lists_are_read_one_after_the_other() {
    let mut load = Load::new(Epoch(2), 7);

    let mut prefixes = vec![prefix(&load)];
    assert_eq!(load.take(listed("a")), LoadStep::Next);
    prefixes.push(prefix(&load));
    assert_eq!(load.take(listed("b")), LoadStep::Next);
    prefixes.push(prefix(&load));
    assert_eq!(load.take(listed("c")), LoadStep::Done);

    let prefixes: IndexSet<Name> = prefixes.into_iter().collect();
    assert_eq!(prefixes.len(), 3);
    let keys = load.into_parts().map(|items| items[0].key.to_string());
    assert_eq!(keys, ["a", "b", "c"]);
}

#[test]
fn a_list_that_fails_is_read_again() {
    let mut load = Load::new(Epoch(2), 7);
    let before = prefix(&load);

    let step = load.take(failed());

    assert_eq!(step, LoadStep::Again);
    assert_eq!(prefix(&load), before);
}

#[test]
fn ownership_is_left_to_others_after_three_failures_in_a_row() {
    let mut load = Load::new(Epoch(2), 7);
    load.take(failed());
    load.take(failed());
    assert_eq!(load.take(listed("a")), LoadStep::Next);

    let steps = [failed(), failed(), failed()].map(|reply| load.take(reply));

    assert_eq!(steps, [LoadStep::Again, LoadStep::Again, LoadStep::GiveUp]);
}
