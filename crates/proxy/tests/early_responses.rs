//! Load: pipelined reads while the memory for responses is in use.

use ibiscove_http::body::BodyBudget;
use ibiscove_proxy::relay::has_room_for_early_responses;

#[test]
fn requests_start_early_only_with_memory_for_a_pipeline_of_responses() {
    let needed = 4 << 20;
    assert!(has_room_for_early_responses(&BodyBudget::new(needed)));
    assert!(!has_room_for_early_responses(&BodyBudget::new(needed - 1)));
}
