//! Tests of the HTTP server that the stand-ins are built on.

use savoryport_standin::burst::count_unanswered;
use savoryport_standin::http::{HttpServer, respond_json};

#[test]
fn a_connection_of_a_burst_waits_for_no_other_one() {
    for burst in 0..100 {
        let server = HttpServer::start("127.0.0.1:0", |req| respond_json(req, 200, &"ready"));
        assert_eq!(count_unanswered(server.address(), "/"), 0, "in burst {burst}");
    }
}
