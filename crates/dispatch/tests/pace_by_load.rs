//! Tests of the comparison of paces at like load.

use dispatch::{PaceByLoad, Side};

fn paces(answers: &[(Side, u32, f64, f64)]) -> PaceByLoad {
    let mut paces = PaceByLoad::default();
    for (side, answers, load, pace) in answers {
        (0..*answers).for_each(|_| paces.record(*side, *load, *pace));
    }
    paces
}

#[test]
fn compare_answers_at_the_same_load() {
    let paces =
        paces(&[(Side::Old, 50, 0.1, 1.0), (Side::Old, 50, 0.9, 2.0), (Side::New, 10, 0.9, 2.0)]);
    let comparison = paces.compare().unwrap();
    assert_eq!((comparison.answers, comparison.expected), (10, 2.0));
    assert!((comparison.mean - 2.0).abs() < 0.01);
}

/// Idle servers may be compared with loaded ones, as those are no faster.
#[test]
fn compare_with_the_next_higher_load() {
    let paces = paces(&[(Side::Old, 50, 0.9, 2.0), (Side::New, 10, 0.1, 4.0)]);
    assert_eq!(paces.compare().unwrap().expected, 2.0);
}

#[test]
fn compare_leaves_out_higher_loads_than_the_old_version_had() {
    let paces = paces(&[(Side::Old, 50, 0.1, 1.0), (Side::New, 10, 0.9, 4.0)]);
    assert!(paces.compare().is_none());
}

#[test]
fn compare_few_old_answers_are_no_reference() {
    let paces = paces(&[(Side::Old, 10, 0.1, 1.0), (Side::New, 10, 0.1, 4.0)]);
    assert!(paces.compare().is_none());
}

#[test]
fn add_sums_instances() {
    let mut sum = paces(&[(Side::Old, 50, 0.1, 1.0), (Side::New, 3, 0.1, 2.0)]);
    sum.add(&paces(&[(Side::Old, 50, 0.1, 1.0), (Side::New, 3, 0.1, 4.0)]));
    let comparison = sum.compare().unwrap();
    assert_eq!(comparison.answers, 6);
    assert!((comparison.mean - 3.0).abs() < 0.01);
    assert!((comparison.error - 1.0 / 6f64.sqrt()).abs() < 0.01);
}
