//! Upstreams that reset the connections beyond those that they accept.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use stallhoist_gateway::Gateway;
use stallhoist_standins::users_platform::StoreStandin;

use super::world::KEY;
use super::world::PLAIN;
use super::world::config;
use super::world::readiness;
use super::world::settings;
use super::world::start_gateway_up_for;
use crate::case::case;
use crate::harness::wait_until;

/// How long the upstream takes for a request.
const WORK: Duration = Duration::from_millis(150);

/// A gateway on a host that was listed before is counted by its peers after this time.
const UPTIME: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct Counts {
    open: AtomicUsize,
    most_open: AtomicUsize,
    reset: AtomicUsize,
    run: AtomicUsize,
}

/// An upstream that accepts so many connections and resets the rest at once. Each connection has a thread, so that
/// a busy test runtime delays no reset.
#[derive(Debug)]
struct CappedUpstream {
    addr: SocketAddr,
    counts: Arc<Counts>,
}

impl CappedUpstream {
    fn start(max_connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let counts = Arc::new(Counts::default());
        let accepting = Arc::clone(&counts);
        thread::spawn(move || accept(&listener, max_connections, &accepting));
        Self { addr, counts }
    }
}

fn accept(listener: &TcpListener, max_connections: usize, counts: &Arc<Counts>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let open = counts.open.fetch_add(1, Ordering::SeqCst) + 1;
        counts.most_open.fetch_max(open, Ordering::SeqCst);
        if open > max_connections {
            counts.open.fetch_sub(1, Ordering::SeqCst);
            counts.reset.fetch_add(1, Ordering::SeqCst);
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an open socket");
            continue;
        }
        let counts = Arc::clone(counts);
        thread::spawn(move || {
            let served = serve(stream, &counts);
            counts.open.fetch_sub(1, Ordering::SeqCst);
            served
        });
    }
}

/// Reads a request without a body and responds to it.
fn serve(stream: TcpStream, counts: &Counts) -> io::Result<()> {
    let mut id = String::new();
    for line in BufReader::new(&stream).lines() {
        let line = line?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("request-id")
        {
            value.trim().clone_into(&mut id);
        }
    }
    if id.is_empty() {
        return Ok(());
    }
    counts.run.fetch_add(1, Ordering::SeqCst);
    thread::sleep(WORK);
    let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: seal.1\r\n");
    (&stream)
        .write_all(format!("{head}content-length: 4\r\nconnection: close\r\n\r\ndone").as_bytes())
}

/// Some gateways and an upstream that accepts fewer connections than it states.
struct World {
    _store: StoreStandin,
    gateways: Vec<Gateway>,
    upstream: CappedUpstream,
    http: Client,
}

impl World {
    async fn start(gateways: usize, stated: usize, accepted: usize, is_divided: bool) -> Self {
        let store = StoreStandin::start().await.expect("the store starts");
        let mut config = config(1);
        config["services"][0]["max_conns"] = json!(stated);
        store.put("op", "config", config);
        let upstream = CappedUpstream::start(accepted);
        let row = json!({
            "service": PLAIN, "address": upstream.addr.to_string(), "zone": "zone-1",
            "version": "v1", "slots": 1, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
        });
        store.put("servers", "i-0", row);
        let http = Client::builder().no_proxy().build().expect("a client can be made");
        let mut started = Vec::new();
        for n in 0..gateways {
            let listed = json!({ "peers_addr": "127.0.0.1:1" });
            store.put("stallhoist-entries", &format!("entry-{n}"), listed);
        }
        for n in 0..gateways {
            let mut settings = settings(&store);
            settings.host.id = format!("entry-{n}").parse().expect("a name");
            settings.decisions.divides_connections = is_divided;
            started.push(start_gateway_up_for(settings, UPTIME).await);
        }
        for gateway in &started {
            let addr = gateway.readiness_addr().to_string();
            wait_until("the gateway is ready", async || readiness(&http, &addr).await == 200).await;
            let url = format!("http://{}/state", gateway.operators_addr());
            wait_until("the gateways are known", async || {
                let dump = http.get(&url).send().await.expect("the dump is served");
                let dump: Value = dump.json().await.expect("the dump is JSON");
                dump["entries"].as_u64().is_some_and(|entries| entries >= gateways as u64)
            })
            .await;
        }
        Self { _store: store, gateways: started, upstream, http }
    }

    /// Sends so many requests that may run only once to each gateway at once. Returns the statuses.
    async fn send(&self, count: usize) -> Vec<u16> {
        let requests = self.gateways.iter().enumerate().flat_map(|(gateway, running)| {
            let addr = running.callers_addr();
            (0..count).map(move |n| async move {
                let request = self.http.post(format!("http://{addr}/once/x"));
                let request = request.header("Host", "test.example").bearer_auth(KEY);
                let request = request.header("Request-Id", format!("id-{gateway}-{n}"));
                let answer = request.send().await.expect("an answer");
                answer.status().as_u16()
            })
        });
        join_all(requests).await
    }
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

// Guards against reporting "may have run" to callers of an upstream that resets surplus connections: such a request
// cannot be sent again, though nothing of it was sent.
case!(a_surplus_connection_is_reset_before_anything_is_sent, async {
    let world = World::start(1, 400, 8, true).await;
    let statuses = world.send(40).await;
    let reset = world.upstream.counts.reset.load(Ordering::SeqCst);
    assert!(reset > 0, "nothing was reset");
    // On a busy machine the upstream may accept some connections too late.
    assert!(count(&statuses, 502) <= reset / 4, "{reset} were reset: {statuses:?}");
    assert_eq!(count(&statuses, 200), world.upstream.counts.run.load(Ordering::SeqCst));
});

// Guards against gateways that each keep to a fixed part of what an upstream accepts and go over it together.
case!(gateways_keep_to_what_an_upstream_accepts_together, async {
    let world = World::start(4, 24, 24, true).await;
    let statuses = world.send(20).await;
    let most_open = world.upstream.counts.most_open.load(Ordering::SeqCst);
    assert!(most_open <= 24, "{most_open} were open");
    assert_eq!(world.upstream.counts.reset.load(Ordering::SeqCst), 0);
    assert_eq!(count(&statuses, 200) + count(&statuses, 503), statuses.len(), "{statuses:?}");
});
