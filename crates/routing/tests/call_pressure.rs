//! The share of orders that a gate admits while the calls of its orders find too
//! little room: with few and with many calls, and after the room has returned.

use ibiscove_routing::call_parents::RouteName;
use ibiscove_routing::call_pressure::CallPressure;
use std::time::{Duration, Instant};
use yare::parameterized;

/// Offers `per_s` orders a second, each with one call, of which a share of `room` of
/// all that are offered finds room. Returns the shares admitted and turned away.
fn simulate(
    pressure: &mut CallPressure,
    from: Instant,
    span: Duration,
    per_s: u32,
    room: f64,
) -> (f64, f64) {
    let route: RouteName = "order".into();
    let count = (span.as_secs_f64() * f64::from(per_s)) as u32;
    let (mut admitted, mut turned_away, mut free) = (0, 0, 0.0_f64);
    for i in 0..count {
        let now = from + Duration::from_secs(1) * i / per_s;
        free = (free + room).min(2.0);
        if !pressure.admits(&route, now) {
            continue;
        }
        admitted += 1;
        let is_served = free >= 1.0;
        free -= f64::from(u8::from(is_served));
        turned_away += u32::from(!is_served);
        pressure.record_call(&route, is_served, now);
    }
    let share = |part: u32| f64::from(part) / f64::from(count);
    (share(admitted), share(turned_away))
}

/// Nodes differ in how many calls they see; orders fare alike at all of them.
#[parameterized(few_calls = { 20 }, many_calls = { 2_000 })]
fn in_lasting_overload_about_as_many_orders_are_admitted_as_there_is_room_for(per_s: u32) {
    let mut pressure = CallPressure::default();
    let (admitted, turned_away) = simulate(
        &mut pressure,
        Instant::now(),
        Duration::from_secs(60),
        per_s,
        0.6,
    );
    assert!((0.57..0.75).contains(&admitted), "{admitted:.2} admitted");
    assert!(turned_away <= 0.12, "{turned_away:.2} turned away");
}

#[test]
fn all_orders_are_admitted_where_no_call_is_turned_away() {
    let mut pressure = CallPressure::default();
    let span = Duration::from_secs(20);
    let (admitted, _) = simulate(&mut pressure, Instant::now(), span, 50, 1.0);
    assert_eq!(admitted, 1.0);
}

#[test]
fn a_single_call_that_is_turned_away_refuses_no_order() {
    let mut pressure = CallPressure::default();
    let (route, now): (RouteName, _) = ("order".into(), Instant::now());
    pressure.record_call(&route, false, now);
    for i in 1..50 {
        pressure.record_call(&route, true, now + Duration::from_millis(i));
    }
    for i in 0..100 {
        assert!(pressure.admits(&route, now + Duration::from_millis(300 + 10 * i)));
    }
}

/// Orders never stop altogether, or nobody would notice that the room has returned.
#[test]
fn some_orders_are_admitted_without_any_room_and_all_soon_after_it_returns() {
    let mut pressure = CallPressure::default();
    let start = Instant::now();
    let span = Duration::from_secs(20);
    let (admitted, _) = simulate(&mut pressure, start, span, 100, 0.0);
    assert!((0.02..0.2).contains(&admitted), "{admitted:.2} admitted");
    let later = start + span;
    simulate(&mut pressure, later, Duration::from_secs(8), 100, 1.0);
    let (admitted, _) = simulate(
        &mut pressure,
        later + Duration::from_secs(8),
        span,
        100,
        1.0,
    );
    assert_eq!(admitted, 1.0);
}

#[test]
fn routes_that_are_gone_are_forgotten() {
    let mut pressure = CallPressure::default();
    let (route, now): (RouteName, _) = ("order".into(), Instant::now());
    for i in 0..20 {
        pressure.record_call(&route, false, now + Duration::from_millis(100 * i));
    }
    assert!(pressure.share(&route) < 1.0);
    pressure.retain(|_| false);
    assert_eq!(pressure.share(&route), 1.0);
}
