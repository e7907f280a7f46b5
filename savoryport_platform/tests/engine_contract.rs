//! Contract tests of orders to model engines and of their state, and tests of the connection pool.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use savoryport_core::ledger::{EngineState, HolderId, ItemState, Order, OrderKind, OrderResponse};
use savoryport_platform::connection::{Pool, SendError};
use savoryport_platform::engine::{EngineClient, EngineError};
use savoryport_standin::engine::{EngineConfig, EngineStandin};
use savoryport_standin::proxy::Proxy;
use savoryport_standin::service::ServiceStandin;

const TIMEOUT: Duration = Duration::from_millis(400);

fn start_engine(checks_fencing: bool) -> EngineStandin {
    let load_time = Duration::from_millis(5);
    let cfg =
        EngineConfig { capacity_mib: 100, checks_fencing, load_time, ..EngineConfig::default() };
    EngineStandin::start("127.0.0.1:0", cfg, 7)
}

fn new_order(fence: u64, kind: OrderKind, item: &str) -> Order {
    let issuer = HolderId { vm: "vm-1".into(), incarnation: 1 };
    Order { fence, kind, item: item.into(), base: None, memory_mib: 60, issuer }
}

fn expect_accepted(response: OrderResponse) -> EngineState {
    match response {
        OrderResponse::Accepted(state) => state,
        OrderResponse::Refused(state) => panic!("refused: {state:?}"),
    }
}

fn wait_until_loaded(client: &EngineClient, item: &str) {
    for _ in 0..200 {
        let state = client.state().unwrap();
        if state.get(item).is_some_and(|item| item.state == ItemState::Loaded) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("{item} is not loaded");
}

#[test]
fn repeated_orders_have_no_effect_and_the_state_shows_the_result() {
    let engine = start_engine(true);
    let client = EngineClient::new(engine.address(), TIMEOUT);
    let load = new_order(1, OrderKind::Load, "a");
    for _ in 0..3 {
        assert_eq!(expect_accepted(client.send_order(&load).unwrap()).items.len(), 1);
    }
    wait_until_loaded(&client, "a");
    let state = expect_accepted(client.send_order(&new_order(2, OrderKind::Unload, "a")).unwrap());
    assert_eq!((state.items.len(), state.incarnation, state.highest_fence), (0, 7, 2));
}

#[test]
fn an_order_with_an_outdated_fencing_token_is_refused_only_if_the_engine_checks() {
    for checks_fencing in [true, false] {
        let engine = start_engine(checks_fencing);
        let client = EngineClient::new(engine.address(), TIMEOUT);
        expect_accepted(client.send_order(&new_order(5, OrderKind::Load, "a")).unwrap());
        let outdated = client.send_order(&new_order(4, OrderKind::Load, "b")).unwrap();
        assert_eq!(matches!(outdated, OrderResponse::Refused(_)), checks_fencing);
        // An outdated order that is not refused can overcommit the engine's memory.
        assert_eq!(engine.counts().overcommitted_mib, if checks_fencing { 0 } else { 20 });
    }
}

#[test]
fn an_order_whose_response_is_lost_is_an_error_and_may_have_been_carried_out() {
    let engine = start_engine(true);
    let client = EngineClient::new(engine.address(), TIMEOUT);
    engine.set_faults(|faults| faults.order_responses_to_drop = 1);
    let lost = client.send_order(&new_order(1, OrderKind::Load, "a"));
    assert_matches!(lost, Err(EngineError::Unanswered { .. }));
    wait_until_loaded(&client, "a");
}

#[test]
fn a_restarted_engine_has_a_new_incarnation_and_nothing_in_memory() {
    let engine = start_engine(true);
    let client = EngineClient::new(engine.address(), TIMEOUT);
    expect_accepted(client.send_order(&new_order(9, OrderKind::Load, "a")).unwrap());
    engine.restart();
    let state = client.state().unwrap();
    assert_eq!((state.incarnation, state.highest_fence, state.items.len()), (8, 0, 0));
}

fn request(id: &str) -> Request<Full<Bytes>> {
    Request::post("/pay").header("x-request-id", id).body(Full::default()).unwrap()
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap()
}

#[test]
fn a_request_on_a_stale_connection_is_never_repeated_by_the_client() {
    let service = ServiceStandin::start("127.0.0.1:0");
    let proxy = Proxy::start("127.0.0.1:0", service.address());
    runtime().block_on(async {
        let (pool, address) = (Pool::default(), proxy.address().into());
        let mut first = pool.connect(&address, true, TIMEOUT).await.unwrap();
        first.send(request("one")).await.unwrap().into_body().collect().await.unwrap();
        pool.release(first);
        // The connection is closed before the response to the next request arrives.
        service.set_faults(|faults| faults.delay = Duration::from_millis(200));
        let mut second = pool.connect(&address, true, TIMEOUT).await.unwrap();
        let send = second.send(request("two"));
        let close = async {
            tokio::time::sleep(Duration::from_millis(80)).await;
            proxy.close_connections();
        };
        let (result, ()) = tokio::join!(send, close);
        assert_matches!(result, Err(SendError::Broken { .. }));
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(service.executions().get("two"), Some(&1));
}

#[test]
fn connecting_without_reuse_opens_a_new_connection() {
    let service = ServiceStandin::start("127.0.0.1:0");
    let proxy = Proxy::start("127.0.0.1:0", service.address());
    runtime().block_on(async {
        let (pool, address) = (Pool::default(), proxy.address().into());
        let mut first = pool.connect(&address, true, TIMEOUT).await.unwrap();
        first.send(request("one")).await.unwrap().into_body().collect().await.unwrap();
        pool.release(first);
        proxy.blackhole_open_connections();
        let mut fresh = pool.connect(&address, false, TIMEOUT).await.unwrap();
        let response = tokio::time::timeout(TIMEOUT, fresh.send(request("two"))).await;
        assert!(response.is_ok_and(|response| response.is_ok()));
    });
}

#[test]
fn a_refused_connection_is_reported_as_not_connected() {
    runtime().block_on(async {
        let refused = Pool::default().connect(&"127.0.0.1:1".into(), false, TIMEOUT).await;
        assert_matches!(refused, Err(SendError::NotConnected { .. }));
    });
}
