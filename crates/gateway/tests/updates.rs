//! Tests of table updates: how a reader splits them and how listeners apply them.

use std::collections::BTreeMap;

use gateway::{KnownRevision, Row, TableUpdate, UpdateEffect, pack, split_updates, unpack};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn row(key: &str, revision: u64) -> Row {
    Row { key: key.into(), value: Some(format!("{key} at {revision}").into()), revision }
}

fn update(known: KnownRevision) -> TableUpdate {
    TableUpdate { table: "t".into(), known, age_ms: 0, unsettled: false, changes: None }
}

fn known(revision: u64, changed: u64) -> KnownRevision {
    KnownRevision { revision, changed }
}

#[test]
fn effect_of_next_change_is_its_rows() {
    let rows = [row("a", 7)];
    let updates = split_updates("t", &rows, 5, known(9, 7), false);
    let mut listener = known(6, 5);
    assert_eq!(listener.effect_of(&updates[0]), UpdateEffect::Rows(rows.to_vec()));
}

#[test]
fn effect_of_later_change_is_a_gap() {
    let updates = split_updates("t", &[row("a", 9)], 7, known(9, 9), false);
    assert_eq!(known(6, 5).effect_of(&updates[0]), UpdateEffect::Gap);
}

#[test]
fn effect_of_next_update_reveals_a_lost_change() {
    assert_eq!(known(6, 5).effect_of(&update(known(9, 8))), UpdateEffect::Gap);
}

#[test]
fn effect_of_change_in_another_table_is_none() {
    let mut listener = known(6, 5);
    assert_eq!(listener.effect_of(&update(known(90, 5))), UpdateEffect::None);
    assert_eq!(listener.revision, 90);
}

#[test]
fn effect_of_old_update_is_none() {
    let updates = split_updates("t", &[row("a", 4)], 3, known(4, 4), false);
    assert_eq!(known(6, 5).effect_of(&updates[0]), UpdateEffect::None);
}

#[test]
fn split_updates_many_rows_are_split_in_order() {
    let long = "x".repeat(5_000);
    let rows: Vec<Row> = (1..=9).map(|n| row(&format!("{long}{n}"), n)).collect();
    let updates = split_updates("t", &rows, 0, known(20, 9), false);
    assert!(updates.len() > 1);
    let mut listener = known(0, 0);
    for update in &updates {
        let UpdateEffect::Rows(rows) = listener.effect_of(update) else {
            panic!("{update:?} leaves a gap")
        };
        listener.advance(&rows, update.known.revision);
    }
    assert_eq!(listener, known(20, 9));
}

#[test]
fn split_updates_long_row_is_announced_to_be_fetched() {
    let rows = [row("a", 1), row(&"x".repeat(20_000), 2), row("b", 3)];
    let updates = split_updates("t", &rows, 0, known(5, 3), false);
    let mut listener = known(0, 0);
    let last = updates.last().unwrap();
    assert!(updates.iter().all(|update| pack(update).unwrap().len() < 1_400));
    assert_eq!((last.known, &last.changes), (known(5, 3), &None));
    assert_eq!(listener.effect_of(last), UpdateEffect::Gap);
}

#[test]
fn split_updates_keeps_a_transaction_together() {
    let long = "x".repeat(9_000);
    let rows: Vec<Row> = (1..=4).map(|n| row(&format!("{long}{n}"), 3)).collect();
    assert_eq!(split_updates("t", &rows, 0, known(3, 3), false).len(), 1);
}

#[test]
fn split_updates_transaction_at_the_limit_is_not_torn() {
    for length in (500..9_000).step_by(250) {
        let long = "x".repeat(length);
        let revisions = [(1, 1), (2, 1), (3, 2), (4, 2), (5, 2)];
        let rows = revisions.map(|(number, revision)| row(&format!("{long}{number}"), revision));
        let (mut listener, mut held) = (known(0, 0), 0);
        for update in split_updates("t", &rows, 0, known(2, 2), false) {
            if let UpdateEffect::Rows(rows) = listener.effect_of(&update) {
                listener.advance(&rows, update.known.revision);
                held += rows.len();
            }
            let complete = [0, 2, 5][listener.revision as usize];
            assert_eq!(held, complete, "rows of {length} bytes up to {}", listener.revision);
        }
    }
}

#[test]
fn pack_binary_values_round_trip() {
    let binary = Row { key: "k".into(), value: Some(vec![0, 159, 146, 150]), revision: 1 };
    let updates = split_updates("t", std::slice::from_ref(&binary), 0, known(1, 1), false);
    let decoded: TableUpdate = unpack(&pack(&updates[0]).unwrap()).unwrap();
    assert_eq!(known(0, 0).effect_of(&decoded), UpdateEffect::Rows(vec![binary]));
}

