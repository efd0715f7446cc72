//! Tests of table copies, from which instances fetch what they miss.

use std::collections::BTreeMap;

use gateway::revision::{self, revision};
use gateway::{KnownRevision, Row, TableCopy};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn row(key: &str, revision: u64) -> Row {
    Row { key: key.into(), value: Some(revision.to_string().into()), revision }
}

fn deleted(key: &str, revision: u64) -> Row {
    Row { key: key.into(), value: None, revision }
}

fn known(revision: u64) -> KnownRevision {
    KnownRevision { revision, changed: revision }
}

#[test]
fn since_includes_deletions() {
    let mut copy = TableCopy::default();
    copy.replace(&[row("a", 1), row("b", 2)], known(2));
    copy.change(&[deleted("a", 3)], 4);
    let delta = copy.since(2, false);
    assert!(!delta.complete);
    assert_eq!(delta.rows, [deleted("a", 3)]);
    assert_eq!(delta.known, KnownRevision { revision: 4, changed: 3 });
}

#[test]
fn since_before_the_copy_is_complete() {
    let mut copy = TableCopy::default();
    copy.replace(&[row("a", 1), row("b", 7)], known(9));
    copy.change(&[deleted("a", 10)], 10);
    let delta = copy.since(8, false);
    assert!(delta.complete, "deletions before the copy was made are unknown");
    assert_eq!(delta.rows, [row("b", 7)]);
}

/// An instance that has nothing yet must know that it has all rows then: it is not ready
/// before.
#[test]
fn since_nothing_is_complete_though_the_table_was_empty() {
    let mut copy = TableCopy::default();
    copy.replace(&[], known(0));
    copy.change(&[row("a", 2)], 2);
    let delta = copy.since(0, false);
    assert!(delta.complete);
    assert_eq!(delta.rows, [row("a", 2)]);
}

#[test]
fn since_forgotten_deletions_is_complete() {
    let mut copy = TableCopy::default();
    copy.replace(&[], known(1));
    for revision in 2..10_000 {
        copy.change(&[deleted(&format!("k{revision}"), revision)], revision);
    }
    assert!(copy.since(2, false).complete);
    let delta = copy.since(9_990, false);
    assert!(!delta.complete);
    assert_eq!(delta.rows.len(), 9);
}

/// Whatever an instance missed, what it fetches makes its rows equal to the copy's.
#[test]
fn since_any_revision_brings_up_to_date() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut copy = TableCopy::default();
        let mut rows: BTreeMap<String, Row> = BTreeMap::new();
        let mut held: BTreeMap<String, Row> = BTreeMap::new();
        let mut held_revision = 0;
        for revision in 1..60 {
            let key = format!("k{}", rng.random_range(0..6));
            let changed = if rng.random_range(0..3) == 0 {
                deleted(&key, revision)
            } else {
                row(&key, revision)
            };
            rows.insert(key, changed.clone());
            if rng.random_range(0..20) == 0 {
                let live: Vec<Row> =
                    rows.values().filter(|row| row.value.is_some()).cloned().collect();
                copy.replace(&live, known(revision));
            } else {
                copy.change(&[changed], revision);
            }
            if rng.random_range(0..5) > 0 {
                continue;
            }
            let delta = copy.since(held_revision, false);
            if delta.complete {
                held.clear();
            }
            for row in delta.rows {
                held.insert(row.key.clone(), row);
            }
            held.retain(|_, row| row.value.is_some());
            held_revision = delta.known.revision;
            let live: BTreeMap<String, Row> = rows
                .iter()
                .filter(|(_, row)| row.value.is_some())
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect();
            assert_eq!(held, live, "seed {seed}, revision {revision}");
        }
    }
}

/// A copy that follows a store, which comes back from older copies, and the rows of the store.
fn copy_across_eras(rng: &mut ChaCha8Rng, steps: u32) -> (TableCopy, BTreeMap<String, Row>) {
    let mut copy = TableCopy::default();
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    let mut backup = (0, rows.clone());
    let (mut era, mut number) = (0, 0);
    for _ in 0..steps {
        match rng.random_range(0..8) {
            0 => backup = (number, rows.clone()),
            1 => {
                era += rng.random_range(1..3);
                (number, rows) = backup.clone();
                rows.values_mut().for_each(|row| row.revision = revision(era, row.revision));
                let all: Vec<Row> =
                    rows.values().filter(|row| row.value.is_some()).cloned().collect();
                copy.replace(&all, known(revision(era, number)));
                rows.values_mut().for_each(|row| row.revision = revision::number(row.revision));
            }
            _ => {
                number += 1;
                let key = format!("k{}", rng.random_range(0..6));
                let value = rng.random_bool(0.7).then(|| vec![rng.random()]);
                let row = Row { key: key.clone(), value, revision: number };
                rows.insert(key, row.clone());
                let row = Row { revision: revision(era, number), ..row };
                copy.change(&[row], revision(era, number));
            }
        }
    }
    (copy, rows)
}

#[test]
fn since_any_revision_of_an_earlier_era_brings_up_to_date() {
    for seed in 0..300 {
        let steps = ChaCha8Rng::seed_from_u64(seed).random_range(1..60);
        let (mut behind, _) = copy_across_eras(&mut ChaCha8Rng::seed_from_u64(seed), steps / 2);
        let (ahead, rows) = copy_across_eras(&mut ChaCha8Rng::seed_from_u64(seed), steps);
        let delta = ahead.since(behind.known.revision, false);
        if delta.known.revision > behind.known.revision {
            match delta.complete {
                true => behind.replace(&delta.rows, delta.known),
                false => behind.change(&delta.rows, delta.known.revision),
            }
        }
        let values = |rows: &[Row]| -> BTreeMap<String, Option<Vec<u8>>> {
            let live = rows.iter().filter(|row| row.value.is_some());
            live.map(|row| (row.key.clone(), row.value.clone())).collect()
        };
        let found = values(&behind.since(0, false).rows);
        assert_eq!(found, values(&rows.into_values().collect::<Vec<_>>()), "seed {seed}");
    }
}

#[test]
fn revision_of_a_later_era_is_greater() {
    assert!(revision(1, 3) > revision(0, 9_000_000));
    assert_eq!((revision::era(revision(7, 42)), revision::number(revision(7, 42))), (7, 42));
    assert_eq!(revision(0, 42), 42);
    assert_eq!(revision::number(revision(1, u64::MAX)), (1 << 40) - 1);
}
