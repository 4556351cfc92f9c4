//! Tests of which tables a process applies.

use base::prelude::*;
use tables::{ActiveTables, TablesDoc, TablesUpdate};

const ROUTES: &str = include_str!("../../../examples/vakaloloma/routes.toml");
const POOLS: &str = include_str!("../../../examples/vakaloloma/pools.toml");

fn doc(generation: u64, nonce: u64) -> TablesDoc {
    TablesDoc {
        version: TablesDoc::VERSION,
        generation: Generation(generation),
        routes: ROUTES.into(),
        pools: POOLS.into(),
        author: "test".into(),
        applied_at_ms: 0,
        comment: "".into(),
        nonce: Nonce(nonce),
    }
}

fn active_tables(generation: u64) -> ActiveTables {
    let mut in_force = ActiveTables::default();
    assert!(matches!(
        in_force.update(doc(generation, 1)),
        TablesUpdate::Applied(_)
    ));
    in_force
}

#[test]
fn lower_generation_is_rejected() {
    let mut in_force = active_tables(5);

    let update = in_force.update(doc(4, 2));

    assert_eq!(update, TablesUpdate::Stale);
    assert_eq!(in_force.generation(), Generation(5));
}

#[test]
fn different_tables_of_the_same_generation_are_rejected() {
    let mut in_force = active_tables(5);

    let update = in_force.update(doc(5, 2));

    assert_eq!(update, TablesUpdate::Conflicting);
    assert_eq!(in_force.doc().map(|doc| doc.nonce), Some(Nonce(1)));
}

#[test]
fn malformed_tables_leave_the_current_ones_in_force() {
    let mut in_force = active_tables(5);
    let broken = TablesDoc {
        pools: "[pools".into(),
        ..doc(6, 2)
    };

    let update = in_force.update(broken);

    assert!(matches!(update, TablesUpdate::Malformed(_)), "{update:?}");
    assert_eq!(in_force.generation(), Generation(5));
}
