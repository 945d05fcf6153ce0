//! Pacing of map updates when many owners write at once.

use ibiscove_ranges::contention::backoff_window;

#[test]
fn window_doubles_until_it_has_a_slot_for_each_owner() {
    let slot = backoff_window(0, 60);
    assert_eq!(backoff_window(1, 60), slot * 2);
    assert_eq!(backoff_window(3, 60), slot * 8);
    assert_eq!(backoff_window(20, 60), slot * 60);
    assert_eq!(backoff_window(1_000, 4), slot * 4);
}
