//! Estimates of requests, answers and servers.

use {
    base::{RatePerSecond, Tick, TokenCount},
    cost::{
        AnswerEnd, AnswerKind, AnswerSizes, EngineSpeed, FailureShare, FirstEventErrors, PaceMean,
        PaceReport, PromptSize, RequestCost, ServerWork, UsualSize, pick_candidate,
    },
    std::{collections::BTreeMap, time::Duration},
};

const NOW: Tick = Tick(1_000_000_000_000);
const HOUR: Duration = Duration::from_secs(3_600);
const USUAL: TokenCount = TokenCount(100);

fn speed() -> EngineSpeed {
    EngineSpeed {
        step: Duration::from_millis(6),
        step_per_stream: Duration::from_micros(200),
        step_per_context: Duration::ZERO,
        read_rate: RatePerSecond(50_000.0),
        read_pairs: Duration::ZERO,
        stride: 5,
        slots: 10,
        usual: UsualSize { prompt: TokenCount(1_000), answer: USUAL },
        paces: BTreeMap::new(),
    }
}

fn idle() -> ServerWork {
    ServerWork { pace: 1.0, ..ServerWork::default() }
}

fn wait_ms(work: ServerWork, prompt: u64) -> f64 {
    work.first_event(&speed(), 1.0, TokenCount(prompt)).as_secs_f64() * 1_000.0
}

fn kind() -> AnswerKind {
    let size = PromptSize { prompt: USUAL, max_output: TokenCount(1_000), hint: None };
    AnswerKind { route: "r".into(), model: None, class: size.class() }
}

const SIZE: PromptSize =
    PromptSize { prompt: USUAL, max_output: TokenCount(1_000), hint: Some(TokenCount(40)) };

/// A prompt of 40 tokens counted as much as one of 4,000.
#[test]
fn long_prompts_cost_more_than_short_ones() {
    let cost = |prompt| RequestCost::new(&speed(), TokenCount(prompt), TokenCount(50));
    assert!(cost(4_000).read > cost(40).read * 90);
    assert!(cost(4_000).total() > cost(40).total());
    assert_eq!(cost(4_000).memory, TokenCount(4_050));
    assert!(wait_ms(idle(), 4_000) > wait_ms(idle(), 40) + 75.0);
    let reading = ServerWork { requests: 1.0, own: 1.0, unread: 4_000.0, ..idle() };
    assert!(wait_ms(reading, 40) > wait_ms(idle(), 40) + 75.0);
}

/// Without a free slot a request waits for the end of one that runs, longer where much is left.
#[test]
fn full_servers_make_requests_wait_for_what_is_left() {
    let with_requests = |requests, unwritten| {
        wait_ms(ServerWork { requests, own: requests, unwritten, ..idle() }, 100)
    };
    let free = with_requests(9.0, 900.0);
    assert!(with_requests(10.0, 1_000.0) > free + 50.0);
    assert!(with_requests(10.0, 100.0) < with_requests(10.0, 1_000.0));
    assert!(with_requests(20.0, 2_000.0) > with_requests(10.0, 1_000.0) * 2.0);
}

/// A server that fails fast looked fast, as its failures were not measured.
#[test]
fn failing_servers_do_not_look_fast() {
    let failures = FailureShare::default();
    assert_eq!(failures.value(NOW), 0.0);
    (0..5).for_each(|_| failures.note(true, NOW));
    let failing = failures.value(NOW);
    let grey = wait_ms(ServerWork { failing, ..idle() }, 100);
    assert!(grey > wait_ms(ServerWork { requests: 8.0, ..idle() }, 3_000), "{grey}");
    assert!(failures.value(NOW + Duration::from_secs(5)) < failing * 0.51);
    (0..10).for_each(|_| failures.note(false, NOW));
    assert!(failures.value(NOW) < failing / 4.0);
}

#[test]
fn pace_is_forgotten_after_the_last_event() {
    let pace = PaceMean::default();
    assert_eq!(pace.value(1.3, NOW), 1.3);
    (0..30).for_each(|_| pace.note(5.0, NOW));
    assert!((pace.value(1.0, NOW) - 5.0).abs() < 0.1);
    assert!(pace.value(1.0, NOW + Duration::from_secs(4)) < 3.1);
    assert_eq!(pace.value(1.0, NOW + Duration::from_secs(9)), 1.0);
    assert_eq!(pace.recent(NOW + Duration::from_secs(9)), None);
    pace.note(f64::INFINITY, NOW);
    assert!(pace.value(1.0, NOW) <= 20.0);
}

#[test]
fn reported_pace_holds_while_it_is_repeated() {
    let report = PaceReport::default();
    assert_eq!(report.value(NOW), 0.0);
    report.note(5.0, NOW);
    assert_eq!(report.value(NOW + Duration::from_secs(1)), 5.0);
    assert_eq!(report.value(NOW + Duration::from_secs(2)), 0.0);
}

