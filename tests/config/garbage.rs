//! Random bytes to every port, and clients that stay silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use base::prelude::*;
use ops::EntryPort;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::rig::{Desk, client, companion, wait_for_generation, wait_until};

const ROUNDS: u32 = 50;
const SEED: u64 = 11;

/// Sends bytes and reads whatever comes back until the other end or the guard ends it.
fn send(addr: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        panic!("{addr} takes no connection");
    };
    let guard = Some(Duration::from_secs(5));
    stream.set_read_timeout(guard).expect("timeout");
    // The other end may cut the connection at any moment; that is its right.
    drop(stream.write_all(bytes));
    drop(stream.shutdown(Shutdown::Write));
    drop(stream.read_to_end(&mut Vec::new()));
}

/// Returns bytes that are noise, or begin like a request.
fn garbage(rng: &mut ChaCha8Rng) -> Vec<u8> {
    const HEADS: [&[u8]; 5] = [
        b"",
        b"GET /v1/status HTTP/1.1\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        b"POST /style-check HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 10\r\n\r\n",
    ];
    let mut bytes = HEADS[rng.random_range(0..HEADS.len())].to_vec();
    let len = rng.random_range(0..2_000);
    bytes.extend((0..len).map(|_| rng.random::<u8>()));
    bytes
}

#[test]
fn random_bytes_to_every_port_do_no_harm() {
    let desk = Desk::start();
    let entry = desk.entry("first", &[]);
    let applied = desk.apply(3);
    let (target, worker) = (crate::target(), crate::worker());
    let companion = companion(target.addr(), worker.addr(), &[entry.cfg().rpc_addr]);
    let ports = [
        entry.http_addr(),
        entry.cfg().rpc_addr,
        companion.http_addr(),
        companion.cfg().rpc_addr,
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);

    for _ in 0..ROUNDS {
        for port in ports {
            send(port, &garbage(&mut rng));
        }
    }

    wait_for_generation(entry.http_addr(), applied);
    wait_until(|| {
        let status = client(entry.http_addr()).status().expect("status");
        status
            .targets
            .iter()
            .any(|target| target.generation == applied)
    });
    assert_eq!(Promise::total_broken(), 0);
    companion.kill();
    entry.kill();
}

#[test]
fn silent_connections_hold_up_nobody() {
    let desk = Desk::start();
    let entry = desk.entry("first", &[]);
    let applied = desk.apply(3);

    let silent = (0..100).map(|_| {
        let mut stream = TcpStream::connect(entry.http_addr()).expect("connect");
        stream.write_all(b"GET /v1/sta").expect("write");
        stream
    });
    let silent = silent.collect::<Vec<_>>();

    wait_for_generation(entry.http_addr(), applied);
    drop(silent);
    entry.kill();
}

#[test]
fn connections_that_come_in_a_burst_are_all_served() {
    let desk = Desk::start();
    let entry = desk.entry("first", &[]);
    let addr = entry.http_addr();

    for _ in 0..20 {
        let open = (0..40).map(|_| TcpStream::connect(addr).expect("connect"));
        let mut open = open.collect::<Vec<_>>();
        for stream in &mut open {
            let guard = Some(Duration::from_secs(30));
            stream.set_read_timeout(guard).expect("timeout");
            stream
                .write_all(b"GET /v1/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
                .expect("write");
        }
        // All stay open, as connections that are kept for reuse do.
        for stream in &mut open {
            let mut head = [0; 12];
            stream.read_exact(&mut head).expect("answer");

            assert_eq!(&head, b"HTTP/1.1 200");
        }
    }
    entry.kill();
}

/// Returns the kernel's timer of the server's end of a connection; 2 stands for keep-alive.
fn timer_of(stream: &TcpStream) -> Option<u8> {
    let port = |addr: SocketAddr| format!(":{:04X}", addr.port());
    let server = port(stream.peer_addr().ok()?);
    let client = port(stream.local_addr().ok()?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields = line.split_whitespace().collect::<Vec<_>>();
        let is_it = fields.get(1)?.ends_with(&server) && fields.get(2)?.ends_with(&client);
        let timer = fields.get(5)?.split(':').next()?;
        is_it.then(|| timer.parse().ok()).flatten()
    })
}

#[test]
fn connections_are_probed_so_that_dead_ones_are_closed() {
    const KEEP_ALIVE: u8 = 2;
    let desk = Desk::start();
    let entry = desk.entry("first", &[]);

    let stream = TcpStream::connect(entry.http_addr()).expect("connect");

    wait_until(|| timer_of(&stream) == Some(KEEP_ALIVE));
    entry.kill();
}
