//! Tests of the time since a table was last confirmed.

use std::time::Duration;

use gateway::Freshness;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn ages_count_from_the_newest_confirmation() {
    let mut freshness = Freshness::default();
    freshness.confirm("op", ms(1_000), 7, ms(1_000));
    freshness.confirm("servers", ms(1_500), 9, ms(1_500));
    // Reported late by another instance.
    freshness.confirm("op", ms(800), 6, ms(1_600));
    let ages: Vec<_> = freshness.ages(ms(5_000)).collect();
    assert_eq!(ages, [("op", ms(4_000)), ("servers", ms(3_500))]);
}

#[test]
fn ages_survive_a_check_of_stale_tables() {
    let mut freshness = Freshness::default();
    freshness.confirm("op", ms(1_000), 7, ms(1_000));
    freshness.check(ms(9_000));
    assert_eq!(freshness.ages(ms(9_000)).collect::<Vec<_>>(), [("op", ms(8_000))]);
    freshness.confirm("op", ms(9_100), 8, ms(9_100));
    assert_eq!(freshness.ages(ms(9_200)).collect::<Vec<_>>(), [("op", ms(100))]);
}
