//! What the reader of a table tells, and what listeners make of it.

use std::collections::BTreeMap;

use gateway::{Known, Missing, Row, Word, pack, unpack, words_of};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn row(key: &str, revision: u64) -> Row {
    Row { key: key.into(), value: Some(format!("{key} at {revision}").into()), revision }
}

fn word(known: Known) -> Word {
    Word { table: "t".into(), known, age_ms: 0, unsettled: false, changes: None }
}

fn known(revision: u64, changed: u64) -> Known {
    Known { revision, changed }
}

#[test]
fn missing_told_change_is_taken() {
    let rows = [row("a", 7)];
    let words = words_of("t", &rows, 5, known(9, 7), false);
    let mut listener = known(6, 5);
    assert_eq!(listener.missing(&words[0]), Missing::Told(rows.to_vec()));
}

#[test]
fn missing_gap_is_not_told() {
    let words = words_of("t", &[row("a", 9)], 7, known(9, 9), false);
    assert_eq!(known(6, 5).missing(&words[0]), Missing::Untold);
}

#[test]
fn missing_lost_change_is_found_by_the_next_word() {
    assert_eq!(known(6, 5).missing(&word(known(9, 8))), Missing::Untold);
}

#[test]
fn missing_other_tables_change_nothing() {
    let mut listener = known(6, 5);
    assert_eq!(listener.missing(&word(known(90, 5))), Missing::Nothing);
    assert_eq!(listener.revision, 90);
}

#[test]
fn missing_old_word_does_not_go_back() {
    let words = words_of("t", &[row("a", 4)], 3, known(4, 4), false);
    assert_eq!(known(6, 5).missing(&words[0]), Missing::Nothing);
}

#[test]
fn words_of_many_rows_are_split_in_order() {
    let long = "x".repeat(5_000);
    let rows: Vec<Row> = (1..=9).map(|n| row(&format!("{long}{n}"), n)).collect();
    let words = words_of("t", &rows, 0, known(20, 9), false);
    assert!(words.len() > 1);
    let mut listener = known(0, 0);
    for word in &words {
        let Missing::Told(told) = listener.missing(word) else { panic!("{word:?} does not join") };
        listener.advance(&told, word.known.revision);
    }
    assert_eq!(listener, known(20, 9));
}

#[test]
fn words_of_one_transaction_stay_together() {
    let long = "x".repeat(9_000);
    let rows: Vec<Row> = (1..=4).map(|n| row(&format!("{long}{n}"), 3)).collect();
    assert_eq!(words_of("t", &rows, 0, known(3, 3), false).len(), 1);
}

#[test]
fn pack_bytes_that_are_no_text_come_back() {
    let odd = Row { key: "k".into(), value: Some(vec![0, 159, 146, 150]), revision: 1 };
    let words = words_of("t", std::slice::from_ref(&odd), 0, known(1, 1), false);
    let back: Word = unpack(&pack(&words[0]).unwrap()).unwrap();
    assert_eq!(known(0, 0).missing(&back), Missing::Told(vec![odd]));
}

#[test]
fn pack_long_message_is_shorter() {
    let value = "{\"state\": \"ready\", \"zone\": \"z1\"}".repeat(400);
    let long = Row { key: "k".into(), value: Some(value.into()), revision: 1 };
    let words = words_of("t", &[long], 0, known(1, 1), false);
    assert!(pack(&words[0]).unwrap().len() < 1_400);
}

#[test]
fn unpack_strange_bytes_are_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..5_000 {
        let length = rng.random_range(0..300);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(first) = bytes.first_mut().filter(|_| rng.random()) {
            *first = 1;
        }
        assert!(unpack::<Word>(&bytes).is_err());
    }
}

#[test]
fn unpack_bomb_is_bounded() {
    let word = Word { table: "x".repeat(4 << 20), ..word(known(1, 1)) };
    assert!(unpack::<Word>(&pack(&word).unwrap()).is_err());
}

/// The load: datagrams lost, doubled and late, while rows change; listeners
/// read the store when something is missing.
#[test]
fn missing_any_order_of_words_ends_at_the_store() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut store: BTreeMap<String, Row> = BTreeMap::new();
        let (mut revision, mut reader) = (0, known(0, 0));
        let (mut listener, mut held) = (known(0, 0), BTreeMap::<String, Row>::new());
        let mut way: Vec<Word> = Vec::new();
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
            way.extend(words_of("t", &changed, before, reader, false));
            way.push(word(reader));
            while !way.is_empty() && rng.random_range(0..3) > 0 {
                let word = way.swap_remove(rng.random_range(0..way.len()));
                if rng.random_range(0..4) == 0 {
                    continue;
                }
                if rng.random_range(0..6) == 0 {
                    way.push(word.clone());
                }
                let rows = match listener.missing(&word) {
                    Missing::Nothing => continue,
                    Missing::Told(rows) => rows,
                    Missing::Untold => store
                        .values()
                        .filter(|row| row.revision > listener.revision)
                        .cloned()
                        .collect(),
                };
                let upto = if rows.is_empty() { revision } else { word.known.revision };
                let upto = upto.max(rows.iter().map(|row| row.revision).max().unwrap_or(0));
                listener.advance(&rows, upto);
                for row in rows {
                    let old = held.insert(row.key.clone(), row.clone());
                    let back = old.is_some_and(|old| old.revision > row.revision);
                    assert!(!back, "seed {seed}, step {step}: {} went back", row.key);
                }
                for (key, row) in &store {
                    let missed = row.revision <= listener.revision && held.get(key) != Some(row);
                    assert!(!missed, "seed {seed}, step {step}: {key} is missed");
                }
            }
        }
    }
}
