//! Statuses of servers' answers, and whether they end an exchange.

use {answer::is_final, http::StatusCode, yare::parameterized};

#[parameterized(
    continues = { 100, false },
    switches = { 101, false },
    early_hints = { 103, false },
    last_interim = { 199, false },
    ok = { 200, true },
    no_content = { 204, true },
    unknown_success = { 299, true },
    found = { 302, true },
    not_found = { 404, true },
    misdirected = { 421, true },
    error = { 500, true },
    unknown_error = { 599, true },
    after_the_classes = { 600, false },
    highest = { 999, false },
)]
fn only_the_classes_from_two_to_five_are_final(status: u16, expected: bool) {
    assert_eq!(is_final(StatusCode::from_u16(status).unwrap()), expected);
}
