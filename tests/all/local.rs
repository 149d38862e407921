//! Tests `stallhoist local` as the README uses it: it serves models and services, and stops on
//! SIGTERM.

use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;

use crate::case::case;
use crate::harness::Caller;
use crate::harness::send;
use crate::harness::wait_until;

/// Kills the program when the test ends.
struct Local(Child);

impl Drop for Local {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

case!(serves_models_and_services_and_stops_when_told, async {
    let name = format!("stallhoist-test-{}.json", uuid::Uuid::new_v4().simple());
    let file = std::env::temp_dir().join(name);
    let child = Command::new(env!("CARGO_BIN_EXE_stallhoist"))
        .args(["local", "--engines", "1", "--addresses-file"])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let mut local = Local(child);
    let read_addresses =
        || -> Option<Value> { serde_json::from_str(&std::fs::read_to_string(&file).ok()?).ok() };
    wait_until("the addresses are written", || async { read_addresses().is_some() }).await;
    let addresses = read_addresses().expect("addresses");
    let text = |key: &str| addresses[key].as_str().expect("a text").to_owned();
    let callers = text("callers_url").replace("http://", "").parse().expect("an address");
    let caller = Caller::new(callers).with_key(&text("workspace_key"));
    for model in addresses["models"].as_array().expect("a list") {
        let model = model.as_str().expect("a name");
        let answer = send(caller.chat(model, "hello", 4, true)).await.expect("an answer");
        assert_eq!(answer.status, 200, "{model}: {answer:?}");
        assert!(answer.body.contains("[DONE]"));
    }
    let answer = send(caller.call("ledger", "fund", "k", "x")).await.expect("an answer");
    assert_eq!(answer.outcome, "completed");
    let id = i32::try_from(local.0.id()).expect("a process ID fits in 32 bits");
    kill(Pid::from_raw(id), Signal::SIGTERM).expect("the program can be signalled");
    let child = std::sync::Mutex::new(&mut local.0);
    wait_until("the program has exited", || async {
        let status = child.lock().expect("nobody panicked").try_wait().expect("can be waited for");
        status.is_some_and(|status| status.success())
    })
    .await;
    std::fs::remove_file(&file).expect("the file can be removed");
});
