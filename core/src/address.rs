//! Addresses that other programs state.

use std::net::SocketAddr;

/// Whether a process may listen at the address, as others see it: that of one host, with a port.
pub fn is_reachable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}
