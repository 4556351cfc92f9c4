//! What the errors of control calls say about their effect.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::channel;

use base::prelude::*;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use tokio::runtime::Runtime;
use wire::{Answer, Call, CallPort, CallToken, Client, ClientCfg, DROPPED_CODE, JobRef, Part};

/// How long a call may take at the most.
const PATIENCE: Duration = Duration::from_secs(60);

#[test]
fn answer_dropped_by_a_stopping_process_leaves_the_effect_unknown() {
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_job", DROPPED_CODE);

    let e = ask(&runtime, addr).unwrap_err();

    assert_eq!(e.kind(), ErrorKind::Interrupted);
    assert!(e.kind().is_outcome_unknown());
}

#[test]
fn error_that_a_method_made_leaves_the_effect_unknown() {
    const RESPONSE_TOO_LARGE: i32 = -32_008;
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_job", RESPONSE_TOO_LARGE);

    let e = ask(&runtime, addr).unwrap_err();

    assert!(e.kind().is_outcome_unknown());
}

#[test]
fn call_of_an_unknown_method_had_no_effect() {
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_other", DROPPED_CODE);

    let e = ask(&runtime, addr).unwrap_err();

    assert_eq!(e.kind(), ErrorKind::Refused);
}

/// Starts a process whose only method fails with `code`.
fn serve(runtime: &Runtime, method: &'static str, code: i32) -> (SocketAddr, ServerHandle) {
    let mut module = RpcModule::new(());
    module
        .register_method(method, move |_params, (), _extensions| {
            Err::<(), _>(ErrorObjectOwned::owned(code, "failed", None::<()>))
        })
        .unwrap();
    runtime.block_on(async {
        let server = Server::builder()
            .build((Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        (server.local_addr().unwrap(), server.start(module))
    })
}

/// Asks for a job and waits for what comes back.
fn ask(runtime: &Runtime, addr: SocketAddr) -> Result<Answer> {
    let (tx, rx) = channel();
    let cfg = ClientCfg {
        runtime: runtime.handle().clone(),
    };
    let client = Client::new(cfg, move |_token, answer| tx.send(answer).unwrap());
    let token = CallToken {
        part: Part::Batch,
        id: 1,
    };
    let call = Call::Job(ShardId(1), JobRef::Id("a".into()));
    client.submit(addr, token, PATIENCE, call);
    rx.recv_timeout(PATIENCE).unwrap()
}
