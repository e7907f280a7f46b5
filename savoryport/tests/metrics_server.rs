//! Tests of the HTTP server for metrics, status and commands.

use prometheus_client::registry::Registry;
use savoryport::metrics_server::serve_metrics;
use savoryport_standin::burst::count_unanswered;
use savoryport_standin::fleet::free_address;
use serde_json::json;
use tokio_util::sync::CancellationToken;

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_gets_the_status_while_others_keep_their_connections() {
    for burst in 0..20 {
        let (address, cancel) = (free_address(), CancellationToken::new());
        serve_metrics(&address, Registry::default(), || json!({}), cancel.clone()).unwrap();
        assert_eq!(count_unanswered(&address, "/status"), 0, "in burst {burst}");
        cancel.cancel();
    }
}
