//! Settings files: the examples are valid, and each problem is reported with its location.

use std::path::Path;
use std::time::Duration;

use expect_test::Expect;
use expect_test::expect;
use stallhoist_settings::EntrySettings;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::SidecarSettings;
use stallhoist_settings::StoreSettings;
use stallhoist_settings::Validate;
use stallhoist_settings::load;
use stallhoist_settings::parse;

const ENTRY: &str = r#"{
  "host": { "id": "e", "zone": "z", "fleet_key": "sixteen-and-more", "operators_key": "sixteen-and-more" },
  "callers_addr": "127.0.0.1:1",
  "operators_addr": "127.0.0.1:2",
  "platform": { "url": "http://127.0.0.1:3" },
  "session_keys": ["sixteen-and-more"]
}"#;

/// Checks that an entry's settings are rejected with the expected error once `from` is replaced by `to`.
fn refused(from: &str, to: &str, expected: &Expect) {
    assert!(ENTRY.contains(from), "the replaced text must occur in the settings");
    let error = parse::<EntrySettings>("entry.jsonc", &ENTRY.replace(from, to));
    expected.assert_eq(&error.expect_err("the settings are rejected").to_string());
}

macro_rules! refuses {
    ($name:ident, $from:expr, $to:expr, $expected:expr) => {
        #[test]
        fn $name() {
            refused($from, $to, &$expected);
        }
    };
}

#[test]
fn base_settings_are_valid() {
    parse::<EntrySettings>("entry.jsonc", ENTRY).expect("the settings are valid");
}

fn example_is_valid<T: serde::de::DeserializeOwned + Validate>(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    load::<T>(&path).map(|_| ()).expect("the example is valid");
}

#[test]
fn examples_are_valid() {
    example_is_valid::<EntrySettings>("entry.jsonc");
    example_is_valid::<SidecarSettings>("sidecar-engine.jsonc");
    example_is_valid::<SidecarSettings>("sidecar-service.jsonc");
}

