//! When a stopping node refuses requests and gives its last answers.

use std::time::{Duration, Instant};

use savoryport_core::node::stop_plan::StopPlan;

/// Servers that are at work in the last sixth of a stop explain that an answer is cut off.
#[test]
fn answers_are_given_in_the_last_sixth_of_the_stop_and_before_its_end() {
    let began = Instant::now();
    for within_ms in [2_000, 5_000, 8_000, 30_000] {
        let within = Duration::from_millis(within_ms);
        let plan = StopPlan::new(began, within);
        assert!(plan.answer_by >= began + within * 5 / 6, "{within:?}");
        assert!(plan.refuse_from < plan.answer_by && plan.answer_by < plan.close_by);
        assert!(plan.close_by + StopPlan::exit_margin(within) <= began + within);
    }
}

#[test]
fn only_what_ends_in_time_is_taken() {
    let began = Instant::now();
    let plan = StopPlan::new(began, Duration::from_secs(8));
    let at = |ms| began + Duration::from_millis(ms);
    assert!(plan.accepts(at(2_999)) && !plan.accepts(at(3_000)));
    assert!(plan.allows(at(1_000), Duration::from_secs(5)));
    assert!(!plan.allows(at(2_000), Duration::from_secs(5)));
}
