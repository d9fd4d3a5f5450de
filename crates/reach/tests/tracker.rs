//! What outcomes of connections say about the links of a process.

use {
    base::{HostId, ServiceName, Tick},
    reach::{PathChoice, PathTracker, TrackerSettings},
    std::time::Duration,
};

const START: Tick = Tick(1_000_000_000);

fn after(millis: u64) -> Tick {
    START + Duration::from_millis(millis)
}

fn server(name: &str) -> HostId {
    HostId::new(name).unwrap()
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn tracker() -> PathTracker {
    PathTracker::new(TrackerSettings::default())
}

#[test]
fn servers_are_dialed_directly_while_nothing_is_known() {
    let mut tracker = tracker();
    assert_eq!(tracker.choose(&server("a"), None, START), PathChoice::Direct);
    // One failure may be that of the server.
    tracker.note_failed(&server("a"), None);
    assert_eq!(tracker.choose(&server("b"), None, START), PathChoice::Direct);
}

#[test]
fn the_links_are_in_doubt_after_two_servers_failed_until_one_is_reached() {
    let mut tracker = tracker();
    tracker.note_failed(&server("a"), None);
    tracker.note_failed(&server("a"), None);
    assert_eq!(tracker.choose(&server("c"), None, START), PathChoice::Direct);
    tracker.note_failed(&server("b"), None);
    assert_eq!(tracker.choose(&server("c"), None, START), PathChoice::Both);
    tracker.note_direct(&server("c"), None, START);
    assert_eq!(tracker.choose(&server("a"), None, START), PathChoice::Direct);
}

#[test]
fn links_to_one_service_say_nothing_of_another() {
    let (pool, plain) = (service("pool"), service("plain"));
    let mut tracker = tracker();
    tracker.note_failed(&server("a"), Some(&pool));
    tracker.note_failed(&server("b"), Some(&pool));
    tracker.note_direct(&server("p"), Some(&plain), START);
    assert_eq!(tracker.choose(&server("c"), Some(&pool), START), PathChoice::Both);
    assert_eq!(tracker.choose(&server("q"), Some(&plain), START), PathChoice::Direct);
    assert!(!tracker.is_sound_since(Some(&pool), START));
    assert!(tracker.is_sound_since(Some(&plain), START));
    assert!(!tracker.works_since(Some(&pool), START));
}

#[test]
fn a_detoured_server_is_dialed_again_at_growing_intervals() {
    let mut tracker = tracker();
    assert!(tracker.note_detour(&server("a"), None, START));
    assert!(!tracker.note_detour(&server("a"), None, START));
    let mut rechecks = Vec::new();
    for millis in 0..4_000 {
        if tracker.choose(&server("a"), None, after(millis)) == PathChoice::Both {
            rechecks.push(millis);
        }
    }
    assert_eq!(rechecks, [250, 500, 1_000, 2_000, 3_000]);
}

#[test]
fn a_direct_connection_ends_the_detour_of_its_server_alone() {
    let mut tracker = tracker();
    tracker.note_detour(&server("a"), None, START);
    tracker.note_detour(&server("b"), None, START);
    assert!(tracker.note_direct(&server("a"), None, START));
    assert_eq!(tracker.choose(&server("a"), None, START), PathChoice::Direct);
    assert_eq!(tracker.choose(&server("b"), None, START), PathChoice::Peer);
    assert_eq!(tracker.detoured(), 1);
}

#[test]
fn a_detour_that_is_not_used_is_forgotten() {
    let mut tracker = tracker();
    tracker.note_detour(&server("gone"), None, START);
    tracker.choose(&server("a"), None, after(9_999));
    assert_eq!(tracker.detoured(), 1);
    tracker.choose(&server("a"), None, after(10_000));
    assert_eq!(tracker.detoured(), 0);
}

/// Peers that were cut off themselves confirmed that sound servers refuse connections.
#[test]
fn a_process_that_does_not_reach_servers_of_a_service_vouches_for_nothing() {
    let pool = service("pool");
    let mut tracker = tracker();
    assert!(!tracker.is_sound_since(Some(&pool), START));
    tracker.note_direct(&server("a"), Some(&pool), after(10));
    tracker.note_failed(&server("b"), Some(&pool));
    assert!(tracker.is_sound_since(Some(&pool), after(10)));
    assert!(!tracker.is_sound_since(Some(&pool), after(11)));
    tracker.note_failed(&server("c"), Some(&pool));
    assert!(!tracker.is_sound_since(Some(&pool), after(10)));
    tracker.note_direct(&server("a"), Some(&pool), after(20));
    tracker.note_detour(&server("d"), Some(&pool), after(20));
    assert!(!tracker.is_sound_since(Some(&pool), after(20)));
}

#[test]
fn peers_are_not_asked_again_at_once_for_a_server_that_is_down() {
    let mut tracker = tracker();
    tracker.note_detour(&server("a"), None, START);
    assert!(tracker.note_down(&server("a"), START));
    assert_eq!(tracker.choose(&server("a"), None, after(1_999)), PathChoice::DirectOnly);
    assert_eq!(tracker.choose(&server("a"), None, after(2_000)), PathChoice::Direct);
    tracker.note_down(&server("a"), after(2_000));
    tracker.note_direct(&server("a"), None, after(2_100));
    assert_eq!(tracker.choose(&server("a"), None, after(2_100)), PathChoice::Direct);
}

/// An owner that was cut off took engines for down that its first peers did not reach either.
#[test]
fn links_do_not_work_while_servers_of_the_service_are_detoured() {
    let (pool, plain) = (service("pool"), service("plain"));
    let mut tracker = tracker();
    tracker.note_answer(Some(&pool), START);
    assert!(tracker.works_since(Some(&pool), START));
    assert!(!tracker.connects_since(Some(&pool), START));
    tracker.note_detour(&server("p"), Some(&plain), START);
    assert!(tracker.works_since(Some(&pool), START));
    tracker.note_detour(&server("a"), Some(&pool), START);
    tracker.note_direct(&server("b"), Some(&pool), after(10));
    assert!(!tracker.works_since(Some(&pool), START));
    assert!(!tracker.connects_since(Some(&pool), START));
    // A detour that nobody uses any more says nothing of the links now.
    tracker.note_direct(&server("b"), Some(&pool), after(1_100));
    assert!(tracker.works_since(Some(&pool), after(1_050)));
}
