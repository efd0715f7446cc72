//! Tests of how crashes are blamed on parts of prompts.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{Blame, BlameChange, PromptPart, Verdict};

/// Part of all prompts of a route.
const COMMON: u64 = 1;
/// Part that is new when its first request crashes a server.
const SUBJECT: u64 = 2;
/// Part that crashes servers.
const DEADLY: u64 = 3;

fn prompt(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 10 }).collect()
}

/// Time until parts are blocked for a crash.
const SETTLING_MS: u64 = 300;

/// A prompt with the deadly part; `own` is its last part.
fn deadly(own: u64) -> Vec<PromptPart> {
    prompt(&[COMMON, SUBJECT, DEADLY, own])
}

/// An instance that knows of one crash of each of the servers under the deadly requests.
fn crashed(servers: &[(u64, u64)]) -> (Blame, Vec<BlameChange>) {
    let mut blame = Blame::default();
    blame.record_answer(&prompt(&[COMMON, 90]), at(0));
    let crash = |(step, (server, request)): (u64, &(u64, u64))| {
        blame.record_crash(*server, *request, &deadly(*request), at(1_000 + 100 * step))
    };
    let mut changes: Vec<BlameChange> = (0..).zip(servers).flat_map(crash).collect();
    changes.extend(blame.settle(at(1_000 + 100 * servers.len() as u64 + SETTLING_MS)));
    (blame, changes)
}

#[test]
fn record_crash_few_crashes_of_one_request_block_nothing() {
    let (blame, changes) = crashed(&[(1, 100), (2, 100), (3, 100)]);
    assert!(changes.is_empty());
    assert_eq!(blame.verdict(&deadly(101)), Verdict::Suspect);
}

#[test]
fn record_crash_second_request_blocks_the_deepest_part() {
    let (blame, changes) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    assert_eq!(changes, [BlameChange::Blocked { part: DEADLY, crashes: 4, requests: 2 }]);
    assert_eq!(blame.verdict(&deadly(102)), Verdict::Blocked);
    assert_eq!(blame.verdict(&prompt(&[7, DEADLY, 103])), Verdict::Blocked);
}

/// The part before the deadly one was in all crashes too, and was never answered.
#[test]
fn verdict_part_beside_the_deadly_one_is_clear() {
    let (blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    assert_eq!(blame.verdict(&prompt(&[COMMON, SUBJECT, 104])), Verdict::Clear);
}

/// The part before is the deadly one: it crashes servers without the deeper one, too.
#[test]
fn record_crash_part_that_explains_more_is_blocked() {
    let mut blame = Blame::default();
    blame.record_crash(1, 100, &prompt(&[SUBJECT, 50, 100]), at(0));
    blame.record_crash(2, 101, &prompt(&[SUBJECT, 51, 101]), at(100));
    blame.record_crash(3, 102, &prompt(&[SUBJECT, 52, 102]), at(200));
    let changes = blame.settle(at(500));
    assert_eq!(changes, [BlameChange::Blocked { part: SUBJECT, crashes: 3, requests: 3 }]);
    assert_eq!(blame.verdict(&prompt(&[50, 103])), Verdict::Clear);
}

/// A sound request with the same subject waits at the server that the deadly one crashes
/// next; the crash is seen by two instances.
#[test]
fn record_crash_bystander_of_one_request_is_not_blamed() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100)]);
    let mut other = Blame::default();
    other.merge(blame.report(at(1_300)), at(1_300));
    blame.record_crash(4, 100, &deadly(100), at(2_001));
    other.record_crash(4, 200, &prompt(&[COMMON, SUBJECT, 200]), at(2_000));
    blame.merge(other.report(at(2_030)), at(2_030));
    other.merge(blame.report(at(2_040)), at(2_040));
    for blame in [&mut blame, &mut other] {
        assert!(blame.settle(at(2_400)).is_empty());
        assert_ne!(blame.verdict(&prompt(&[COMMON, SUBJECT, 201])), Verdict::Blocked);
    }
}

