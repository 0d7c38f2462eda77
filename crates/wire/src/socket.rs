//! Sockets between boxes.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

/// Time after which a connection with unacknowledged data is closed.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connects to another box from the local address `source`.
pub(crate) async fn connect(address: SocketAddr, source: IpAddr) -> std::io::Result<TcpStream> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}

/// Has a connection that carries tunnels closed once data stays unacknowledged. Its keep-alive is that of `h2`: pings.
pub(crate) fn limit_unacknowledged(socket: SockRef<'_>) {
    if let Err(error) = socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)) {
        tracing::warn!(event = "socket_option_refused", %error);
    }
}
