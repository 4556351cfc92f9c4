//! Tests of which tables a process applies.

use base::prelude::*;
use tables::{InForce, Offer, TablesDoc};

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

fn in_force(generation: u64) -> InForce {
    let mut in_force = InForce::default();
    assert!(matches!(
        in_force.offer(doc(generation, 1)),
        Offer::Taken(_)
    ));
    in_force
}

#[test]
fn lower_generation_is_rejected() {
    let mut in_force = in_force(5);

    let offer = in_force.offer(doc(4, 2));

    assert_eq!(offer, Offer::Older);
    assert_eq!(in_force.generation(), Generation(5));
}

#[test]
fn different_tables_of_the_same_generation_are_rejected() {
    let mut in_force = in_force(5);

    let offer = in_force.offer(doc(5, 2));

    assert_eq!(offer, Offer::Rival);
    assert_eq!(in_force.doc().map(|doc| doc.nonce), Some(Nonce(1)));
}

#[test]
fn malformed_tables_leave_the_current_ones_in_force() {
    let mut in_force = in_force(5);
    let broken = TablesDoc {
        pools: "[pools".into(),
        ..doc(6, 2)
    };

    let offer = in_force.offer(broken);

    assert!(matches!(offer, Offer::Malformed(_)), "{offer:?}");
    assert_eq!(in_force.generation(), Generation(5));
}
