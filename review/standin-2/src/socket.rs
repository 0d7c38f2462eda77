//! Reset of a connection, for which the standard library has no stable call.

use std::{net::TcpStream, os::fd::AsRawFd};

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Has the connection reset once its last descriptor is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = size_of::<Linger>() as u32;
    // The descriptor is open, and the value lives until the call returns.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}
