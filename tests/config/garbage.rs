//! Random bytes sent to every port, incomplete requests, and bursts of connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use base::prelude::*;
use ops::EntryPort;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Cluster, client, companion, wait_for_generation, wait_until};

const ROUNDS: u32 = 50;
const SEED: u64 = 11;

/// Sends bytes and reads the response until the server closes the connection or a read times out.
fn send(addr: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        panic!("{addr} accepts no connection");
    };
    let read_timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(read_timeout).expect("timeout");
    // Errors are ignored: the server may close the connection at any time.
    drop(stream.write_all(bytes));
    drop(stream.shutdown(Shutdown::Write));
    drop(stream.read_to_end(&mut Vec::new()));
}

/// Returns random bytes, usually preceded by the start of a request.
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
fn random_bytes_to_every_port_leave_the_processes_working() {
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);
    let applied = cluster.apply(3);
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
fn incomplete_requests_do_not_block_other_callers() {
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);
    let applied = cluster.apply(3);

    let incomplete = (0..100).map(|_| {
        let mut stream = TcpStream::connect(entry.http_addr()).expect("connect");
        stream.write_all(b"GET /v1/sta").expect("write");
        stream
    });
    let incomplete = incomplete.collect::<Vec<_>>();

    wait_for_generation(entry.http_addr(), applied);
    drop(incomplete);
    entry.kill();
}

#[test]
fn connections_that_come_in_a_burst_are_all_served() {
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);
    let addr = entry.http_addr();

    for _ in 0..20 {
        let open = (0..40).map(|_| TcpStream::connect(addr).expect("connect"));
        let mut open = open.collect::<Vec<_>>();
        for stream in &mut open {
            let read_timeout = Some(Duration::from_secs(30));
            stream.set_read_timeout(read_timeout).expect("timeout");
            stream
                .write_all(b"GET /v1/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
                .expect("write");
        }
        // All connections stay open, as pooled connections do.
        for stream in &mut open {
            let mut head = [0; 12];
            stream.read_exact(&mut head).expect("response");

            assert_eq!(&head, b"HTTP/1.1 200");
        }
    }
    entry.kill();
}

/// Returns the active kernel timer of the server's end of a connection, as in `/proc/net/tcp`; 2
/// is the keep-alive timer.
fn kernel_timer(stream: &TcpStream) -> Option<u8> {
    let port = |addr: SocketAddr| format!(":{:04X}", addr.port());
    let server = port(stream.peer_addr().ok()?);
    let client = port(stream.local_addr().ok()?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let fields = line.split_whitespace().collect::<Vec<_>>();
        let is_match = fields.get(1)?.ends_with(&server) && fields.get(2)?.ends_with(&client);
        let timer = fields.get(5)?.split(':').next()?;
        is_match.then(|| timer.parse().ok()).flatten()
    })
}

#[test]
fn connections_have_tcp_keep_alive_enabled() {
    const KEEP_ALIVE: u8 = 2;
    let cluster = Cluster::start();
    let entry = cluster.entry("first", &[]);

    let stream = TcpStream::connect(entry.http_addr()).expect("connect");

    wait_until(|| kernel_timer(&stream) == Some(KEEP_ALIVE));
    entry.kill();
}
