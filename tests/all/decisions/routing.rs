//! The choice of routes and destinations.

use std::sync::Arc;
use std::time::Duration;

use stallhoist_gateway::routing::Destination;
use stallhoist_gateway::routing::Repeat;
use stallhoist_gateway::routing::Route;
use stallhoist_gateway::routing::RoutingConfig;

fn route(name: &str, host: &str, path_prefix: &str, weights: &[u32]) -> Arc<Route> {
    let destination = |(n, weight): (usize, &u32)| Destination {
        service: format!("s{n}").parse().expect("a valid name"),
        weight: *weight,
    };
    Arc::new(Route {
        name: name.parse().expect("a valid name"),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        destinations: weights.iter().enumerate().map(destination).collect(),
        repeat: Repeat::Never,
        is_stream: false,
        is_resumable: false,
        is_keyless: false,
        max_attempts: 1,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        target_pause: None,
        priority: 0,
        allowed_regions: None,
        models: Vec::new(),
    })
}

fn config() -> RoutingConfig {
    let routes = vec![
        route("short", "a.example", "/x/", &[1]),
        route("long", "a.example", "/x/y/", &[1]),
        route("other", "b.example", "/x/y/z/", &[1]),
    ];
    RoutingConfig { routes, ..RoutingConfig::default() }
}

/// A request with this host and path matches the expected route.
macro_rules! takes_route {
    ($name:ident, $host:expr, $path:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let config = config();
            let found = config.route($host, $path).map(|route| route.name.as_str());
            assert_eq!(found, $expected);
        }
    };
}

takes_route!(the_longest_prefix, "a.example", "/x/y/z/w", Some("long"));
takes_route!(a_shorter_prefix, "a.example", "/x/z", Some("short"));
takes_route!(the_same_path_of_another_host, "b.example", "/x/y/z/w", Some("other"));
takes_route!(hosts_are_compared_without_case, "A.Example", "/x/1", Some("short"));
takes_route!(a_prefix_matches_whole_segments, "a.example", "/xy/1", None);
takes_route!(an_unknown_host, "c.example", "/x/1", None);

#[test]
fn requests_are_split_by_weight() {
    let route = route("r", "a.example", "/", &[90, 10]);
    let services = (0..1_000).map(|n| route.destination(f64::from(n) / 1_000.0));
    let second = services.flatten().filter(|service| service.as_str() == "s1").count();
    assert_eq!(second, 100);
}

#[test]
fn a_destination_of_weight_zero_gets_no_requests() {
    let route = route("r", "a.example", "/", &[0, 5]);
    for unit in [0.0, 0.5, 0.999, 1.0] {
        assert_eq!(route.destination(unit).map(|service| service.as_str()), Some("s1"));
    }
}
