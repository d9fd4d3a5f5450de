//! Compares two ways for nodes of different versions to communicate: a version byte in each
//! message, and lists of procedure versions that are negotiated at the start of each session.
//!
//! Prints a Markdown table of bytes and time. Usage: `cargo run --release -p peer --example versions`.

use {
    base::{FabricDomainId, HeadNumber, HostId, Incarnation, MemberId, RecordSequence, Term},
    peer::{DomainDigest, Head, PeerQuery, codec::MessageCodec},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        hint::black_box,
        time::{Duration, Instant},
    },
};

const NODES: usize = 330;
const DOMAINS: usize = 40;
const RESTARTS_PER_DAY: usize = 62;
const QUERIES_PER_SECOND: usize = 2;
const SECONDS_PER_DAY: usize = 86_400;
const ROUNDS: u32 = 200_000;
const VERSIONS: [u16; 2] = [1, 2];
const PROCEDURES: [&str; 7] =
    ["question", "fetch_state", "announce", "fetch_records", "poll", "ask_shares", "fetch_tickets"];

/// The versions of one procedure that a node supports.
#[derive(Clone, Serialize, Deserialize)]
struct VersionOffer {
    procedure: SmolStr,
    versions: Vec<u16>,
}

/// The version of one procedure that both nodes use.
#[derive(Clone, Serialize, Deserialize)]
struct VersionChoice {
    procedure: SmolStr,
    version: u16,
}

fn main() {
    let query = sample_query();
    let codec = MessageCodec::default();
    let with_byte = codec.encode(1, &query).expect("a query can be encoded");
    let offers = offers();
    let offer_bytes = postcard::to_stdvec(&offers).expect("a version list can be encoded");
    let choices = choose(&offers, &offers);
    let choice_bytes = postcard::to_stdvec(&choices).expect("a version list can be encoded");

    let byte_time = time(|| {
        let version = codec.common(black_box(2));
        let decoded = codec.decode::<PeerQuery>(black_box(&with_byte));
        black_box((version, decoded.is_ok()));
    });
    let negotiated: HashMap<SmolStr, u16> =
        choices.iter().map(|choice| (choice.procedure.clone(), choice.version)).collect();
    let body = &with_byte[1..];
    let lookup_time = time(|| {
        let version = negotiated.get(black_box("question"));
        let decoded = postcard::from_bytes::<PeerQuery>(black_box(body));
        black_box((version, decoded.is_ok()));
    });
    let negotiate_time = time(|| {
        let theirs: Vec<VersionOffer> =
            postcard::from_bytes(black_box(&offer_bytes)).expect("a version list can be decoded");
        let chosen = choose(&offers, &theirs);
        black_box(postcard::to_stdvec(&chosen).expect("a version list can be encoded"));
    });

    let session_bytes = 1 + 1 + offer_bytes.len() + choice_bytes.len();
    let byte_day = QUERIES_PER_SECOND * 2 * SECONDS_PER_DAY;
    let negotiated_day = session_bytes * 2 * RESTARTS_PER_DAY;
    println!("| | version byte | negotiated lists |");
    println!("| --- | --- | --- |");
    println!("| bytes added to a message | 1 | 0 |");
    println!("| bytes to open a session | 0 | {session_bytes} |");
    println!("| bytes per node and day at {NODES} nodes | {byte_day} | {negotiated_day} |");
    println!(
        "| bytes per node and second | {:.2} | {:.2} |",
        per_second(byte_day),
        per_second(negotiated_day)
    );
    println!("| round trips before the first message to a new member | 0 | 2 |");
    println!("| versions a node keeps | {NODES} bytes | {} entries |", NODES * PROCEDURES.len());
    println!("| time to select a version and decode a query | {byte_time:?} | {lookup_time:?} |");
    println!("| time to negotiate a session, one side | 0 | {negotiate_time:?} |");
}

fn per_second(bytes_per_day: usize) -> f64 {
    bytes_per_day as f64 / SECONDS_PER_DAY as f64
}

fn time(mut step: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        step();
    }
    start.elapsed() / ROUNDS
}

fn offers() -> Vec<VersionOffer> {
    let offer =
        |name: &&str| VersionOffer { procedure: (*name).into(), versions: VERSIONS.to_vec() };
    PROCEDURES.iter().map(offer).collect()
}

fn choose(ours: &[VersionOffer], theirs: &[VersionOffer]) -> Vec<VersionChoice> {
    ours.iter().filter_map(|offer| greatest_common(offer, theirs)).collect()
}

fn greatest_common(offer: &VersionOffer, theirs: &[VersionOffer]) -> Option<VersionChoice> {
    let other = theirs.iter().find(|other| other.procedure == offer.procedure)?;
    let common = offer.versions.iter().filter(|number| other.versions.contains(number));
    let version = *common.max()?;
    Some(VersionChoice { procedure: offer.procedure.clone(), version })
}

fn sample_query() -> PeerQuery {
    let host = HostId::new("entry-117").expect("a valid literal");
    PeerQuery {
        from: MemberId { host, incarnation: Incarnation(12) },
        nonce: 0x1234_5678_9abc,
        head: Head { number: HeadNumber(48_211), ..Head::default() },
        digests: (0..DOMAINS).map(digest).collect(),
    }
}

fn digest(number: usize) -> DomainDigest {
    DomainDigest {
        domain: FabricDomainId::new(format!("fabric-{number}")).expect("a valid literal"),
        term: Term(17),
        sequence: RecordSequence(900),
    }
}
