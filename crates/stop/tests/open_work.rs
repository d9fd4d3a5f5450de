//! Tests which requests count as open.

use {
    base::Tick,
    std::sync::Arc,
    stop::{OpenRequest, OpenWork, WorkStage},
};

#[test]
fn a_request_is_open_until_its_guard_is_dropped() {
    let work = Arc::new(OpenWork::default());
    let first = work.begin("a".into(), Tick(1));
    let second = work.begin("b".into(), Tick(2));
    second.set_kind("stream");
    second.start_streaming();
    let streaming =
        OpenRequest { id: "b".into(), kind: "stream", began: Tick(2), stage: WorkStage::Streaming };
    assert_eq!(work.len(), 2);
    assert_eq!(second.request(), Some(streaming.clone()));
    drop(first);
    assert_eq!(work.snapshot(), [streaming]);
    drop(second);
    assert!(work.is_empty());
}

/// Ids are chosen by callers, so that two open requests may have the same one.
#[test]
fn requests_with_one_id_are_counted_apart() {
    let work = Arc::new(OpenWork::default());
    let first = work.begin("a".into(), Tick(1));
    let _second = work.begin("a".into(), Tick(2));
    drop(first);
    assert_eq!(work.snapshot()[0].began, Tick(2));
}
