//! The platform's template, filled with each value in every form that a deployment may have, and
//! passed to the real program.
//!
//! A deployment with a grace of 8.5 s was down as a whole: the template appended `000` to the
//! value, and each gateway exited at startup with `value 8.5000: invalid type`.

use std::process::Command;

use stallhoist_core::ByteSize;
use stallhoist_core::LinkRate;
use stallhoist_settings::GatewaySettings;
use stallhoist_settings::TimeSpan;
use stallhoist_settings::parse;
use stallhoist_standins::users_platform::StoreStandin;

use crate::case::case;
use crate::harness::Process;

const GATEWAY: &str = env!("CARGO_BIN_EXE_stallhoist-gateway");
const COMMAND_LINE: &str = env!("CARGO_BIN_EXE_stallhoist");
const TEMPLATE: &str = include_str!("../../../deploy/gateway.jsonc");

/// A section of the template, which is omitted where no rate is given.
const LINK_PLACEHOLDER: &str =
    "{{#limits.link_mbps}}, \"link\": \"{{limits.link_mbps}} Mbit/s\"{{/limits.link_mbps}}";

/// The same of the memory.
const MEMORY_PLACEHOLDER: &str =
    "{{#limits.memory_mb}}, \"memory\": \"{{limits.memory_mb}} MB\"{{/limits.memory_mb}}";

/// The same of the descriptors.
const DESCRIPTORS_PLACEHOLDER: &str =
    "{{#limits.max_fds}}, \"descriptors\": {{limits.max_fds}}{{/limits.max_fds}}";

/// The values of a usual deployment. The addresses are the test's own.
const PLACEHOLDERS: [(&str, &str); 38] = [
    ("{{node|json}}", "\"front-a-1\""),
    ("{{zone|json}}", "\"a\""),
    (LINK_PLACEHOLDER, ", \"link\": \"10 Mbit/s\""),
    (DESCRIPTORS_PLACEHOLDER, ", \"descriptors\": 4200"),
    (MEMORY_PLACEHOLDER, ", \"memory\": \"260 MB\""),
    ("{{listen.front|json}}", "\"127.0.0.1:0\""),
    ("{{listen.ready|json}}", "\"127.0.0.1:0\""),
    ("{{ip}}", "127.0.0.1"),
    ("{{internal_ports.0}}", "0"),
    ("{{listen.control|json}}", "\"127.0.0.1:0\""),
    ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", ""),
    ("{{platform.address|json}}", "\"127.0.0.1:1\""),
    ("{{#bounds.contact_ms}}", ""),
    ("{{bounds.contact_ms}}", "4000"),
    ("{{/bounds.contact_ms}}", ""),
    ("{{bounds.retry_budget_ratio|json}}", "0.9"),
    ("{{bounds.budget_slack|json}}", "52"),
    ("{{zones|json}}", "{\"a\":\"r\"}"),
    ("{{#bounds.expose_share}}", ""),
    ("{{bounds.expose_share|json}}", "0.0975"),
    ("{{/bounds.expose_share}}", ""),
    ("{{#bounds.expose_slack}}", ""),
    ("{{bounds.expose_slack|json}}", "20"),
    ("{{/bounds.expose_slack}}", ""),
    ("{{#bounds.cold_overage}}", ""),
    ("{{bounds.cold_overage|json}}", "1.5"),
    ("{{bounds.cold_slack|json}}", "5"),
    ("{{/bounds.cold_overage}}", ""),
    ("{{#cloud.address}}", ""),
    ("{{#bounds.report_window_s}}", ""),
    ("{{cloud.address|json}}", "\"127.0.0.1:2\""),
    ("{{bounds.lease_ms}}", "3000"),
    ("{{bounds.report_window_s}}", "5"),
    ("{{bounds.usage_late_s}}", "10"),
    ("{{/bounds.report_window_s}}", ""),
    ("{{/cloud.address}}", ""),
    ("{{bounds.grace_s}}", "8"),
    ("{{bounds.session_s}}", "5"),
];

/// The template with one placeholder replaced by this value, and the usual values for the others.
fn filled(placeholder: &str, value: &str) -> String {
    filled_with(&[(placeholder, value)])
}

/// The template with some placeholders replaced by these values, and the usual values for the
/// others.
fn filled_with(values: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    for (placeholder, value) in values {
        assert!(text.contains(placeholder), "{placeholder} is in the template");
        text = text.replace(placeholder, value);
    }
    PLACEHOLDERS.iter().fold(text, |text, (placeholder, value)| text.replace(placeholder, value))
}