#[test]
fn pack_long_message_is_shorter() {
    let value = "{\"state\": \"ready\", \"zone\": \"z1\"}".repeat(400);
    let long = Row { key: "k".into(), value: Some(value.into()), revision: 1 };
    let updates = split_updates("t", &[long], 0, known(1, 1), false);
    assert!(pack(&updates[0]).unwrap().len() < 1_400);
}

#[test]
fn unpack_random_bytes_are_rejected() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..5_000 {
        let length = rng.random_range(0..300);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(first) = bytes.first_mut().filter(|_| rng.random()) {
            *first = 1;
        }
        assert!(unpack::<TableUpdate>(&bytes).is_err());
    }
}

#[test]
fn unpack_decompression_bomb_is_bounded() {
    let update = TableUpdate { table: "x".repeat(4 << 20), ..update(known(1, 1)) };
    assert!(unpack::<TableUpdate>(&pack(&update).unwrap()).is_err());
}

/// Datagrams are lost, duplicated and reordered while rows change, and listeners read
/// the store when rows are missing. No listener may apply an older row over a newer one
/// or miss a row up to its known revision.
#[test]
fn effect_of_updates_in_any_order_converges_to_the_store() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store: BTreeMap<String, Row> = BTreeMap::new();
        let (mut revision, mut reader) = (0, known(0, 0));
        let (mut listener, mut held) = (known(0, 0), BTreeMap::<String, Row>::new());
        let mut in_transit: Vec<TableUpdate> = Vec::new();
        for step in 0..80 {
            for _ in 0..rng.random_range(0..3) {
                revision += rng.random_range(1..4);
                let key = format!("k{}", rng.random_range(0..6));
                store.insert(key.clone(), row(&key, revision));
            }
            let changed: Vec<Row> =
                store.values().filter(|row| row.revision > reader.revision).cloned().collect();
            let before = reader.changed;
            reader.advance(&changed, revision);
            in_transit.extend(split_updates("t", &changed, before, reader, false));
            in_transit.push(update(reader));
            while !in_transit.is_empty() && rng.random_range(0..3) > 0 {
                let update = in_transit.swap_remove(rng.random_range(0..in_transit.len()));
                if rng.random_range(0..4) == 0 {
                    continue;
                }
                if rng.random_range(0..6) == 0 {
                    in_transit.push(update.clone());
                }
                let rows = match listener.effect_of(&update) {
                    UpdateEffect::None => continue,
                    UpdateEffect::Rows(rows) => rows,
                    UpdateEffect::Gap => store
                        .values()
                        .filter(|row| row.revision > listener.revision)
                        .cloned()
                        .collect(),
                };
                let covered = if rows.is_empty() { revision } else { update.known.revision };
                let covered = covered.max(rows.iter().map(|row| row.revision).max().unwrap_or(0));
                listener.advance(&rows, covered);
                for row in rows {
                    let old = held.insert(row.key.clone(), row.clone());
                    let reverted = old.is_some_and(|old| old.revision > row.revision);
                    assert!(
                        !reverted,
                        "seed {seed}, step {step}: {} was replaced by an older row",
                        row.key
                    );
                }
                for (key, row) in &store {
                    let missed = row.revision <= listener.revision && held.get(key) != Some(row);
                    assert!(!missed, "seed {seed}, step {step}: {key} is missing or outdated");
                }
            }
        }
    }
}

/// Instances of different builds exchange updates during a deployment, so the format may
/// not change without a new version byte.
#[test]
fn pack_update_keeps_bytes_on_the_wire() {
    let rows = [
        Row { key: "a".into(), value: Some(b"text".to_vec()), revision: 3 },
        Row { key: "b".into(), value: Some(vec![0xff]), revision: 4 },
        Row { key: "c".into(), value: None, revision: 5 },
    ];
    let known = KnownRevision { revision: 900, changed: 5 };
    let update = split_updates("servers", &rows, 2, known, true).remove(0);
    let bytes = b"\x02\x07servers\x84\x07\x05\x00\x01\x01\x02\x03\
        \x01a\x01\x04text\x03\x01b\x01\x01\xff\x04\x01c\x00\x05";
    assert_eq!(pack(&update).unwrap(), bytes);
    assert_eq!(unpack::<TableUpdate>(bytes).unwrap(), update);
}

/// The build before this format sent JSON, or deflated JSON behind a byte of 1.
#[test]
fn unpack_message_of_the_previous_build_is_rejected() {
    let json = concat!(
        r#"{"table":"servers","known":{"revision":9,"changed":5},"age_ms":0,"unsettled":true,"#,
        r#""changes":{"before":2,"rows":[{"key":"a","value":{"Text":"text"},"revision":3},"#,
        r#"{"key":"b","value":{"Base64":"/w=="},"revision":4},"#,
        r#"{"key":"c","value":null,"revision":5}]}}"#,
    );
    assert!(unpack::<TableUpdate>(json.as_bytes()).is_err());
    assert!(unpack::<TableUpdate>(b"\x01\xab\x56\x2a\x49").is_err());
}
