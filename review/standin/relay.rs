//! The network between one side machine and the control machines: a relay for each control machine, with an
//! address of its own, that can be cut. The relay puts these addresses in place of the control machines' in what
//! they answer, as an address translation does; else it passes all bytes on unchanged.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub struct Network {
    cut: Arc<AtomicBool>,
}

impl Network {
    /// Relays each pair's first address to its second. `addresses` are the control machines' addresses as they
    /// stand in their answers, each with the one of the same length to put in its place.
    pub fn start(pairs: &[(SocketAddr, SocketAddr)], addresses: &[(String, String)]) -> Network {
        let cut = Arc::new(AtomicBool::new(false));
        for &(listen, to) in pairs {
            let listener = TcpListener::bind(listen).expect("relay");
            let cut = cut.clone();
            let addresses: Arc<[(String, String)]> = addresses.into();
            std::thread::spawn(move || {
                for client in listener.incoming().flatten() {
                    let (cut, addresses) = (cut.clone(), addresses.clone());
                    std::thread::spawn(move || connect(client, to, &cut, &addresses));
                }
            });
        }
        Network { cut }
    }

    /// While cut, no byte passes in either direction, and nobody is told.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn connect(
    client: TcpStream,
    to: SocketAddr,
    cut: &Arc<AtomicBool>,
    addresses: &Arc<[(String, String)]>,
) {
    wait_until_whole(cut);
    let Ok(server) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let there = cut.clone();
    std::thread::spawn(move || pass(from_client, to_server, &there, &[]));
    pass(server, client, cut, addresses);
}

fn wait_until_whole(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool, addresses: &[(String, String)]) {
    let mut held = Vec::new();
    let mut part = [0; 65_536];
    loop {
        let count = match from.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        wait_until_whole(cut);
        held.extend_from_slice(&part[..count]);
        for (real, shown) in addresses {
            replace(&mut held, real.as_bytes(), shown.as_bytes());
        }
        let ready = held.len() - begun(&held, addresses);
        if to.write_all(&held[..ready]).is_err() {
            break;
        }
        held.drain(..ready);
    }
    let _ = to.write_all(&held);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn replace(bytes: &mut [u8], real: &[u8], shown: &[u8]) {
    assert_eq!(real.len(), shown.len());
    let mut at = 0;
    while at + real.len() <= bytes.len() {
        if bytes[at..].starts_with(real) {
            bytes[at..at + real.len()].copy_from_slice(shown);
        }
        at += 1;
    }
}

/// Length of the end of `bytes` with which an address may begin.
fn begun(bytes: &[u8], addresses: &[(String, String)]) -> usize {
    let longest = addresses
        .iter()
        .map(|(real, _)| real.len())
        .max()
        .unwrap_or(0);
    (1..longest.min(bytes.len() + 1))
        .rev()
        .find(|&length| {
            let end = &bytes[bytes.len() - length..];
            addresses
                .iter()
                .any(|(real, _)| length < real.len() && real.as_bytes().starts_with(end))
        })
        .unwrap_or(0)
}
