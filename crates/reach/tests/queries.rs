//! Decoding of queries that anybody may have written.

use {
    base::HostId,
    proptest::prelude::*,
    reach::{ForwardQuery, QueryError},
};

fn read(bytes: &[u8]) -> Result<ForwardQuery, QueryError> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(ForwardQuery::read(&mut &bytes[..]))
}

fn encoded(query: &ForwardQuery) -> Vec<u8> {
    let query = postcard::to_stdvec(query).unwrap();
    [&(query.len() as u16).to_be_bytes()[..], &query].concat()
}

fn query() -> ForwardQuery {
    ForwardQuery { server: HostId::new("i-1").unwrap(), purpose: "r1".into() }
}

#[test]
fn a_query_is_read_back() {
    assert_eq!(read(&encoded(&query())).unwrap(), query());
}

#[test]
fn a_query_that_is_cut_anywhere_is_refused() {
    let bytes = encoded(&query());
    for end in 0..bytes.len() {
        assert!(read(&bytes[..end]).is_err(), "cut at {end}");
    }
}

#[test]
fn a_query_above_the_limit_is_not_read() {
    assert!(matches!(read(&[0xff, 0xff, 1]), Err(QueryError::TooLong { bytes: 0xffff })));
}

proptest! {
    #[test]
    fn random_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(&bytes);
    }

    #[test]
    fn a_changed_query_is_read_or_refused(position in 0..20_usize, byte: u8) {
        let mut bytes = encoded(&query());
        let position = position % bytes.len();
        bytes[position] = byte;
        let _ = read(&bytes);
    }
}
