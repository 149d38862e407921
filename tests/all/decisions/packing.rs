//! Packing of row values sent between gateways.

use stallhoist_gateway::peers::pack;
use stallhoist_gateway::peers::unpack;

/// Lines of one form that differ in two names, like the routes of a configuration.
fn lines(from: u64, to: u64) -> Vec<u8> {
    let name = |n: u64| n.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let line = |n| format!("{{\"name\":\"{:016x}\",\"path\":\"/{:016x}/\"}}", name(n), !name(n));
    (from..to).map(line).collect::<String>().into_bytes()
}

/// Asserts the maximum size of one value as a delta to another, and that it unpacks to the same
/// bytes.
macro_rules! delta_takes {
    ($name:ident, $base:expr, $value:expr, $max_bytes:expr) => {
        #[test]
        fn $name() {
            let (base, value): (Vec<u8>, Vec<u8>) = ($base, $value);
            let packed = pack(&value, Some(&base)).expect("it is packed");
            assert!(packed.len() <= $max_bytes, "{} bytes of {}", packed.len(), value.len());
            assert_eq!(unpack(&packed, Some(&base)).expect("it is unpacked"), value);
        }
    };
}

delta_takes!(nothing_changes, lines(0, 20_000), lines(0, 20_000), 500);
delta_takes!(
    a_line_changes,
    lines(0, 20_000),
    [lines(0, 9_000), b"changed".into(), lines(9_001, 20_000)].concat(),
    500
);
delta_takes!(lines_are_added, lines(0, 20_000), lines(0, 20_100), 4_000);
delta_takes!(lines_are_removed, lines(0, 20_000), lines(10_000, 20_000), 500);
delta_takes!(halves_swap, lines(0, 200), [lines(100, 200), lines(0, 100)].concat(), 500);
delta_takes!(base_is_empty, Vec::new(), lines(0, 100), 4_000);
delta_takes!(value_is_empty, lines(0, 100), Vec::new(), 100);

#[test]
fn a_whole_value_needs_no_base() {
    let value = lines(0, 1_400);
    let packed = pack(&value, None).expect("it is packed");
    assert!(packed.len() < value.len() / 2, "{} bytes of {}", packed.len(), value.len());
    assert_eq!(unpack(&packed, None).expect("it is unpacked"), value);
}

// A gateway that holds another base than it announced must not apply the resulting bytes.
#[test]
fn a_delta_to_another_base_is_rejected() {
    let packed = pack(&lines(0, 2_000), Some(&lines(0, 1_900))).expect("it is packed");
    for other in [lines(0, 1_899), lines(1, 1_901), Vec::new()] {
        assert!(unpack(&packed, Some(&other)).is_err());
    }
}

#[test]
fn corrupt_bytes_are_rejected() {
    let packed = pack(&lines(0, 1_000), None).expect("it is packed");
    assert!(unpack(&packed[..packed.len() - 1], None).is_err(), "it is cut off");
    assert!(unpack(b"anything", None).is_err());
    let mut garbled = packed.to_vec();
    garbled[packed.len() / 2] ^= 0x10;
    assert!(unpack(&garbled, None).is_err(), "its checksum is wrong");
}

// A few bytes from a peer must not expand beyond the memory of the receiver.
#[test]
fn a_value_that_unpacks_too_large_is_rejected() {
    const MAX_BYTES: usize = 8 << 20;
    let largest = pack(&vec![0; MAX_BYTES], None).expect("it is packed");
    assert_eq!(unpack(&largest, None).expect("it is unpacked").len(), MAX_BYTES);
    let larger = pack(&vec![0; MAX_BYTES + 1], None).expect("it is packed");
    assert!(larger.len() < 10_000 && unpack(&larger, None).is_err());
}
