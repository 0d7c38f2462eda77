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

/// Sets the options of a connection that carries tunnels. Its keep-alive is that of `h2`: pings.
pub(crate) fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
