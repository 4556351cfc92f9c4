//! Tests of which errors of control calls leave the effect of the call unknown.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::channel;

use base::prelude::*;
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use tokio::runtime::Runtime;
use wire::{
    Call, CallPort, CallResponse, CallToken, Client, ClientCfg, Component, JobRef, STOPPING_CODE,
};

/// The timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

#[test]
fn call_dropped_by_a_stopping_process_has_an_unknown_effect() {
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_job", STOPPING_CODE);

    let e = look_up_job(&runtime, addr).unwrap_err();

    assert_eq!(e.kind(), ErrorKind::Interrupted);
    assert!(e.kind().is_outcome_unknown());
}

#[test]
fn error_from_a_method_leaves_the_effect_unknown() {
    const RESPONSE_TOO_LARGE: i32 = -32_008;
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_job", RESPONSE_TOO_LARGE);

    let e = look_up_job(&runtime, addr).unwrap_err();

    assert!(e.kind().is_outcome_unknown());
}

#[test]
fn call_of_an_unknown_method_had_no_effect() {
    let runtime = Runtime::new().unwrap();
    let (addr, _server) = serve(&runtime, "entry_other", STOPPING_CODE);

    let e = look_up_job(&runtime, addr).unwrap_err();

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

/// Looks up a job and waits for the result of the call.
fn look_up_job(runtime: &Runtime, addr: SocketAddr) -> Result<CallResponse> {
    let (tx, rx) = channel();
    let cfg = ClientCfg {
        runtime: runtime.handle().clone(),
    };
    let client = Client::new(cfg, move |_token, response| tx.send(response).unwrap());
    let token = CallToken {
        component: Component::Batch,
        id: 1,
    };
    let call = Call::Job(ShardId(1), JobRef::Id("a".into()));
    client.submit(addr, token, CALL_TIMEOUT, call);
    rx.recv_timeout(CALL_TIMEOUT).unwrap()
}
