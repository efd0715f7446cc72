//! Tests of model escalation and admission control.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{Admission, AdmissionDecision, Cascade, EscalationContext, Pressure};

fn context(confidence: u8) -> EscalationContext {
    EscalationContext {
        model_index: 0,
        model_count: 3,
        confidence: Some(confidence),
        time_left: at(900),
        target_latency: at(1_000),
        sends_left: 2,
        priority: 1,
    }
}

fn pressure_at(first_byte_ms: u64) -> Pressure {
    let mut pressure = Pressure::default();
    for _ in 0..200 {
        pressure.record_answer(at(first_byte_ms), at(1_000));
    }
    pressure
}

#[test]
fn escalate_to_confident_answer_is_accepted() {
    assert_eq!(Cascade::escalate_to(&context(90), &pressure_at(50)), None);
}

#[test]
fn escalate_to_unsure_answer_goes_to_the_largest() {
    assert_eq!(Cascade::escalate_to(&context(10), &pressure_at(50)), Some(2));
}

#[test]
fn escalate_to_accepts_at_peak_what_idle_servers_escalate() {
    assert_eq!(Cascade::escalate_to(&context(40), &pressure_at(50)), Some(2));
    assert_eq!(Cascade::escalate_to(&context(40), &pressure_at(800)), None);
}

#[test]
fn escalate_to_recovers_after_a_load_peak() {
    let mut pressure = pressure_at(1_500);
    for _ in 0..100 {
        pressure.record_answer(at(50), at(1_000));
    }
    assert_eq!(Cascade::escalate_to(&context(40), &pressure), Some(2));
}

#[test]
fn escalate_to_no_time_left_accepts_the_answer() {
    let late = EscalationContext { time_left: at(100), ..context(10) };
    assert_eq!(Cascade::escalate_to(&late, &pressure_at(50)), None);
}

#[test]
fn escalate_to_no_attempt_left_accepts_the_answer() {
    let last = EscalationContext { sends_left: 0, ..context(10) };
    assert_eq!(Cascade::escalate_to(&last, &pressure_at(50)), None);
}

#[test]
fn escalate_to_largest_model_is_accepted() {
    let largest = EscalationContext { model_index: 2, ..context(10) };
    assert_eq!(Cascade::escalate_to(&largest, &pressure_at(50)), None);
}

#[test]
fn escalate_to_missing_confidence_is_accepted() {
    let unrated = EscalationContext { confidence: None, ..context(10) };
    assert_eq!(Cascade::escalate_to(&unrated, &pressure_at(50)), None);
}

#[test]
fn escalate_to_is_more_frequent_for_higher_priorities() {
    let escalations = |priority: u8| {
        let pressure = pressure_at(20);
        let escalates = |c: &u8| {
            Cascade::escalate_to(&EscalationContext { priority, ..context(*c) }, &pressure)
                .is_some()
        };
        (0..=100).filter(escalates).count()
    };
    assert!(escalations(0) > escalations(1) && escalations(1) > escalations(2));
    assert_eq!(escalations(2), escalations(9));
}

#[test]
fn escalate_to_accepts_lower_priorities_first_at_peak() {
    let accepted = |priority: u8| {
        let pressure = pressure_at(400);
        (0..100)
            .filter(|c| {
                Cascade::escalate_to(&EscalationContext { priority, ..context(*c) }, &pressure)
                    .is_none()
            })
            .count()
    };
    assert!(accepted(2) > accepted(1) && accepted(1) > accepted(0));
}

#[test]
fn decide_in_time_is_admitted() {
    assert_eq!(Admission::decide(at(500), at(0), at(1_000), 0.5), AdmissionDecision::Admit);
}

#[test]
fn decide_unservable_is_rejected_at_once() {
    let decision = Admission::decide(at(5_000), at(0), at(1_000), 0.5);
    assert!(
        matches!(decision, AdmissionDecision::Reject(after) if after >= at(150) && after <= at(6_000))
    );
}

#[test]
fn retry_after_is_jittered() {
    let after = |draw| Admission::retry_after(Duration::from_secs(2), draw);
    assert!(after(1.0) > after(0.0) + at(500));
}
