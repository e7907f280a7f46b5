//! The bound on idle connections over all servers.

use std::net::TcpListener;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_platform::connection::{Liveness, Pool};

/// Guards against connections to many servers that take the descriptors of callers.
#[tokio::test]
async fn the_longest_idle_connection_is_closed_first() {
    let listeners: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<Name> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap().to_string().into())
        .collect();
    let pool = Pool::with_max_idle(2);
    for address in &addresses {
        let liveness = pool.probe(address, Duration::from_secs(5)).await;
        assert_eq!(liveness, Liveness::Accepts);
    }
    let idle: Vec<bool> =
        addresses.iter().map(|address| pool.has_idle(address, Duration::MAX)).collect();
    assert_eq!(idle, [false, false, true, true]);
    assert_eq!(pool.idle_count(), 2);
}
