//! Placing: which server gets a request.

mod common;

use std::time::Duration;

use common::{at, info, parts};
use dispatch::{Ask, Fleet, NoPlace, Outcome, Part, PartKey, Report, place};

#[derive(Default)]
struct Wanted<'a> {
    parts: &'a [Part],
    tried: Vec<config::Name>,
    barred: Vec<config::Name>,
    version: Option<config::Name>,
}

fn chosen(fleet: &Fleet, wanted: &Wanted, draw: f64, now: Duration) -> Result<String, NoPlace> {
    let (service, domain) = ("desk".into(), "z1".into());
    let ask = Ask {
        service: &service,
        version: wanted.version.as_ref(),
        barred: &wanted.barred,
        domain: &domain,
        model: "small",
        effort: 1.0,
        parts: wanted.parts,
        tried: &wanted.tried,
    };
    place(fleet, &ask, draw, now).map(|placement| placement.server.to_string())
}

fn fleet(count: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.update(info(&format!("s{number}"), "z1", "v1"));
    }
    fleet
}

#[test]
fn place_without_servers() {
    let placed = chosen(&Fleet::default(), &Wanted::default(), 0.5, at(0));
    assert_eq!(placed, Err(NoPlace::NoServer));
}

#[test]
fn place_all_tried() {
    let wanted = Wanted { tried: vec!["s0".into()], ..Wanted::default() };
    assert_eq!(chosen(&fleet(1), &wanted, 0.5, at(0)), Err(NoPlace::AllTried));
}

#[test]
fn place_leaving_server_gets_nothing() {
    let mut fleet = fleet(2);
    fleet.leaving("s0");
    for draw in 0..20 {
        let placed = chosen(&fleet, &Wanted::default(), f64::from(draw) / 20.0, at(0));
        assert_eq!(placed.as_deref(), Ok("s1"));
    }
}

#[test]
fn place_barred_version_gets_nothing() {
    let mut fleet = fleet(1);
    fleet.update(info("new", "z1", "v2"));
    let wanted = Wanted { barred: vec!["v2".into()], ..Wanted::default() };
    for draw in 0..20 {
        let placed = chosen(&fleet, &wanted, f64::from(draw) / 20.0, at(0));
        assert_eq!(placed.as_deref(), Ok("s0"));
    }
}

#[test]
fn place_only_version_without_server() {
    let wanted = Wanted { version: Some("v2".into()), ..Wanted::default() };
    assert_eq!(chosen(&fleet(3), &wanted, 0.5, at(0)), Err(NoPlace::NoServer));
}

#[test]
fn place_least_loaded_by_own_sends() {
    let mut fleet = fleet(4);
    for server in ["s0", "s1", "s3"] {
        for _ in 0..20 {
            fleet.sent(server, 0.0);
        }
    }
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.3, at(0)).as_deref(), Ok("s2"));
}

#[test]
fn place_counts_own_sends_since_a_stale_report() {
    let mut fleet = fleet(2);
    let idle = Report { running: 0, waiting: 0, slowdown: 1.0 };
    fleet.reported("s0", idle, at(0));
    fleet.reported("s1", Report { running: 6, ..idle }, at(0));
    for _ in 0..40 {
        fleet.sent("s0", 0.0);
    }
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.3, at(10)).as_deref(), Ok("s1"));
}

#[test]
fn place_forgets_old_reports() {
    let mut fleet = fleet(2);
    fleet.reported("s0", Report { running: 60, waiting: 60, slowdown: 1.0 }, at(0));
    fleet.sent("s1", 0.0);
    fleet.sent("s1", 0.0);
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.3, at(100)).as_deref(), Ok("s1"));
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.3, at(30_000)).as_deref(), Ok("s0"));
}

#[test]
fn place_avoids_failing_server() {
    let mut fleet = fleet(2);
    for _ in 0..4 {
        fleet.sent("s0", 0.0);
        fleet.ended("s0", Outcome::Failed, at(0));
    }
    for draw in 0..20 {
        let placed = chosen(&fleet, &Wanted::default(), f64::from(draw) / 20.0, at(100));
        assert_eq!(placed.as_deref(), Ok("s1"));
    }
}

#[test]
fn place_tries_failing_server_again_later() {
    let mut fleet = fleet(2);
    fleet.sent("s0", 0.0);
    fleet.ended("s0", Outcome::Failed, at(0));
    for _ in 0..8 {
        fleet.sent("s1", 0.0);
    }
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.5, at(30_000)).as_deref(), Ok("s0"));
}

