//! Tests of the budget of memory.

use std::time::Duration;

use bytes::Bytes;
use conn::{Held, MemoryBudget};

const LARGE: usize = 1 << 20;

/// Whether a holder gets further bytes without waiting.
async fn grows(held: &mut Held, bytes: usize) -> bool {
    tokio::time::timeout(Duration::from_millis(50), held.grow(bytes)).await.is_ok()
}

#[tokio::test]
async fn grow_one_holder_at_a_time_exceeds_the_budget() {
    let budget = MemoryBudget::new(2 * LARGE);
    let mut all: Vec<Held> = (0..10).map(|_| budget.hold()).collect();
    let mut grown = 0;
    for held in &mut all {
        grown += u32::from(grows(held, LARGE).await);
    }
    assert_eq!(grown, 3);
    assert!(budget.used() <= 3 * LARGE);
}

#[tokio::test]
async fn grow_small_holders_never_wait() {
    let budget = MemoryBudget::new(LARGE);
    let (mut first, mut second, mut third) = (budget.hold(), budget.hold(), budget.hold());
    assert!(grows(&mut first, LARGE).await);
    assert!(grows(&mut second, LARGE).await);
    assert!(!grows(&mut third, LARGE).await);
    let mut small = budget.hold();
    assert!(grows(&mut small, 10_000).await);
    assert!(grows(&mut small, 10_000).await);
}

#[tokio::test]
async fn grow_all_get_their_turn() {
    let budget = MemoryBudget::new(3 * LARGE);
    let tasks: Vec<_> = (0..40)
        .map(|_| {
            let mut held = budget.hold();
            tokio::spawn(async move {
                for _ in 0..30 {
                    held.grow(LARGE / 10).await;
                    tokio::task::yield_now().await;
                }
            })
        })
        .collect();
    for task in tasks {
        tokio::time::timeout(Duration::from_secs(10), task).await.unwrap().unwrap();
    }
    assert_eq!(budget.used(), 0);
}

#[tokio::test]
async fn keep_with_gives_back_with_the_last_reference() {
    let budget = MemoryBudget::new(LARGE);
    let mut held = budget.hold();
    held.grow(1_000).await;
    let data = held.split(400).keep_with(Bytes::from(vec![1; 400]));
    drop(held);
    assert_eq!(budget.used(), 400);
    let copy = data.clone();
    drop(data);
    assert_eq!((copy.len(), budget.used()), (400, 400));
    drop(copy);
    assert_eq!(budget.used(), 0);
}