/// A configuration and reports are other programs' words: odd figures must not end the process.
#[test]
fn odd_figures_give_long_times() {
    let odd = EngineSpeed {
        step: Duration::MAX,
        step_per_stream: Duration::MAX,
        step_per_context: Duration::MAX,
        read_rate: RatePerSecond(f64::MIN_POSITIVE),
        read_pairs: Duration::MAX,
        stride: u32::MAX,
        slots: 0,
        usual: UsualSize { prompt: TokenCount(u64::MAX), answer: TokenCount(u64::MAX) },
        paces: BTreeMap::new(),
    };
    let most = f64::from(u32::MAX);
    let busy = ServerWork { requests: most, own: most, unread: 1e18, unwritten: 1e18, ..idle() };
    let failing = ServerWork { pace: most, failing: 0.95, ..busy };
    for (speed, work, pace) in
        [(odd.clone(), busy, -1.0), (odd, failing, 1e9), (speed(), busy, 1.0)]
    {
        let wait = work.first_event(&speed, pace, TokenCount(u64::MAX));
        assert!(wait <= 2 * HOUR, "{wait:?}");
        let cost = RequestCost::new(&speed, TokenCount(u64::MAX), TokenCount(u64::MAX));
        assert!(cost.total() >= HOUR, "{cost:?}");
        assert_eq!(FirstEventErrors::default().estimate(wait).wait, wait.min(HOUR));
    }
}

/// Callers that leave cut answers off, which then looked short.
#[test]
fn answers_that_are_cut_off_do_not_count_as_short() {
    let mut sizes = AnswerSizes::default();
    for _ in 0..100 {
        sizes.note(&kind(), &SIZE, USUAL, TokenCount(200), AnswerEnd::Whole);
        sizes.note(&kind(), &SIZE, USUAL, TokenCount(50), AnswerEnd::Cut);
    }
    let tokens = sizes.estimate(&kind(), &SIZE, USUAL).tokens.0;
    assert!((200..=260).contains(&tokens), "{tokens}");
}

/// Kinds of requests change their size during a day.
#[test]
fn answers_are_expected_by_the_hint_first_and_by_what_was_seen_later() {
    let mut sizes = AnswerSizes::default();
    assert_eq!(sizes.estimate(&kind(), &SIZE, USUAL).tokens, TokenCount(40));
    let without_hint = PromptSize { hint: None, ..SIZE };
    assert_eq!(sizes.estimate(&kind(), &without_hint, USUAL).tokens, USUAL);
    let mut note = |tokens, count| {
        for _ in 0..count {
            sizes.note(&kind(), &SIZE, USUAL, TokenCount(tokens), AnswerEnd::Whole);
        }
        sizes.estimate(&kind(), &SIZE, USUAL)
    };
    let changed = note(400, 20);
    assert!(changed.error > 1.5, "{changed:?}");
    let learned = note(400, 300);
    assert!((360..=400).contains(&learned.tokens.0) && learned.error < 1.2, "{learned:?}");
    assert!(note(20, 300).tokens.0 < 40);
    let small = PromptSize { max_output: TokenCount(8), ..SIZE };
    assert_eq!(sizes.estimate(&kind(), &small, USUAL).tokens, TokenCount(8));
}

#[test]
fn expected_time_is_corrected_by_what_was_seen() {
    let mut errors = FirstEventErrors::default();
    let expected = Duration::from_millis(60);
    assert_eq!(errors.estimate(expected).wait, expected);
    (0..200).for_each(|_| errors.note(expected, Duration::from_millis(180)));
    let estimate = errors.estimate(expected);
    assert!(estimate.wait.abs_diff(Duration::from_millis(180)) < Duration::from_millis(2));
    assert!(estimate.spread < Duration::from_millis(5));
    errors.note_none(expected, Duration::from_millis(100));
    assert_eq!(errors.estimate(expected), estimate);
    errors.note_none(expected, Duration::from_millis(900));
    assert!(errors.estimate(expected).wait > estimate.wait);
}

/// With a sharp choice all processes pick the same server; a slow one gets what its speed allows.
#[test]
fn earlier_server_is_taken_more_often_and_never_alone() {
    let candidate = |ms, pace| (Duration::from_millis(ms), pace);
    let pick = |candidates: &[(Duration, f64)], sample| {
        let paces: Vec<f64> = candidates.iter().map(|(_, pace)| *pace).collect();
        pick_candidate(&paces, |index| candidates[index].0, sample)
    };
    let share = |candidates: &[(Duration, f64)], index| {
        let picked = (0..10_000_u64)
            .map(|sample| pick(candidates, sample.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unwrap());
        picked.filter(|picked| *picked == index).count() as f64 / 10_000.0
    };
    let equal = [candidate(100, 1.0); 4];
    (0..4).for_each(|index| assert!((share(&equal, index) - 0.25).abs() < 0.02));
    let close = [candidate(100, 1.0), candidate(110, 1.0)];
    assert!((0.65..0.80).contains(&share(&close, 0)));
    let slow = [candidate(100, 1.0), candidate(500, 5.0), candidate(500, 5.0)];
    assert!(share(&slow, 0) > 0.8);
    assert_eq!(pick(&[], 1), None);
    assert_eq!(pick(&slow[..1], 1), Some(0));
}
