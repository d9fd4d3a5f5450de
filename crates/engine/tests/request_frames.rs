//! Decoding of stream frames from chunks of any size, and of malformed frames.

use {
    bytes::Bytes,
    engine::{StreamError, StreamFrame, request_frames::FrameReader},
    yare::parameterized,
};

const STREAM: &str = concat!(
    ": a comment\n\n",
    "data: {\"gf_attempt\":\"a-1\",\"gf_index\":0,\"choices\":[{\"finish_reason\":null}]}\n\n",
    "event: token\r\nid: 7\r\ndata:{\"gf_index\":1,\"gf_attempt\":\"a-1\"}\r\n\r\n",
    "data: {\"gf_attempt\":\"a-1\",\"gf_index\":2,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n",
    "data: [DONE]\n\n",
);

fn read_in_chunks(text: &str, size: usize) -> Vec<Result<StreamFrame, StreamError>> {
    let mut reader = FrameReader::default();
    let mut frames = Vec::new();
    for chunk in text.as_bytes().chunks(size) {
        reader.push(&Bytes::copy_from_slice(chunk));
        while let Some(frame) = reader.next_frame() {
            frames.push(frame);
        }
    }
    frames
}

#[test]
fn chunks_of_any_size_give_the_same_frames() {
    let whole = read_in_chunks(STREAM, STREAM.len());
    assert_eq!(whole.len(), 4);
    let tokens = whole.iter().filter_map(|frame| match frame {
        Ok(StreamFrame::Token(token)) => Some((token.index, token.last, token.attempt.is_some())),
        _ => None,
    });
    assert_eq!(tokens.collect::<Vec<_>>(), [(0, false, true), (1, false, true), (2, true, true)]);
    assert_eq!(whole[3], Ok(StreamFrame::End));
    for size in 1..STREAM.len() {
        assert_eq!(read_in_chunks(STREAM, size), whole, "chunks of {size} bytes");
    }
}

#[parameterized(
    no_json = { "data: {\n\n" },
    no_index = { "data: {\"gf_attempt\":\"a-1\"}\n\n" },
    negative_index = { "data: {\"gf_attempt\":\"a-1\",\"gf_index\":-1}\n\n" },
)]
fn damaged_frame_is_an_error(text: &str) {
    let frames = read_in_chunks(text, text.len());
    assert!(matches!(frames[0], Err(StreamError::Unreadable { .. })));
}

#[test]
fn oversized_event_is_an_error() {
    let mut reader = FrameReader::default();
    reader.push(&Bytes::from("data: ".to_owned() + &"x".repeat(1024 * 1024)));
    assert!(matches!(reader.next_frame(), Some(Err(StreamError::Unreadable { .. }))));
}

#[test]
fn incomplete_event_gives_no_frame() {
    assert_eq!(read_in_chunks("data: [DONE]\n", 3), Vec::new());
}
