//! Tests of reading, merging and rendering the event logs of several processes.

use entity::request::Id;
use googletest::prelude::*;
use timeline::event::Kind;
use timeline::{Timeline, reader, render};

const FIRST: &str = r#"{"clock":"1000.00000","instance":"a","kind":"arrived","request":"00000000000000000000000000000001"}
{"level":"INFO","msg":"a line of a log"}
{"clock":"1005.00001","instance":"a","kind":"answered","request":"00000000000000000000000000000001","note":"</script>"}
{"clock":"1006.00000","instance":"a","kind":"no-such-kind"}
{"clock":"1007.00000","instance":"a","ki"#;

const SECOND: &str = r#"{"clock":"1005.00000","instance":"b","kind":"held","request":"00000000000000000000000000000001"}
{"clock":"1001.00000","instance":"b","kind":"arrived","request":"00000000000000000000000000000002"}
"#;

fn merged() -> Timeline {
    let mut events = Vec::new();
    for text in [FIRST, SECOND] {
        events.extend(reader::read(text.as_bytes()).unwrap().events);
    }
    Timeline::new(events)
}

#[gtest]
fn invalid_lines_are_reported_with_their_line_number() {
    let source = reader::read(FIRST.as_bytes()).unwrap();
    expect_that!(source.events.len(), eq(2));
    expect_that!(source.skipped.0.len(), eq(2));
    expect_that!(source.skipped.0[0].place.line, eq(4));
    expect_that!(
        *source.skipped.0[0].problem,
        contains_substring("unknown event kind")
    );
    expect_that!(source.skipped.0[1].place.line, eq(5));
    expect_that!(
        *source.skipped.0[1].problem,
        contains_substring("incomplete")
    );
}

#[gtest]
fn path_contains_the_events_of_a_request_at_all_instances() {
    let timeline = merged();
    let mut path = Vec::new();
    for event in timeline.path(Id(1)) {
        path.push((event.instance.to_string(), event.kind));
    }
    let expected = [
        ("a".to_owned(), Kind::Arrived),
        ("b".to_owned(), Kind::Held),
        ("a".to_owned(), Kind::Answered),
    ];
    expect_that!(path, eq(&expected));
    expect_that!(timeline.path(Id(2)).len(), eq(1));
    expect_that!(timeline.path(Id(3)).is_empty(), eq(true));
    expect_that!(timeline.instances(), eq(&["a", "b"]));
}

#[gtest]
fn text_has_one_line_for_each_event_in_order() {
    let text = render::text(merged().events());
    let kinds: Vec<_> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    expect_that!(kinds, eq(&["arrived", "arrived", "held", "answered"]));
}

#[gtest]
fn page_contains_all_events_and_is_self_contained() {
    let page = render::page(&merged());
    let (_, data) = page.split_once("application/json\">").unwrap();
    let (data, _) = data.split_once("</script>").unwrap();
    let data: serde_json::Value = serde_json::from_str(data).unwrap();
    expect_that!(data["events"].as_array().unwrap().len(), eq(4));
    expect_that!(
        data["events"][3]["fields"].as_str(),
        some(eq("note=</script>"))
    );
    for outside in ["src=", "href=", "url(", "@import", "http:", "https:"] {
        expect_that!(page, not(contains_substring(outside)));
    }
}

#[gtest]
fn kinds_round_trip_through_text() {
    for kind in Kind::ALL {
        expect_that!(kind.to_string().parse::<Kind>(), ok(eq(*kind)));
    }
}
