//! Leases with fencing tokens, against the platform's stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_coordination::LeaseClient;
use stallhoist_coordination::LeaseError;
use stallhoist_core::IncarnationId;
use stallhoist_core::MonoTime;
use stallhoist_platform::PlatformClient;
use stallhoist_standins::platform::Faults;
use stallhoist_standins::platform::PlatformStandin;

use crate::case::case;

const LASTS: Duration = Duration::from_secs(10);

fn at_s(seconds: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(seconds))
}

async fn platform() -> PlatformStandin {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformStandin::start(addr).await.expect("the platform starts")
}

fn holder(platform: &PlatformStandin) -> LeaseClient {
    let client = PlatformClient::new(&platform.url(), Duration::from_secs(5));
    LeaseClient::new(client, IncarnationId::generate(), "roll-out", LASTS)
}

case!(one_holds_it_and_renews, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    let first = a.acquire(at_s(0)).await.expect("it is free");
    assert!(first.is_valid(at_s(9)) && !first.is_valid(at_s(10)));
    assert!(matches!(b.acquire(at_s(0)).await, Err(LeaseError::HeldByAnother)));
    let renewed = a.acquire(at_s(8)).await.expect("its holder renews it");
    assert_eq!(renewed.token, first.token);
    assert!(renewed.is_valid(at_s(17)));
});

// The paused holder still believes that it holds the lease, but its token is old.
case!(a_lapsed_lease_goes_over_with_a_higher_token, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    let old = a.acquire(at_s(0)).await.expect("it is free");
    assert!(b.acquire(at_s(1)).await.is_err(), "b begins to watch");
    assert!(b.acquire(at_s(10)).await.is_err(), "not yet, by b's own clock");
    let new = b.acquire(at_s(12)).await.expect("it was not renewed for its whole length");
    assert!(new.token > old.token);
    assert!(matches!(a.acquire(at_s(12)).await, Err(LeaseError::HeldByAnother)));
});

case!(a_renewal_starts_the_watch_anew, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    a.acquire(at_s(0)).await.expect("it is free");
    assert!(b.acquire(at_s(1)).await.is_err());
    a.acquire(at_s(9)).await.expect("it is renewed");
    assert!(b.acquire(at_s(12)).await.is_err(), "the watch begins at the renewal");
    assert!(b.acquire(at_s(23)).await.is_ok());
});

// The write takes effect and its reply is lost: it counts as not held until the next
// call finds it.
case!(a_lost_reply_is_found_out, async {
    let platform = platform().await;
    let mut a = holder(&platform);
    platform.set_faults(Faults { lose_write_replies: 1, ..Faults::default() });
    assert!(matches!(a.acquire(at_s(0)).await, Err(LeaseError::Store(_))));
    a.acquire(at_s(1)).await.expect("its own lease is found");
});

case!(nobody_gets_it_in_an_outage, async {
    let platform = platform().await;
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(holder(&platform).acquire(at_s(0)).await, Err(LeaseError::Store(_))));
});