#[test]
fn record_crash_last_part_is_never_blocked() {
    let mut blame = Blame::default();
    for server in 0..10 {
        blame.record_crash(server, server, &prompt(&[DEADLY]), at(100 * server));
    }
    assert_eq!(blame.verdict(&prompt(&[DEADLY])), Verdict::Clear);
    assert_eq!(blame.verdict(&prompt(&[DEADLY, 1])), Verdict::Clear);
}

/// Requests that wait at a server when it crashes share parts by chance; an answer of any
/// of them elsewhere clears their parts.
#[test]
fn record_answer_clears_the_parts() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100)]);
    blame.record_answer(&prompt(&[COMMON, SUBJECT, 105]), at(2_000));
    blame.record_crash(4, 101, &deadly(101), at(2_100));
    let changes = blame.settle(at(2_400));
    assert_eq!(changes, [BlameChange::Blocked { part: DEADLY, crashes: 4, requests: 2 }]);
    assert_eq!(blame.verdict(&prompt(&[COMMON, SUBJECT, 106])), Verdict::Clear);
}

/// A storm of crashes by another cause: parts that were answered before need twice as much.
#[test]
fn record_crash_answered_part_needs_more() {
    let mut blame = Blame::default();
    blame.record_answer(&prompt(&[SUBJECT, 90]), at(0));
    for (server, request) in [(1, 100), (2, 100), (3, 101), (4, 101), (5, 102)] {
        let changes =
            blame.record_crash(server, request, &prompt(&[SUBJECT, request]), at(1_000 + server));
        assert!(changes.is_empty());
    }
    assert_eq!(blame.verdict(&prompt(&[SUBJECT, 103])), Verdict::Clear);
}

#[test]
fn record_crash_one_crash_under_many_requests_counts_once() {
    let mut blame = Blame::default();
    for request in 0..10 {
        let changes = blame.record_crash(1, request, &prompt(&[SUBJECT, request]), at(request));
        assert!(changes.is_empty());
    }
    assert_eq!(blame.verdict(&prompt(&[SUBJECT, 11])), Verdict::Clear);
}

#[test]
fn merge_instances_draw_the_same_conclusion() {
    let (mut first, mut second) = (Blame::default(), Blame::default());
    first.record_crash(1, 100, &deadly(100), at(1_000));
    first.record_crash(2, 100, &deadly(100), at(1_100));
    second.record_crash(3, 101, &deadly(101), at(1_200));
    second.record_crash(4, 101, &deadly(101), at(1_300));
    assert!(second.merge(first.report(at(1_400)), at(1_400)).news);
    let changes = second.settle(at(1_600));
    assert!(matches!(changes[..], [BlameChange::Blocked { part: DEADLY, .. }]));
    let outcome = first.merge(second.report(at(1_620)), at(1_620));
    assert!(outcome.news);
    assert_eq!(first.verdict(&deadly(102)), Verdict::Blocked);
    assert!(!second.merge(first.report(at(1_650)), at(1_650)).news, "reports go on for ever");
    assert!(!first.merge(second.report(at(1_700)), at(1_700)).news, "reports go on for ever");
}

#[test]
fn merge_both_instances_saw_the_same_crash() {
    let (mut first, mut second) = (Blame::default(), Blame::default());
    for blame in [&mut first, &mut second] {
        for server in 0..3 {
            blame.record_crash(server, 100, &deadly(100), at(1_000 + 100 * server));
        }
    }
    second.record_crash(2, 101, &deadly(101), at(1_250));
    second.merge(first.report(at(1_300)), at(1_320));
    second.settle(at(1_700));
    assert_eq!(second.verdict(&deadly(102)), Verdict::Suspect, "three crashes count as more");
}