#[test]
fn place_unreachable_server_is_the_last_resort() {
    let mut fleet = fleet(2);
    fleet.sent("s0", 0.0);
    fleet.ended("s0", Outcome::Unreachable, at(0));
    for _ in 0..100 {
        fleet.sent("s1", 0.0);
    }
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.5, at(10)).as_deref(), Ok("s1"));
    fleet.remove("s1");
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.5, at(10)).as_deref(), Ok("s0"));
}

#[test]
fn place_prefers_own_domain() {
    let mut fleet = Fleet::default();
    fleet.update(info("far", "z2", "v1"));
    fleet.update(info("near", "z1", "v1"));
    for draw in 0..20 {
        let placed = chosen(&fleet, &Wanted::default(), f64::from(draw) / 20.0, at(0));
        assert_eq!(placed.as_deref(), Ok("near"));
    }
}

#[test]
fn place_crosses_when_own_domain_is_pressed() {
    let mut fleet = Fleet::default();
    fleet.update(info("far", "z2", "v1"));
    fleet.update(info("near", "z1", "v1"));
    for _ in 0..30 {
        fleet.sent("near", 0.0);
    }
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.5, at(0)).as_deref(), Ok("far"));
}

#[test]
fn place_same_prompt_has_same_home_everywhere() {
    let (shared, other) = (parts(&[(7, 5_000), (1, 100)]), parts(&[(7, 5_000), (2, 100)]));
    let (here, there) = (fleet(8), fleet(8));
    let first = chosen(&here, &Wanted { parts: &shared, ..Wanted::default() }, 0.1, at(0));
    let second = chosen(&there, &Wanted { parts: &other, ..Wanted::default() }, 0.9, at(0));
    assert_eq!(first, second);
}

#[test]
fn place_hot_prompt_leaves_a_pressed_home() {
    let prompt = parts(&[(7, 2_000), (1, 100)]);
    let mut fleet = fleet(8);
    let wanted = Wanted { parts: &prompt, ..Wanted::default() };
    let home = chosen(&fleet, &wanted, 0.1, at(0)).unwrap();
    for _ in 0..40 {
        fleet.sent(&home, 0.0);
    }
    assert_ne!(chosen(&fleet, &wanted, 0.1, at(0)), Ok(home));
}

#[test]
fn place_hot_prompt_stays_even() {
    let mut fleet = fleet(8);
    let mut counts = std::collections::HashMap::new();
    for number in 0..400 {
        let prompt = parts(&[(7, 2_000), (100 + number, 100)]);
        let wanted = Wanted { parts: &prompt, ..Wanted::default() };
        let server = chosen(&fleet, &wanted, number as f64 / 400.0, at(number)).unwrap();
        fleet.sent(&server, 0.0);
        fleet.holds(&server, PartKey::new("small", 7), at(number));
        *counts.entry(server).or_insert(0u32) += 1;
    }
    let most = counts.values().max().copied().unwrap();
    assert!(f64::from(most) <= 1.6 * 400.0 / 8.0, "{counts:?}");
}

#[test]
fn place_counts_what_peers_have() {
    let mut fleet = fleet(2);
    let work = dispatch::Work { open: 30, reading: 0.0 };
    fleet.told(&"peer".into(), vec![("s0".into(), work)], at(0));
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.3, at(10)).as_deref(), Ok("s1"));
}

#[test]
fn place_long_prompts_ahead_delay_short_ones() {
    let mut fleet = fleet(2);
    let short = parts(&[(1, 100)]);
    fleet.sent("s0", 50_000.0);
    for _ in 0..5 {
        fleet.sent("s1", 0.0);
    }
    let wanted = Wanted { parts: &short, ..Wanted::default() };
    assert_eq!(chosen(&fleet, &wanted, 0.5, at(0)).as_deref(), Ok("s1"));
    fleet.read("s0", 50_000.0);
    assert_eq!(chosen(&fleet, &wanted, 0.5, at(0)).as_deref(), Ok("s0"));
}

#[test]
fn told_is_forgotten_when_a_peer_falls_silent() {
    let mut fleet = fleet(2);
    let work = dispatch::Work { open: 30, reading: 0.0 };
    fleet.told(&"gone".into(), vec![("s0".into(), work)], at(0));
    fleet.told(&"peer".into(), Vec::new(), at(5_000));
    assert_eq!(fleet.get("s0").unwrap().load(at(5_000)), 0.0);
}

