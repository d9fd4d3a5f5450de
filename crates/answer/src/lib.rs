//! Which answers of servers end an exchange.
//!
//! A faulty server may send a head that HTTP libraries accept and that answers no request: a switch of
//! protocols that nobody asked for, or a status outside of the classes that HTTP defines (RFC 9110,
//! section 15). Everything that reads the answer of a server decides by [`is_final`], and treats what is
//! not final like a broken connection: the request may have run.

use http::StatusCode;

/// First status code after the classes that HTTP defines.
const END_OF_CLASSES: u16 = 600;

/// Whether an answer with this status ends the exchange: a success, a redirection, or an error of the
/// client or the server.
pub fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < END_OF_CLASSES
}