#[test]
fn merge_answer_elsewhere_speaks_against_a_block() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    let mut other = Blame::default();
    other.record_answer(&deadly(200), at(1_350));
    let outcome = other.merge(blame.report(at(1_750)), at(1_750));
    assert!(outcome.rebuttal);
    assert_eq!(other.verdict(&deadly(102)), Verdict::Clear);
    let outcome = blame.merge(other.report(at(1_800)), at(1_800));
    assert!(outcome.changes.contains(&BlameChange::Unblocked(DEADLY)));
    assert_eq!(blame.verdict(&deadly(102)), Verdict::Clear);
}

#[test]
fn merge_new_instance_knows_what_is_blocked() {
    let (blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    let mut new = Blame::default();
    let report = blame.report(at(60_000));
    assert!(report.is_settled());
    let outcome = new.merge(report, at(500));
    assert_eq!(outcome.changes, [BlameChange::Reported(DEADLY)]);
    assert_eq!(new.verdict(&deadly(102)), Verdict::Blocked);
}

#[test]
fn try_blocked_tries_become_rare() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    let tries = (0..3_600_000)
        .step_by(500)
        .filter(|now| blame.try_blocked(&deadly(102), Duration::ZERO, at(1_800 + now)));
    assert_eq!(tries.count(), 4);
}

#[test]
fn try_blocked_another_hub_waits_for_the_first() {
    let (mut first, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    let mut second = Blame::default();
    second.merge(first.report(at(1_750)), at(1_750));
    assert!(first.try_blocked(&deadly(102), Duration::ZERO, at(5_000)));
    assert!(!second.try_blocked(&deadly(103), at(1_000), at(5_100)));
    second.merge(first.report(at(5_200)), at(5_200));
    assert!(!second.try_blocked(&deadly(103), at(1_000), at(7_000)));
}

#[test]
fn try_blocked_answer_unblocks() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    assert!(blame.try_blocked(&deadly(102), Duration::ZERO, at(5_000)));
    let changes = blame.record_answer(&deadly(102), at(5_200));
    assert_eq!(changes, [BlameChange::Unblocked(DEADLY)]);
    assert_eq!(blame.verdict(&deadly(103)), Verdict::Clear);
}

/// Callers that send new parts all the time must not make it grow.
#[test]
fn record_crash_memory_is_bounded() {
    let mut blame = Blame::default();
    for n in 0..2_000 {
        blame.record_crash(n, n, &prompt(&[1_000 + n, n]), at(n));
    }
    let report = blame.report(at(2_000));
    assert!(report.crashes.len() <= 32);
    assert_eq!(blame.blocked_parts(), 0);
}

#[test]
fn load_stored_parts_are_blocked_after_a_restart() {
    let (mut blame, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    assert_eq!(blame.unstored(), [(DEADLY, 0)]);
    blame.mark_stored(DEADLY, 0);
    assert!(blame.unstored().is_empty());
    assert!(blame.try_blocked(&deadly(102), Duration::ZERO, at(5_000)));
    assert_eq!(blame.unstored(), [(DEADLY, 1)]);
    let mut new = Blame::default();
    new.load(&[(DEADLY, 1)], at(800));
    assert_eq!(new.verdict(&deadly(103)), Verdict::Blocked);
    assert!(new.unstored().is_empty());
    assert!(!new.try_blocked(&deadly(104), Duration::ZERO, at(20_000)), "tries start anew");
}

#[test]
fn merge_hubs_learn_what_the_store_knows() {
    let (mut first, _) = crashed(&[(1, 100), (2, 100), (3, 100), (4, 101)]);
    let mut second = Blame::default();
    second.merge(first.report(at(1_800)), at(1_800));
    assert_eq!(second.unstored(), [(DEADLY, 0)]);
    first.mark_stored(DEADLY, 0);
    second.merge(first.report(at(1_900)), at(1_900));
    assert!(second.unstored().is_empty());
}
