//! Tests of how requests that crash servers are told from others.

use std::time::Duration;

use policy::Poison;

const NOW: Duration = Duration::from_secs(1);

#[test]
fn is_blocked_after_the_limit() {
    let mut poison = Poison::new(3);
    for count in 1..=3 {
        assert!(!poison.is_blocked(7));
        assert_eq!(poison.record_crash(7, NOW), count);
    }
    assert!(poison.is_blocked(7));
}

#[test]
fn record_answer_clears_earlier_crashes() {
    let mut poison = Poison::new(3);
    for _ in 0..10 {
        poison.record_crash(7, NOW);
        poison.record_crash(7, NOW);
        poison.record_answer(7);
        assert!(!poison.is_suspect(7));
    }
    assert_eq!(poison.record_crash(7, NOW), 1);
}

#[test]
fn record_answer_does_not_unblock() {
    let mut poison = Poison::new(3);
    (0..3).for_each(|_| _ = poison.record_crash(7, NOW));
    poison.record_answer(7);
    assert!(poison.is_blocked(7));
}

/// An instance that has not seen the answer goes on to report the crashes.
#[test]
fn merge_cleared_crashes_stay_cleared() {
    let mut poison = Poison::new(3);
    poison.merge(7, 2, NOW);
    assert!(poison.is_suspect(7));
    poison.record_answer(7);
    poison.merge(7, 2, NOW);
    assert!(!poison.is_suspect(7));
    assert_eq!(poison.crash_counts().count(), 0);
    poison.merge(7, 5, NOW);
    assert!(poison.is_blocked(7));
}
