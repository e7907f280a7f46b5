//! Connections to other nodes, one for each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use super::rpc::{PeerConnection, PeerError};

/// Open connections by address.
#[derive(Debug, Default)]
pub struct PeerConnections(Mutex<HashMap<SocketAddr, PeerConnection>>);

impl PeerConnections {
    /// Returns a connection, opening one if none is open.
    ///
    /// # Errors
    ///
    /// Returns an error where nobody answers at the address.
    pub async fn get_or_connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        if let Some(open) = self.0.lock().expect("no holder panics").get(&address) {
            return Ok(open.clone());
        }
        let opened = PeerConnection::connect(address).await?;
        self.0.lock().expect("no holder panics").insert(address, opened.clone());
        Ok(opened)
    }

    /// Drops a connection that gave no answer.
    pub fn remove(&self, address: SocketAddr) {
        self.0.lock().expect("no holder panics").remove(&address);
    }
}
