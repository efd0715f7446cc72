//! Tests of the choice between the own way to the servers and another instance.

use dispatch::{Reach, is_detour_faster};

const LISTED: usize = 60;

fn reach(reached: usize) -> Reach {
    Reach { reached, listed: LISTED }
}

#[test]
fn is_detour_faster_if_what_is_reached_is_busy() {
    assert!(is_detour_faster(reach(1), Some(400.0), Some(40.0)));
    assert!(is_detour_faster(reach(29), Some(400.0), Some(40.0)));
}

#[test]
fn is_detour_faster_not_if_what_is_reached_has_room() {
    assert!(!is_detour_faster(reach(1), Some(45.0), Some(40.0)));
}

#[test]
fn is_detour_faster_not_with_most_servers() {
    // Placement weighs the servers that are left.
    assert!(!is_detour_faster(reach(30), Some(400.0), Some(40.0)));
    assert!(!is_detour_faster(reach(LISTED), Some(400.0), Some(40.0)));
}

#[test]
fn is_detour_faster_than_a_rejection_unless_all_are_reached() {
    assert!(is_detour_faster(reach(1), None, None));
    assert!(is_detour_faster(reach(LISTED - 1), None, None));
    assert!(!is_detour_faster(reach(LISTED), None, None));
}

#[test]
fn reach_narrow_is_less_than_half() {
    assert!(reach(1).is_narrow() && reach(29).is_narrow());
    assert!(!reach(30).is_narrow() && !reach(0).is_narrow());
    assert!(reach(0).is_lost() && !reach(1).is_lost() && !Reach::default().is_lost());
}
