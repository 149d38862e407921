//! The interface for operators, over HTTP and through the command line.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use reqwest::StatusCode;
use stallhoist_standins::platform::Faults;

use crate::case::case;
use crate::harness::Fleet;
use crate::harness::Plan;
use crate::harness::operators_key;
use crate::harness::send;
use crate::harness::wait_until;

/// Runs the command line against an entry of a fleet.
async fn run(fleet: &Fleet, args: &[&str]) -> Output {
    let addr = format!("http://{}", fleet.entries[0].addr("operators_addr"));
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_stallhoist"))
            .args(args)
            .env("STALLHOIST_OPERATORS_URL", addr)
            .env("STALLHOIST_OPERATORS_KEY", operators_key())
            .output()
            .expect("the command runs")
    };
    tokio::task::spawn_blocking(run).await.expect("the command ends")
}

fn stdout(output: &Output) -> String {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    assert!(!output.status.success());
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn scratch_file() -> PathBuf {
    std::env::temp_dir().join(format!("stallhoist-test-{}", uuid::Uuid::new_v4().simple()))
}

async fn status(fleet: &Fleet, path: &str, key: &str) -> StatusCode {
    let addr = fleet.entries[0].addr("operators_addr");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client can be made");
    let request = http.get(format!("http://{addr}{path}")).bearer_auth(key);
    request.send().await.expect("a reply").status()
}

case!(endpoints_require_the_key, async {
    let fleet = Fleet::start(Plan::default()).await;
    for path in ["/metrics", "/v1/state", "/v1/table", "/v1/table/history?after=0"] {
        assert_eq!(status(&fleet, path, "wrong").await, StatusCode::UNAUTHORIZED, "{path}");
        assert_eq!(status(&fleet, path, operators_key()).await, StatusCode::OK, "{path}");
    }
    for path in ["/livez", "/readyz"] {
        assert_eq!(status(&fleet, path, "").await, StatusCode::OK, "{path}");
    }
});

case!(set_shows_progress_and_history, async {
    let fleet = Fleet::start(Plan::default()).await;
    let set = stdout(&run(&fleet, &["table", "set", "w/m@v1/weight=7", "--author", "ann"]).await);
    assert!(set.contains("accepted: revision 2"), "{set}");
    assert!(set.contains("in force: 5 of 5 hosts"), "{set}");
    let history = stdout(&run(&fleet, &["table", "history", "--after", "1"]).await);
    assert!(history.contains("ann\tw/m@v1/weight\t1 -> 7"), "{history}");
    let show = stdout(&run(&fleet, &["table", "show"]).await);
    assert!(show.contains("w,m@v1,yes,active,7,"), "{show}");
});

case!(set_with_a_stale_expectation_shows_both_values, async {
    let fleet = Fleet::start(Plan::default()).await;
    let args = ["table", "set", "w/m@v1/weight=7", "--expect", "w/m@v1/weight=3"];
    let error = stderr(&run(&fleet, &args).await);
    assert!(error.contains("holds '1', not the expected '3'; '7' was not written"), "{error}");
});

case!(set_with_an_invalid_value_is_rejected_with_the_expected_format, async {
    let fleet = Fleet::start(Plan::default()).await;
    for (cell, expected) in [
        ("w/m@v1/weight=many", "a whole number from 0"),
        ("w/m@v1/state=gone", "active, draining or withdrawn"),
        ("w/m@v1/ramp_percent=101", "a percentage from 0 to 100"),
        ("w/m@v1/wight=1", "there is no column 'wight'"),
        ("w/m@v1", "is not WORKSPACE/TARGET/COLUMN=VALUE"),
        ("w/*/weight=1", "belongs to a target"),
    ] {
        let error = stderr(&run(&fleet, &["table", "set", cell]).await);
        assert!(error.contains(expected), "{cell}: {error}");
    }
});

case!(export_edit_import, async {
    let fleet = Fleet::start(Plan::default()).await;
    let file = scratch_file();
    let path = file.display().to_string();
    stdout(&run(&fleet, &["table", "export", &path]).await);
    let sheet = std::fs::read_to_string(&file).expect("the sheet is there");
    std::fs::write(&file, sheet.replace("w,m@v1,yes,active,1,", "w,m@v1,yes,active,9,"))
        .expect("the sheet can be written");
    let imported = stdout(&run(&fleet, &["table", "import", &path]).await);
    assert!(imported.contains("changes 1 cells"), "{imported}");
    let again = stdout(&run(&fleet, &["table", "import", &path]).await);
    assert!(again.contains("already holds all"), "{again}");
    std::fs::write(&file, "workspace,target,weight\nw,m@v1,lots\n").expect("can be written");
    let error = stderr(&run(&fleet, &["table", "import", &path]).await);
    assert!(error.contains("a whole number from 0"), "{error}");
    std::fs::remove_file(&file).expect("the sheet can be removed");
});

case!(bill_and_dump, async {
    let fleet = Fleet::start(Plan::default()).await;
    for _ in 0..3 {
        send(fleet.caller(0).chat("m", "x", 8, false)).await.expect("a response");
    }
    wait_until("the records are in the ledger", || async { fleet.ledger_records().len() == 3 })
        .await;
    let totals = stdout(&run(&fleet, &["bill", "--totals", "--hours", "2"]).await);
    assert!(totals.contains("w,m@v1,3,27,27"), "{totals}");
    let lines = stdout(&run(&fleet, &["bill", "--hours", "2"]).await);
    assert_eq!(lines.lines().count(), 4, "{lines}");
    let dump = stdout(&run(&fleet, &["dump"]).await);
    assert!(dump.contains("\"role\": \"entry\"") && dump.contains("host-0"), "{dump}");
});

case!(metrics_count_requests_by_outcome, async {
    let fleet = Fleet::start(Plan::default()).await;
    send(fleet.caller(0).chat("m", "x", 2, false)).await.expect("a response");
    let addr = fleet.entries[0].addr("operators_addr");
    let http = reqwest::Client::builder().no_proxy().build().expect("a client can be made");
    let request = http.get(format!("http://{addr}/metrics")).bearer_auth(operators_key());
    let page = request.send().await.expect("a reply").text().await.expect("a page");
    assert!(page.contains("stallhoist_requests_total{outcome=\"completed\"} 1"), "{page}");
});

case!(wrong_operators_key_is_reported, async {
    let fleet = Fleet::start(Plan::default()).await;
    let error = stderr(&run(&fleet, &["table", "show", "--key", "wrong"]).await);
    assert!(error.contains("status 401"), "{error}");
});

case!(failure_of_an_edit_during_an_outage_is_reported, async {
    let fleet = Fleet::start(Plan::default()).await;
    fleet.platform.set_faults(Faults { outage: true, ..Faults::default() });
    let error = stderr(&run(&fleet, &["table", "set", "w/m@v1/weight=7"]).await);
    assert!(error.contains("status 503"), "{error}");
});

/// Runs a command that needs no fleet.
fn run_without_fleet(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stallhoist")).args(args).output().expect("the command runs")
}

#[test]
fn check_settings_reports_the_same_errors_as_starting() {
    let example = |name: &str| format!("{}/examples/{name}", env!("CARGO_MANIFEST_DIR"));
    let right = stdout(&run_without_fleet(&["check-settings", "entry", &example("entry.jsonc")]));
    assert!(right.contains("all settings are right"), "{right}");
    let error = stderr(&run_without_fleet(&["check-settings", "sidecar", &example("entry.jsonc")]));
    assert!(error.contains("key 'callers_addr'") && error.contains("unknown field"), "{error}");
}

#[test]
fn shell_completions_are_printed() {
    let bash = stdout(&run_without_fleet(&["completions", "bash"]));
    assert!(bash.contains("check-settings"), "{bash}");
}

#[test]
fn unreachable_endpoint_is_reported() {
    let error = stderr(&run_without_fleet(&["dump", "--addr", "http://127.0.0.1:1", "--key", "k"]));
    assert!(error.contains("cannot reach the operators' endpoint"), "{error}");
}
