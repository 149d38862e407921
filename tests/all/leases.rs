//! Leases with fencing tokens, against the stand-in of the platform.

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

const LEASE_DURATION: Duration = Duration::from_secs(10);

fn at_s(seconds: u64) -> MonoTime {
    MonoTime::default().after(Duration::from_secs(seconds))
}

async fn platform() -> PlatformStandin {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    PlatformStandin::start(addr).await.expect("the platform starts")
}

fn holder(platform: &PlatformStandin) -> LeaseClient {
    let client = PlatformClient::new(&platform.url(), Duration::from_secs(5));
    LeaseClient::new(client, IncarnationId::generate(), "roll-out", LEASE_DURATION)
}

case!(one_process_holds_and_renews_a_lease, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    let first = a.acquire(at_s(0)).await.expect("the lease is free");
    assert!(first.is_valid(at_s(9)) && !first.is_valid(at_s(10)));
    assert!(matches!(b.acquire(at_s(0)).await, Err(LeaseError::HeldByAnother)));
    let renewed = a.acquire(at_s(8)).await.expect("the holder renews the lease");
    assert_eq!(renewed.token, first.token);
    assert!(renewed.is_valid(at_s(17)));
});

// The former holder is paused and does not know that its lease has expired, but its token is
// lower than the new one.
case!(an_expired_lease_is_taken_over_with_a_higher_token, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    let old = a.acquire(at_s(0)).await.expect("the lease is free");
    assert!(b.acquire(at_s(1)).await.is_err(), "b starts to observe the lease");
    assert!(b.acquire(at_s(10)).await.is_err(), "not yet expired by the clock of b");
    let new = b.acquire(at_s(12)).await.expect("it was not renewed for its whole duration");
    assert!(new.token > old.token);
    assert!(matches!(a.acquire(at_s(12)).await, Err(LeaseError::HeldByAnother)));
});

case!(a_renewal_restarts_the_observation, async {
    let platform = platform().await;
    let (mut a, mut b) = (holder(&platform), holder(&platform));
    a.acquire(at_s(0)).await.expect("the lease is free");
    assert!(b.acquire(at_s(1)).await.is_err());
    a.acquire(at_s(9)).await.expect("the lease is renewed");
    assert!(b.acquire(at_s(12)).await.is_err(), "the observation restarts at the renewal");
    assert!(b.acquire(at_s(23)).await.is_ok());
});

// The write succeeds and its reply is lost: the lease counts as not held until the next call
// reads it.
case!(a_lost_reply_is_resolved_by_the_next_call, async {
    let platform = platform().await;
    let mut a = holder(&platform);
    platform.set_faults(Faults { lose_write_replies: 1, ..Faults::default() });
    assert!(matches!(a.acquire(at_s(0)).await, Err(LeaseError::Store(_))));
    a.acquire(at_s(1)).await.expect("the lease is found");
});

case!(no_lease_is_acquired_during_an_outage, async {
    let platform = platform().await;
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(holder(&platform).acquire(at_s(0)).await, Err(LeaseError::Store(_))));
});
