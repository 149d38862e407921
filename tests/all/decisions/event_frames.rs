//! Splitting a byte stream into complete events.

use stallhoist_gateway::event_frames::EventBuffer;

/// Checks that pushing `$pieces` gives these events and this last id, and whether an incomplete event remains.
macro_rules! frames {
    ($name:ident, $pieces:expr, $expected:expr, $last_id:expr, $is_inside_event:expr) => {
        #[test]
        fn $name() {
            let mut buffer = EventBuffer::default();
            let mut bytes = Vec::new();
            let mut last_id = None;
            for piece in $pieces {
                if let Some(frames) = buffer.push(piece.as_bytes()).expect("short events") {
                    bytes.extend_from_slice(&frames.bytes);
                    last_id = frames.last_id.or(last_id);
                }
            }
            assert_eq!(String::from_utf8(bytes).expect("text"), $expected);
            assert_eq!((last_id, buffer.is_inside_event()), ($last_id, $is_inside_event));
        }
    };
}

frames!(one_event, ["id: 1\ndata: x\n\n"], "id: 1\ndata: x\n\n", Some(1), false);
frames!(two_at_once, ["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some(2), false);
frames!(byte_by_byte, "id:7\ndata: x\n\n".split_inclusive(""), "id:7\ndata: x\n\n", Some(7), false);
frames!(an_incomplete_event, ["id: 1\n\nid: 2\nda"], "id: 1\n\n", Some(1), true);
frames!(cut_before_the_blank_line, ["id: 1\ndata: x\n"], "", None, true);
frames!(crlf_line_ends, ["id: 3\r\ndata: x\r\n\r\n"], "id: 3\r\ndata: x\r\n\r\n", Some(3), false);
frames!(without_an_id, ["data: x\n\n"], "data: x\n\n", None, false);
frames!(another_field_first, ["versions: 2\nid: 4\n\n"], "versions: 2\nid: 4\n\n", Some(4), false);
frames!(a_non_numeric_id, ["id: x\n\n"], "id: x\n\n", None, false);
frames!(
    the_end_of_the_third_in_another_part,
    ["id: 1\n\nid: 2\n", "\nid: 3\n", "da", "ta: x\n\n"],
    "id: 1\n\nid: 2\n\nid: 3\ndata: x\n\n",
    Some(3),
    false
);

// What was buffered, and the time to search it, had no limit.
#[test]
fn an_event_without_end_is_not_buffered() {
    let mut buffer = EventBuffer::default();
    let part = [b'x'; 1 << 10];
    let taken = (0..2_000).take_while(|_| buffer.push(&part) == Ok(None)).count();
    assert_eq!(taken, 256);
}
