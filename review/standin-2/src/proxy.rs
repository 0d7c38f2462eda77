//! The network in front of a worker: passes bytes on, or is cut so that connections are reset and new ones refused.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::socket::reset_on_close;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Until it runs.
    listener: Arc<Mutex<Option<TcpListener>>>,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Binds a free port.
    pub fn bind() -> Proxy {
        let bound = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = bound.local_addr().expect("a bound address");
        let listener = Arc::new(Mutex::new(Some(bound)));
        Proxy { address, listener, is_cut: Arc::default(), open: Arc::default() }
    }

    /// Passes connections on to a worker until the process ends.
    pub fn run(&self, to: SocketAddr) {
        let this = self.clone();
        let mut listener = self.listener.lock().unwrap().take();
        thread::spawn(move || {
            loop {
                if this.is_cut.load(Ordering::SeqCst) {
                    listener = None;
                    thread::sleep(Duration::from_millis(2));
                    continue;
                }
                let Some(bound) = &listener else {
                    listener = TcpListener::bind(this.address).ok();
                    continue;
                };
                let _ = bound.set_nonblocking(true);
                match bound.accept() {
                    Ok((stream, _)) => this.pass(stream, to),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => {}
                }
            }
        });
    }

    /// Cuts the way, or ends the cut.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in self.open.lock().unwrap().drain(..) {
                reset_on_close(&stream);
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn pass(&self, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nonblocking(false);
        let Ok(far) = TcpStream::connect(to) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        for (from, into) in [(&near, &far), (&far, &near)] {
            let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) else { return };
            thread::spawn(move || copy(from, into));
        }
        self.open.lock().unwrap().extend([near, far]);
    }
}

/// Copies bytes; the end or the break of one side is passed on to the other.
fn copy(mut from: TcpStream, mut into: TcpStream) {
    let mut bytes = [0; 16 << 10];
    loop {
        match from.read(&mut bytes) {
            Ok(0) => {
                let _ = into.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) if into.write_all(&bytes[..count]).is_ok() => {}
            _ => {
                reset_on_close(&into);
                let _ = (into.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
