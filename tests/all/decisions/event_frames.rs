//! Cutting bytes into whole events.

use stallhoist_gateway::event_frames::EventBuffer;

/// Pushing these pieces gives these events and this last id, and leaves a rest or none.
macro_rules! frames {
    ($name:ident, $pieces:expr, $expected:expr, $last_id:expr, $rest:expr) => {
        #[test]
        fn $name() {
            let mut buffer = EventBuffer::default();
            let mut bytes = Vec::new();
            let mut last_id = None;
            for piece in $pieces {
                if let Some(frames) = buffer.push(piece.as_bytes()) {
                    bytes.extend_from_slice(&frames.bytes);
                    last_id = frames.last_id.or(last_id);
                }
            }
            assert_eq!(String::from_utf8(bytes).expect("text"), $expected);
            assert_eq!((last_id, buffer.is_inside_event()), ($last_id, $rest));
        }
    };
}

frames!(one_event, ["id: 1\ndata: x\n\n"], "id: 1\ndata: x\n\n", Some(1), false);
frames!(two_at_once, ["id: 1\n\nid: 2\n\n"], "id: 1\n\nid: 2\n\n", Some(2), false);
frames!(byte_by_byte, "id:7\ndata: x\n\n".split_inclusive(""), "id:7\ndata: x\n\n", Some(7), false);
frames!(a_torn_one, ["id: 1\n\nid: 2\nda"], "id: 1\n\n", Some(1), true);
frames!(cut_before_the_blank_line, ["id: 1\ndata: x\n"], "", None, true);
frames!(
    line_ends_of_two_bytes,
    ["id: 3\r\ndata: x\r\n\r\n"],
    "id: 3\r\ndata: x\r\n\r\n",
    Some(3),
    false
);
frames!(without_an_id, ["data: x\n\n"], "data: x\n\n", None, false);
frames!(other_fields_first, ["versions: 2\nid: 4\n\n"], "versions: 2\nid: 4\n\n", Some(4), false);
frames!(an_id_that_is_no_number, ["id: x\n\n"], "id: x\n\n", None, false);
