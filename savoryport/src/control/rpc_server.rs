//! Serves the replica of the fleet's state to the entry on this VM and to other control processes.

use std::time::Duration;

use futures::StreamExt;
use savoryport_core::replica::Update;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio_util::sync::CancellationToken;

use super::{Context, ControlError};
use crate::rpc::{ControlService, PullRequest, VmStatus};

/// The maximum time that a pull waits for changes.
const MAX_WAIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct RpcServer {
    cx: Context,
}

impl ControlService for RpcServer {
    async fn pull(self, _: context::Context, req: PullRequest) -> Update {
        if let Some(demand) = req.demand {
            self.cx.state.record_demand(&req.vm, demand, self.cx.clock.now());
        }
        if let Some(status) = req.entry.filter(|_| req.vm == self.cx.settings.vm) {
            self.cx.state.set_entry_status(status);
        }
        let mut replica_rx = self.cx.state.subscribe();
        let timeout = Duration::from_millis(req.wait_ms).min(MAX_WAIT);
        let next_update = async {
            loop {
                let update = replica_rx.borrow_and_update().update_for(&req.have);
                if !update.is_empty() || replica_rx.changed().await.is_err() {
                    return update;
                }
            }
        };
        tokio::time::timeout(timeout, next_update).await.unwrap_or_default()
    }

    async fn status(self, _: context::Context) -> VmStatus {
        VmStatus {
            vm: self.cx.settings.vm.clone(),
            failure_domain: self.cx.settings.failure_domain.clone(),
            versions: self.cx.state.replica().versions(),
            entry: self.cx.state.entry_status(),
        }
    }
}

/// Starts listening for calls.
pub(super) async fn start(cx: &Context, cancel: CancellationToken) -> Result<(), ControlError> {
    let address = cx.settings.control_listen.clone();
    let listen_result = tarpc::serde_transport::tcp::listen(&*address, Json::default).await;
    let mut listener = listen_result.map_err(|err| ControlError::Listen { address, err })?;
    let server = RpcServer { cx: cx.clone() };
    tokio::spawn(cancel.clone().run_until_cancelled_owned(async move {
        while let Some(connection) = listener.next().await {
            let Ok(transport) = connection else { continue };
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            let serve_requests = requests.for_each_concurrent(None, |handler| handler);
            tokio::spawn(cancel.clone().run_until_cancelled_owned(serve_requests));
        }
    }));
    Ok(())
}
