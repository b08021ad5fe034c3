//! A link between a host and the store that can be cut.
//!
//! A cut is silent. What was sent over a connection that was open before the cut arrives when the cut
//! heals, as TCP sends it again, also after its sender has closed the connection. A connection that
//! is opened during the cut never reaches the other side.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

/// A link.
#[derive(Clone, Debug)]
pub struct Link {
    /// The address at which the host finds the store.
    pub addr: SocketAddr,
    /// Whether the link is cut, and who waits for its end.
    cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    /// Opens a link to the store.
    pub fn open(store: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let link = Self { addr: listener.local_addr()?, cut: Arc::default() };
        let accepting = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = accepting.clone();
                thread::spawn(move || link.carry(near, store));
            }
        });
        Ok(link)
    }

    /// Cuts the link, or heals it.
    pub fn set_cut(&self, cut: bool) {
        *self.cut.0.lock().unwrap_or_else(PoisonError::into_inner) = cut;
        self.cut.1.notify_all();
    }

    /// Returns whether the link is cut.
    fn is_cut(&self) -> bool {
        *self.cut.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link is not cut.
    fn wait_until_healed(&self) {
        let cut = self.cut.0.lock().unwrap_or_else(PoisonError::into_inner);
        drop(self.cut.1.wait_while(cut, |cut| *cut));
    }

    /// Carries one connection.
    fn carry(&self, near: TcpStream, store: SocketAddr) {
        if self.is_cut() {
            // Says nothing, and is gone with the cut.
            return self.wait_until_healed();
        }
        let Ok(far) = TcpStream::connect(store) else {
            return;
        };
        let streams = (near.try_clone(), far.try_clone());
        let (Ok(near_again), Ok(far_again)) = streams else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.pump(far_again, near_again));
        self.pump(near, far);
    }

    /// Passes on what one side sends, and its end.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        drop(to.set_nodelay(true));
        let mut buffer = [0; 16 << 10];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            self.wait_until_healed();
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        drop(to.shutdown(Shutdown::Write));
    }
}
