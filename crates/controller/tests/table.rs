//! The lookup of a request's route.

use controller::{Route, RouteTable};
use jobs::RouteTerms;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        host: host.into(),
        prefix: prefix.into(),
        terms: RouteTerms {
            route: format!("{host}{prefix}").as_str().into(),
            pool: "desk".into(),
            priority: 0,
            attempts: 3,
            stretch: 1.0,
            slack_ms: 0,
            advice: None,
        },
    }
}

fn table() -> RouteTable {
    RouteTable {
        routes: vec![
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/x/"),
        ],
        ..RouteTable::default()
    }
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    let table = table();

    let found = table.find("A.example", "/x/y/1").expect("a route");

    assert_eq!(found.terms.route.as_str(), "a.example/x/y/");
    assert_eq!(&*found.rest, "1");
    assert_eq!(found.address.as_str(), "a.example/x/y/");
}

#[test]
fn other_hosts_and_prefixes_do_not_match() {
    let table = table();

    assert_eq!(table.find("c.example", "/x/1"), None);
    assert_eq!(table.find("a.example", "/z/1"), None);
    assert_eq!(table.find("a.example", "/x"), None);
}