refuses!(
    unknown_key,
    "\"callers_addr\"",
    "\"caller_addr\"",
    expect![[r#"
    entry.jsonc: line 1: key '(whole file)': missing field `callers_addr`
      line 3: key 'caller_addr', value "127.0.0.1:1": unknown field `caller_addr`, expected one of `host`, `callers_addr`, `operators_addr`, `platform`, `session_keys`, `callers`, `placement`, `retries`, `ratings`, `claims`, `bill`, `timing`, `max_frame_bytes`"#]]
);
refuses!(
    wrong_unit,
    "\"platform\": { \"url\": \"http://127.0.0.1:3\" }",
    "\"platform\": { \"url\": \"http://127.0.0.1:3\", \"table_poll_s\": 2 }",
    expect![
        "entry.jsonc: line 5: key 'platform.table_poll_s', value 2: unknown field `table_poll_s`, expected one of `url`, `call_timeout_ms`, `host_list_poll_ms`, `table_poll_ms`"
    ]
);
refuses!(
    string_for_a_number,
    "\"platform\": { \"url\": \"http://127.0.0.1:3\" }",
    "\"platform\": { \"url\": \"http://127.0.0.1:3\", \"table_poll_ms\": \"2s\" }",
    expect![[
        r#"entry.jsonc: line 5: key 'platform.table_poll_ms', value "2s": invalid type: string "2s", expected u64"#
    ]]
);
refuses!(
    out_of_range,
    "\"platform\": { \"url\": \"http://127.0.0.1:3\" }",
    "\"platform\": { \"url\": \"http://127.0.0.1:3\", \"table_poll_ms\": 2 }",
    expect!["entry.jsonc: line 5: key 'platform.table_poll_ms', value 2: must be from 50 to 60000"]
);
refuses!(
    bad_address,
    "127.0.0.1:1",
    "localhost:1",
    expect![[
        r#"entry.jsonc: line 3: key 'callers_addr', value "localhost:1": must be an IP address with a port, as in 10.0.0.7:7000"#
    ]]
);
refuses!(
    bad_url,
    "http://127.0.0.1:3",
    "https://platform",
    expect![[
        r#"entry.jsonc: line 5: key 'platform.url', value "https://platform": must be http:// with an IP address and a port, as in http://10.0.0.7:8000"#
    ]]
);
refuses!(
    short_secret_is_not_shown,
    "[\"sixteen-and-more\"]",
    "[\"hush\"]",
    expect!["entry.jsonc: line 6: key 'session_keys': each must have at least 16 characters"]
);
refuses!(
    bad_name,
    "\"id\": \"e\"",
    "\"id\": \"a b\"",
    expect![[
        r#"entry.jsonc: line 2: key 'host.id', value "a b": ' ' is not allowed in a name: use letters, digits and - _ . : /"#
    ]]
);
refuses!(
    duplicate_key,
    "\"session_keys\"",
    "\"callers_addr\": \"127.0.0.1:9\", \"session_keys\"",
    expect!["entry.jsonc: line 6: key 'callers_addr': the key stands twice"]
);
refuses!(
    not_json,
    "\"session_keys\": [",
    "\"session_keys\": ",
    expect!["entry.jsonc: line 6, column 37: not JSON with comments: Unexpected token in object"]
);
refuses!(
    all_problems_at_once,
    "\"callers_addr\": \"127.0.0.1:1\"",
    "\"callers_addr\": 5, \"colour\": \"red\"",
    expect![[r#"
        entry.jsonc: line 3: key 'callers_addr', value 5: invalid type: integer `5`, expected a string
          line 3: key 'colour', value "red": unknown field `colour`, expected one of `host`, `callers_addr`, `operators_addr`, `platform`, `session_keys`, `callers`, `placement`, `retries`, `ratings`, `claims`, `bill`, `timing`, `max_frame_bytes`"#]]
);

#[test]
fn missing_file_is_reported_by_path() {
    let error = load::<EntrySettings>(Path::new("no/such/file.jsonc"))
        .expect_err("the file does not exist");
    assert!(error.to_string().contains("no/such/file.jsonc"), "{error}");
}

const GATEWAY: &str = include_str!("../../examples/gateway.jsonc");

/// Checks that a gateway's example settings are rejected with the expected error once `from` is replaced by `to`.
macro_rules! gateway_refuses {
    ($name:ident, $from:expr, $to:expr, $expected:expr) => {
        #[test]
        fn $name() {
            assert!(GATEWAY.contains($from), "the replaced text must occur in the settings");
            let error = parse::<GatewaySettings>("gateway.jsonc", &GATEWAY.replace($from, $to));
            $expected.assert_eq(&error.expect_err("the settings are rejected").to_string());
        }
    };
}

#[test]
fn gateway_example_is_valid() {
    parse::<GatewaySettings>("gateway.jsonc", GATEWAY).expect("the settings are valid");
}

gateway_refuses!(
    gateway_percentage_out_of_range,
    "[50]",
    "[50, 101]",
    expect![
        "gateway.jsonc: line 18: key 'step_up.below_confidence_percent': each must be from 0 to 100"
    ]
);
gateway_refuses!(
    gateway_grace_without_unit,
    "\"grace\": \"8 s\"",
    "\"grace\": \"8\"",
    expect![[
        r#"gateway.jsonc: line 22: key 'stop.grace', value "8": a time needs a number and a unit (ms, s, min, h), as in "8.5 s""#
    ]]
);
gateway_refuses!(
    gateway_overage_negative,
    "\"overage\": 1.5",
    "\"overage\": -1.5",
    expect![[
        r#"gateway.jsonc: line 21: key 'cold_upstreams.overage', value -1.5: must be from 0 to 1000"#
    ]]
);
gateway_refuses!(
    gateway_exposure_above_one,
    "\"max_exposure\": 0.15",
    "\"max_exposure\": 15",
    expect![[
        r#"gateway.jsonc: line 20: key 'rollouts.max_exposure', value 15: must be from 0 to 1"#
    ]]
);
gateway_refuses!(
    gateway_path_without_slash,
    "\"/ready\"",
    "\"ready\"",
    expect![[
        r#"gateway.jsonc: line 7: key 'readiness_path', value "ready": must begin with a slash"#
    ]]
);

/// Checks how long a follow call waits by the time in which changes must be known.
macro_rules! follow_wait {
    ($name:ident, $catch_up:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let store = format!(r#"{{ "addr": "127.0.0.1:1", "catch_up": "{}" }}"#, $catch_up);
            let store = parse::<StoreSettings>("store.jsonc", &store).expect("accepted");
            assert_eq!(store.bounded_follow_wait(), Duration::from_millis($expected));
        }
    };
}

follow_wait!(a_follow_call_leaves_time_to_catch_up, "3 s", 2_000);
follow_wait!(a_follow_call_waits_no_longer_than_its_own_limit, "6 s", 3_000);
follow_wait!(a_follow_call_waits_without_time_to_catch_up, "500 ms", 100);
