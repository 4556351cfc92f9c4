//! The initial load of a new owner.

use base::prelude::*;
use controller::{Load, LoadStep};
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
fn prefixes_are_read_one_at_a_time() {
    let mut load = Load::new(Epoch(2), 7);

    let mut prefixes = vec![prefix(&load)];
    assert_eq!(load.handle_reply(listed("a")), LoadStep::Next);
    prefixes.push(prefix(&load));
    assert_eq!(load.handle_reply(listed("b")), LoadStep::Next);
    prefixes.push(prefix(&load));
    assert_eq!(load.handle_reply(listed("c")), LoadStep::Next);
    prefixes.push(prefix(&load));
    assert_eq!(load.handle_reply(listed("d")), LoadStep::Done);

    let prefixes: IndexSet<Name> = prefixes.into_iter().collect();
    assert_eq!(prefixes.len(), 4);
    let keys = load.into_parts().map(|items| items[0].key.to_string());
    assert_eq!(keys, ["a", "b", "c", "d"]);
}

#[test]
fn failed_list_is_repeated() {
    let mut load = Load::new(Epoch(2), 7);
    let before = prefix(&load);

    let step = load.handle_reply(failed());

    assert_eq!(step, LoadStep::Again);
    assert_eq!(prefix(&load), before);
}

#[test]
fn load_gives_up_after_three_consecutive_failures() {
    let mut load = Load::new(Epoch(2), 7);
    load.handle_reply(failed());
    load.handle_reply(failed());
    assert_eq!(load.handle_reply(listed("a")), LoadStep::Next);

    let steps = [failed(), failed(), failed()].map(|reply| load.handle_reply(reply));

    assert_eq!(steps, [LoadStep::Again, LoadStep::Again, LoadStep::GiveUp]);
}