// The platform's values reach the intended settings.
#[test]
fn the_platforms_values_reach_the_settings() {
    let seeds = "\"10.2.0.29:8229\",\"10.3.0.19:8229\"";
    let filled = filled_with(&[
        ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds),
        ("{{listen.control|json}}", "\"10.1.0.40:8229\""),
    ]);
    assert!(!filled.contains("{{"), "a placeholder is left: {filled}");
    let settings = parse::<GatewaySettings>("deploy/gateway.jsonc", &filled).expect("accepted");
    let expected = (TimeSpan::from_secs(8), TimeSpan::from_secs(5));
    assert_eq!((settings.stop.grace, settings.session), expected);
    assert_eq!(settings.host.link, LinkRate::from_mbit_per_s(10));
    assert_eq!(settings.host.descriptors, Some(4_200));
    assert_eq!(settings.host.memory, Some(ByteSize::from_mb(260)));
    let (zone, region) = settings.regions.first_key_value().expect("a zone");
    assert_eq!((zone.as_str(), region.as_str()), ("a", "r"));
    assert_eq!(settings.rollouts.max_exposure, 0.0975);
    assert_eq!(settings.rollouts.exposure_slack, 20.0);
    let cold = settings.cold_upstreams.expect("settings of cold upstreams");
    assert_eq!((cold.overage, cold.slack_per_s), (1.5, 5.0));
    let duties = settings.duties.expect("settings of duties");
    let expected = [TimeSpan::from_secs(3), TimeSpan::from_secs(5), TimeSpan::from_secs(10)];
    assert_eq!([duties.lease, duties.usage_window, duties.usage_due_after], expected);
    assert_eq!(duties.addr, "127.0.0.1:2");
    assert_eq!(settings.peers_addr, "10.1.0.40:8229");
    assert_eq!(settings.store.addr, "127.0.0.1:1");
    assert_eq!(settings.store.catch_up, TimeSpan::from_secs(4));
    assert_eq!(settings.seeds, ["10.2.0.29:8229", "10.3.0.19:8229"]);
}

/// Runs `check-settings gateway`; returns whether it accepts the settings, and its messages.
fn check_settings(settings: &str) -> (bool, String) {
    let name = format!("stallhoist-test-{}.json", uuid::Uuid::new_v4().simple());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings).expect("settings can be written");
    let output = Command::new(COMMAND_LINE).args(["check-settings", "gateway"]).arg(&file).output();
    std::fs::remove_file(&file).expect("the file is there");
    let output = output.expect("the program runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Asserts that the gateway serves with each of these values, and that `check-settings` accepts
/// them.
macro_rules! accepts {
    ($name:ident, $placeholder:expr, $values:expr) => {
        case!($name, async {
            let store = StoreStandin::start().await.expect("the store starts");
            for value in $values {
                let settings = filled($placeholder, value);
                let settings = settings.replace("127.0.0.1:1\"", &format!("{}\"", store.addr()));
                let (is_accepted, message) = check_settings(&settings);
                assert!(is_accepted, "{}: {value}: {message}", $placeholder);
                Process::start(GATEWAY, &settings).kill();
            }
        });
    };
}

accepts!(any_grace_is_accepted, "{{bounds.grace_s}}", ["8", "8.5", "0", "0.25", "86400", "1e3"]);
accepts!(any_session_is_accepted, "{{bounds.session_s}}", ["5", "8.5", "0", "0.001", "31536000"]);
accepts!(
    any_link_is_accepted,
    LINK_PLACEHOLDER,
    [
        "",
        ", \"link\": \"10.0 Mbit/s\"",
        ", \"link\": \"0 Mbit/s\"",
        ", \"link\": \"0.5 Mbit/s\"",
        ", \"link\": \"1e6 Mbit/s\"",
    ]
);
accepts!(any_slack_is_accepted, "{{bounds.budget_slack|json}}", ["52", "52.5", "0", "1000000000"]);
accepts!(any_usage_window_is_accepted, "{{bounds.report_window_s}}", ["5", "1", "2.5", "3600"]);
accepts!(any_contact_time_is_accepted, "{{bounds.contact_ms}}", ["3000", "0", "250.5", "60000"]);
accepts!(any_lease_is_accepted, "{{bounds.lease_ms}}", ["3000", "500", "1500.5"]);
accepts!(any_ratio_is_accepted, "{{bounds.retry_budget_ratio|json}}", ["0.9", "0", "1", "25"]);

/// Asserts that settings with this value are rejected in one line that names key and value.
macro_rules! rejects {
    ($name:ident, $placeholder:expr, $value:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let (is_accepted, message) = check_settings(&filled($placeholder, $value));
            let lines: Vec<_> = message.lines().filter(|line| line.contains("key '")).collect();
            assert!(!is_accepted && lines.len() == 1 && lines[0].contains($expected), "{message}");
        }
    };
}

rejects!(a_missing_grace, "{{bounds.grace_s}}", "", "key 'stop.grace', value \" s\"");
rejects!(a_negative_session, "{{bounds.session_s}}", "-1", "key 'session', value \"-1 s\"");
rejects!(an_endless_grace, "{{bounds.grace_s}}", "1e300", "key 'stop.grace', value \"1e300 s\"");
rejects!(
    no_usage_window,
    "{{bounds.report_window_s}}",
    "0",
    "key 'duties.usage_window', value \"0 s\""
);
rejects!(a_short_lease, "{{bounds.lease_ms}}", "20", "key 'duties.lease', value \"20 ms\"");
rejects!(a_missing_slack, "{{bounds.budget_slack|json}}", "null", "key 'retries.fleet_slack'");
