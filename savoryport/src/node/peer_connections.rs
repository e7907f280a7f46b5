//! Cached connections to other nodes, one for each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use super::rpc::{PeerConnection, PeerError};

/// The open connections, by address.
#[derive(Debug, Default)]
pub struct PeerConnections(Mutex<HashMap<SocketAddr, PeerConnection>>);

impl PeerConnections {
    /// Returns the connection to an address, and opens it if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or times out.
    pub async fn get_or_connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        if let Some(open) =
            self.0.lock().expect("no thread panics while holding the lock").get(&address)
        {
            return Ok(open.clone());
        }
        let opened = PeerConnection::connect(address).await?;
        self.0
            .lock()
            .expect("no thread panics while holding the lock")
            .insert(address, opened.clone());
        Ok(opened)
    }

    /// Drops the connection to an address, so that the next call opens a new one.
    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().expect("no thread panics while holding the lock").remove(&address);
    }
}
