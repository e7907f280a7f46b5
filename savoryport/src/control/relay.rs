//! Serves what this process knows to the entry beside it and to other control processes.

use std::time::Duration;

use futures::StreamExt;
use savoryport_core::replica::Update;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio_util::sync::CancellationToken;

use super::{Context, ControlError};
use crate::rpc::{ControlService, PullRequest, VmStatus};

/// The longest that one call is kept waiting.
const MAX_WAIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct RelayServer {
    cx: Context,
}

impl ControlService for RelayServer {
    async fn pull(self, _: context::Context, req: PullRequest) -> Update {
        if let Some(demand) = req.demand {
            self.cx.hub.note_demand(&req.vm, demand, self.cx.clock.now());
        }
        if let Some(entry) = req.entry.filter(|_| req.vm == self.cx.settings.vm) {
            self.cx.hub.note_entry(entry);
        }
        let mut changes = self.cx.hub.subscribe();
        let wait = Duration::from_millis(req.wait_ms).min(MAX_WAIT);
        let news = async {
            loop {
                let update = changes.borrow_and_update().update_for(&req.have);
                if !update.is_empty() || changes.changed().await.is_err() {
                    return update;
                }
            }
        };
        tokio::time::timeout(wait, news).await.unwrap_or_default()
    }

    async fn status(self, _: context::Context) -> VmStatus {
        VmStatus {
            vm: self.cx.settings.vm.clone(),
            failure_domain: self.cx.settings.failure_domain.clone(),
            versions: self.cx.hub.replica().versions(),
            entry: self.cx.hub.entry(),
        }
    }
}

/// Starts listening.
pub(super) async fn start(cx: &Context, cancel: CancellationToken) -> Result<(), ControlError> {
    let address = cx.settings.control_listen.clone();
    let listening = tarpc::serde_transport::tcp::listen(&*address, Json::default).await;
    let mut listener = listening.map_err(|err| ControlError::Listen { address, err })?;
    let server = RelayServer { cx: cx.clone() };
    tokio::spawn(cancel.clone().run_until_cancelled_owned(async move {
        while let Some(connection) = listener.next().await {
            let Ok(transport) = connection else { continue };
            let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
            let serving = requests.for_each_concurrent(None, |answer| answer);
            tokio::spawn(cancel.clone().run_until_cancelled_owned(serving));
        }
    }));
    Ok(())
}
