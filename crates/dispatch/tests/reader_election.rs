//! Tests of the reader election.

mod common;

use std::time::Duration;

use common::at;
use dispatch::{FeedMode, ReaderElection};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn next_mode_first_in_order_reads() {
    let mut election = ReaderElection::default();
    election.record_peer_answer(at(990), false);
    assert_eq!(election.next_mode(0, at(1_000)), FeedMode::ReadForOthers);
}

#[test]
fn next_mode_others_listen_while_updates_are_fresh() {
    let mut election = ReaderElection::default();
    election.record_peer_answer(at(1_000), true);
    assert!(matches!(election.next_mode(5, at(1_900)), FeedMode::Listen(_)));
}

#[test]
fn next_mode_delayed_old_update_changes_nothing() {
    let mut election = ReaderElection::default();
    election.record_peer_answer(at(1_000), true);
    let FeedMode::Listen(until) = election.next_mode(1, at(1_100)) else {
        panic!("it does not listen")
    };
    election.record_peer_answer(at(400), true);
    assert_eq!(election.next_mode(1, at(1_200)), FeedMode::Listen(until));
}

/// The reader still runs but is cut off from the store and has not noticed yet, so it
/// reports no new answers.
#[test]
fn next_mode_next_instance_takes_over_in_time() {
    // Changes must be in force within 2 s of their acknowledgement.
    let bound = at(2_000);
    let mut elections = [ReaderElection::default(); 17];
    let mut first = None;
    for now in (0..3_000).step_by(10).map(at) {
        for (position, election) in elections.iter_mut().enumerate().skip(1) {
            if now == Duration::ZERO {
                election.record_peer_answer(now, true);
            }
            if election.next_mode(position, now) == FeedMode::ReadForOthers {
                first = first.or(Some((position, now)));
            }
        }
    }
    let (position, at) = first.expect("no instance reads");
    assert_eq!(position, 1);
    assert!(at < bound.mul_f64(0.75), "the next instance reads only after {at:?}");
}

#[test]
fn next_mode_two_readers_settle_on_the_first() {
    let (mut second, mut third) = (ReaderElection::default(), ReaderElection::default());
    assert_eq!(second.next_mode(1, at(5_000)), FeedMode::ReadForOthers);
    assert_eq!(third.next_mode(2, at(5_000)), FeedMode::ReadForOthers);
    second.record_peer_answer(at(5_010), false);
    third.record_peer_answer(at(5_010), true);
    assert_eq!(second.next_mode(1, at(5_020)), FeedMode::ReadForOthers);
    assert!(matches!(third.next_mode(2, at(5_020)), FeedMode::Listen(_)));
}

#[test]
fn next_mode_later_reader_keeps_an_earlier_one_listening() {
    let mut second = ReaderElection::default();
    second.record_peer_answer(at(5_000), false);
    assert!(matches!(second.next_mode(1, at(5_500)), FeedMode::Listen(_)));
}

/// The store rejects calls of the first instance in the order and serves the others.
#[test]
fn next_mode_refused_reader_yields_to_the_next() {
    let (mut first, mut second) = (ReaderElection::default(), ReaderElection::default());
    first.record_own_answer(false);
    assert_eq!(first.next_mode(0, at(5_000)), FeedMode::ReadForOthers);
    assert_eq!(second.next_mode(1, at(5_000)), FeedMode::ReadForOthers);
    first.record_peer_answer(at(5_010), false);
    assert!(matches!(first.next_mode(0, at(5_020)), FeedMode::Listen(_)));
    first.record_own_answer(true);
    assert_eq!(first.next_mode(0, at(5_030)), FeedMode::ReadForOthers);
}

/// For one minute, a tenth of the datagrams are lost; lost updates must not make the
/// other instances call the store often.
#[test]
fn next_mode_lost_updates_cost_few_calls() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut elections = [ReaderElection::default(); 17];
    let mut busy_until = [Duration::ZERO; 17];
    let (mut answered, mut calls, mut extra) = (Duration::ZERO, 0, 0);
    for now in (0..60_000).step_by(50).map(at) {
        if now - answered >= at(700) {
            answered = now;
            calls += 1;
        }
        let sent = now.as_millis() % 250 == 0;
        for (position, election) in elections.iter_mut().enumerate().skip(1) {
            if sent && rng.random::<f64>() >= 0.1 {
                election.record_peer_answer(answered, true);
            }
            if now >= busy_until[position]
                && election.next_mode(position, now) == FeedMode::ReadForOthers
            {
                busy_until[position] = now + at(700);
                election.record_peer_answer(now, true);
                extra += 1;
            }
        }
    }
    assert!(extra * 10 <= calls, "{extra} calls besides {calls} by the reader");
}

/// An outage of the store: instances far back in the order do not all begin to call it.
#[test]
fn next_mode_outage_wakes_few_instances() {
    let mut elections = [ReaderElection::default(); 195];
    let mut reading = 0;
    for (position, election) in elections.iter_mut().enumerate() {
        election.record_peer_answer(at(1_000), true);
        let mode = election.next_mode(position, at(3_000));
        reading += usize::from(mode == FeedMode::ReadForOthers);
    }
    assert!((2..=10).contains(&reading), "{reading} instances read");
}
