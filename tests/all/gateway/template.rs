//! The platform's template, filled with each value in every form that a deployment may have, and
//! given to the real program.
//!
//! A deployment whose grace is 8.5 s was down as a whole: the template put `000` behind the
//! value, and each gateway ended at its start with `value 8.5000: invalid type`.

use std::process::Command;

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

/// A section of the template, which is left out where no rate is given.
const LINK_GAP: &str =
    "{{#limits.link_mbps}}, \"link\": \"{{limits.link_mbps}} Mbit/s\"{{/limits.link_mbps}}";

/// What a usual deployment gives. The addresses are the test's own.
const GAPS: [(&str, &str); 22] = [
    ("{{node|json}}", "\"front-a-1\""),
    ("{{zone|json}}", "\"a\""),
    (LINK_GAP, ", \"link\": \"10 Mbit/s\""),
    ("{{listen.front|json}}", "\"127.0.0.1:0\""),
    ("{{listen.ready|json}}", "\"127.0.0.1:0\""),
    ("{{ip}}", "127.0.0.1"),
    ("{{internal_ports.0}}", "0"),
    ("{{listen.control|json}}", "\"127.0.0.1:0\""),
    ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", ""),
    ("{{platform.address|json}}", "\"127.0.0.1:1\""),
    ("{{bounds.retry_budget_ratio|json}}", "0.9"),
    ("{{bounds.budget_slack|json}}", "52"),
    ("{{zones|json}}", "{\"a\":\"r\"}"),
    ("{{#bounds.expose_share}}", ""),
    ("{{bounds.expose_share|json}}", "0.0975"),
    ("{{/bounds.expose_share}}", ""),
    ("{{#bounds.cold_overage}}", ""),
    ("{{bounds.cold_overage|json}}", "1.5"),
    ("{{bounds.cold_slack|json}}", "5"),
    ("{{/bounds.cold_overage}}", ""),
    ("{{bounds.grace_s}}", "8"),
    ("{{bounds.session_s}}", "5"),
];

/// The template with one gap filled by this value, and the others as usual.
fn filled(gap: &str, value: &str) -> String {
    filled_with(&[(gap, value)])
}

/// The template with some gaps filled by these values, and the others as usual.
fn filled_with(values: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    for (gap, value) in values {
        assert!(text.contains(gap), "{gap} is in the template");
        text = text.replace(gap, value);
    }
    GAPS.iter().fold(text, |text, (gap, value)| text.replace(gap, value))
}

// What the platform gives lands in the settings that it is meant for.
#[test]
fn the_platforms_values_come_into_the_settings() {
    let seeds = "\"10.2.0.29:8229\",\"10.3.0.19:8229\"";
    let filled = filled_with(&[
        ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds),
        ("{{listen.control|json}}", "\"10.1.0.40:8229\""),
    ]);
    assert!(!filled.contains("{{"), "a gap is left: {filled}");
    let settings = parse::<GatewaySettings>("deploy/gateway.jsonc", &filled).expect("taken");
    let expected = (TimeSpan::from_secs(8), TimeSpan::from_secs(5));
    assert_eq!((settings.stop.grace, settings.session), expected);
    assert_eq!(settings.host.link, LinkRate::from_mbit_per_s(10));
    let (zone, region) = settings.regions.first_key_value().expect("a zone");
    assert_eq!((zone.as_str(), region.as_str()), ("a", "r"));
    assert_eq!(settings.rollouts.max_exposure, 0.0975);
    let cold = settings.cold_upstreams.expect("what may come to cold upstreams");
    assert_eq!((cold.overage, cold.slack_per_s), (1.5, 5.0));
    assert_eq!(settings.peers_addr, "10.1.0.40:8229");
    assert_eq!(settings.store.addr, "127.0.0.1:1");
    assert_eq!(settings.seeds, ["10.2.0.29:8229", "10.3.0.19:8229"]);
}

/// What `check-settings gateway` says of settings, and whether it takes them.
fn checked(settings: &str) -> (bool, String) {
    let name = format!("stallhoist-test-{}.json", uuid::Uuid::new_v4().simple());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, settings).expect("settings can be written");
    let output = Command::new(COMMAND_LINE).args(["check-settings", "gateway"]).arg(&file).output();
    std::fs::remove_file(&file).expect("the file is there");
    let output = output.expect("the program runs");
    (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
}

/// Names a case: the gateway serves with each of these values, and `check-settings` takes them.
macro_rules! takes {
    ($name:ident, $gap:expr, $values:expr) => {
        case!($name, async {
            let store = StoreStandin::start().await.expect("the store starts");
            for value in $values {
                let settings = filled($gap, value);
                let settings = settings.replace("127.0.0.1:1\"", &format!("{}\"", store.addr()));
                let (is_taken, message) = checked(&settings);
                assert!(is_taken, "{}: {value}: {message}", $gap);
                Process::start(GATEWAY, &settings).kill();
            }
        });
    };
}

takes!(any_grace_is_taken, "{{bounds.grace_s}}", ["8", "8.5", "0", "0.25", "86400", "1e3"]);
takes!(any_session_is_taken, "{{bounds.session_s}}", ["5", "8.5", "0", "0.001", "31536000"]);
takes!(
    any_link_is_taken,
    LINK_GAP,
    [
        "",
        ", \"link\": \"10.0 Mbit/s\"",
        ", \"link\": \"0 Mbit/s\"",
        ", \"link\": \"0.5 Mbit/s\"",
        ", \"link\": \"1e6 Mbit/s\"",
    ]
);
takes!(any_slack_is_taken, "{{bounds.budget_slack|json}}", ["52", "52.5", "0", "1000000000"]);
takes!(any_ratio_is_taken, "{{bounds.retry_budget_ratio|json}}", ["0.9", "0", "1", "25"]);

/// Names a case: settings with this value are refused in one line that names key and value.
macro_rules! refuses {
    ($name:ident, $gap:expr, $value:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let (is_taken, message) = checked(&filled($gap, $value));
            let lines: Vec<_> = message.lines().filter(|line| line.contains("key '")).collect();
            assert!(!is_taken && lines.len() == 1 && lines[0].contains($expected), "{message}");
        }
    };
}

refuses!(a_missing_grace, "{{bounds.grace_s}}", "", "key 'stop.grace', value \" s\"");
refuses!(a_negative_session, "{{bounds.session_s}}", "-1", "key 'session', value \"-1 s\"");
refuses!(an_endless_grace, "{{bounds.grace_s}}", "1e300", "key 'stop.grace', value \"1e300 s\"");
refuses!(a_missing_slack, "{{bounds.budget_slack|json}}", "null", "key 'retries.fleet_slack'");
