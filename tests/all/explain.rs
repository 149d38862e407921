//! Tests `stallhoist explain`, which extracts from a log what explains a request's result.

use std::io::Write;
use std::process::Command;
use std::process::Stdio;

use expect_test::expect;

const LOG: &str = r#"started without JSON
{"timestamp":"10:00:01","level":"INFO","message":"configuration in force","kvs":{"version":"7"}}
{"timestamp":"10:00:02","level":"WARN","message":"store lost","kvs":{"feed":"Members"}}
{"timestamp":"10:00:03","level":"INFO","message":"request ended","kvs":{"request":"id-1"}}
 12.5 front-1 {"timestamp":"10:00:04","level":"INFO","message":"attempt without an answer","kvs":{"request":"id-2","attempt":1,"reason":"not sent"}}
{"timestamp":"10:00:05","level":"INFO","message":"store reached","kvs":{"feed":"Members"}}
{"timestamp":"10:00:06","level":"INFO","message":"request ended","kvs":{"request":"id-2","result":"answered","attempts":1}}
{"timestamp":"10:00:07","level":"INFO","message":"draining","kvs":{}}
"#;

/// Runs the command with the log on standard input. Returns the exit code, standard output and
/// standard error.
fn explain(id: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stallhoist"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(LOG.as_bytes()).expect("the program reads the log");
    drop(stdin);
    let output = child.wait_with_output().expect("the program exits");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn a_request_is_shown_with_the_state_that_explains_it() {
    let (code, shown, _) = explain("id-2");
    assert_eq!(code, Some(0));
    expect![[r#"
        10:00:01 INFO configuration in force version=7
        10:00:02 WARN store lost feed=Members
        10:00:04 INFO attempt without an answer attempt=1 reason=not sent
        10:00:05 INFO store reached feed=Members
        10:00:06 INFO request ended attempts=1 result=answered
    "#]]
    .assert_eq(&shown);
}

#[test]
fn an_unknown_id_is_an_error() {
    let (code, shown, error) = explain("id-9");
    assert_eq!((code, shown.as_str()), (Some(1), ""));
    expect![[r#"
        stallhoist: the log says nothing of a request 'id-9'
    "#]]
    .assert_eq(&error);
}
