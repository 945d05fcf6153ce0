//! Orders whose callers have timeouts of many lengths, which look like calls, beside
//! calls of the upstreams of one service.

use ibiscove_routing::call_parents::RouteName;
use ibiscove_routing::caller_services::{CallerServices, Origin};
use ibiscove_types::ServiceName;
use yare::parameterized;

/// Records requests that begin beside the upstreams of three services in the given
/// parts of a hundred.
fn origin(counts: [u32; 3], requests: u32, seed: u64) -> Origin {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut callers = CallerServices::default();
    let route: RouteName = "route".into();
    let services: [ServiceName; 3] = ["quotes".into(), "records".into(), "bills".into()];
    let mut origin = Origin::Unknown;
    for _ in 0..requests {
        let mut point = rng.u32(..counts.iter().sum::<u32>());
        let service = services.iter().zip(counts).find(|(_, count)| {
            let is_here = point < *count;
            point = point.saturating_sub(*count);
            is_here
        });
        let (service, _) = service.expect("the point lies in one of the parts");
        origin = callers.record(&route, service);
    }
    origin
}

#[parameterized(
    evenly = { [34, 33, 33] },
    mostly_beside_one = { [50, 38, 12] },
)]
fn requests_from_beside_several_services_are_orders(counts: [u32; 3]) {
    for seed in 1..=20 {
        assert_eq!(origin(counts, 300, seed), Origin::SeveralServices);
    }
}

#[test]
fn requests_from_beside_one_service_may_be_calls() {
    assert_eq!(origin([0, 100, 0], 300, 1), Origin::OneService);
}

#[test]
fn nothing_is_assumed_of_a_few_requests() {
    assert_eq!(origin([0, 100, 0], 29, 1), Origin::Unknown);
    assert_eq!(origin([50, 50, 0], 29, 1), Origin::Unknown);
}

/// Where nearly all nodes are beside upstreams of one service, orders must not be taken
/// for calls for want of others.
#[test]
fn mostly_one_service_is_not_taken_for_calls_for_long() {
    let taken = (1..=200)
        .filter(|seed| origin([95, 5, 0], 300, *seed) == Origin::OneService)
        .count();
    assert!(taken <= 60, "{taken} of 200");
}