#[test]
fn update_new_incarnation_starts_blank() {
    let mut fleet = fleet(1);
    fleet.sent("s0", 0.0);
    fleet.update(dispatch::ServerInfo { born: 2, ..info("s0", "z1", "v1") });
    assert_eq!(fleet.get("s0").unwrap().open, 0);
}

#[test]
fn update_same_incarnation_keeps_its_record() {
    let mut fleet = fleet(1);
    fleet.sent("s0", 0.0);
    fleet.update(dispatch::ServerInfo { leaving: true, ..info("s0", "z1", "v1") });
    assert_eq!(fleet.get("s0").unwrap().open, 1);
}

#[test]
fn remove_keeps_the_others_in_their_services() {
    let mut fleet = Fleet::default();
    for id in ["a", "b", "c", "d"] {
        fleet.update(info(id, "z1", "v1"));
    }
    fleet.update(dispatch::ServerInfo { service: "llm".into(), ..info("e", "z1", "v1") });
    let ids = |fleet: &Fleet, service: &str| {
        let mut ids: Vec<String> = fleet.of(service).map(|s| s.info.id.to_string()).collect();
        ids.sort();
        ids.concat()
    };
    assert!(fleet.remove("b"));
    assert!(!fleet.remove("b"));
    assert_eq!((ids(&fleet, "desk"), ids(&fleet, "llm")), ("acd".into(), "e".into()));
    assert!(fleet.remove("a") && fleet.remove("d"));
    assert_eq!((ids(&fleet, "desk"), ids(&fleet, "llm")), ("c".into(), "e".into()));
    assert_eq!(fleet.get("e").map(|server| &*server.info.id), Some("e"));
}

#[test]
fn update_of_another_service_moves_the_server() {
    let mut fleet = Fleet::default();
    fleet.update(info("a", "z1", "v1"));
    fleet.update(dispatch::ServerInfo { service: "llm".into(), ..info("a", "z1", "v1") });
    assert_eq!((fleet.of("desk").count(), fleet.of("llm").count()), (0, 1));
}

#[test]
fn update_new_incarnation_holds_no_prompt() {
    let (mut fleet, part) = (Fleet::default(), PartKey::new("small", 7));
    fleet.update(info("a", "z1", "v1"));
    fleet.holds("a", part, at(0));
    fleet.update(dispatch::ServerInfo { born: 2, ..info("a", "z1", "v1") });
    assert!(!fleet.get("a").unwrap().holds(part, at(1)));
}

/// The load: thousands of servers, of which each decision looks at a part.
#[test]
fn place_many_servers_avoids_loaded_ones() {
    let mut fleet = Fleet::default();
    for number in 0..2_000 {
        let id = format!("s{number}");
        fleet.update(info(&id, "z1", "v1"));
        if number % 10 != 0 {
            (0..12).for_each(|_| fleet.sent(&id, 0.0));
        }
    }
    let mut chosen_of = std::collections::HashSet::new();
    for number in 0..400 {
        let wanted = Wanted::default();
        let id = chosen(&fleet, &wanted, f64::from(number) / 400.0, at(0)).unwrap();
        assert_eq!(fleet.get(&id).unwrap().open, 0, "{id} is loaded");
        chosen_of.insert(id);
    }
    assert!(chosen_of.len() > 100, "only {} servers got work", chosen_of.len());
}

/// The load: entries lapse in an outage of the store; most are listed again
/// within a second, those of servers that left are not.
#[test]
fn place_lapsed_server_is_left_once_others_are_back() {
    let mut fleet = fleet(2);
    fleet.lapsed("s0", at(0));
    fleet.lapsed("s1", at(0));
    let both = |fleet: &Fleet, now| {
        let choose = |n: u32| chosen(fleet, &Wanted::default(), f64::from(n) / 50.0, now).unwrap();
        (0..50).map(choose).collect::<std::collections::HashSet<_>>().len()
    };
    assert_eq!(both(&fleet, at(900)), 2);
    fleet.update(info("s1", "z1", "v1"));
    (0..6).for_each(|_| fleet.sent("s1", 0.0));
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.1, at(1_100)).as_deref(), Ok("s1"));
    fleet.update(info("s0", "z1", "v1"));
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.1, at(1_200)).as_deref(), Ok("s0"));
}

#[test]
fn place_all_lapsed_servers_still_get_work() {
    let mut fleet = fleet(1);
    fleet.lapsed("s0", at(0));
    assert_eq!(chosen(&fleet, &Wanted::default(), 0.1, at(2_000)).as_deref(), Ok("s0"));
}
