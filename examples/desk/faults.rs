//! Injects faults at fixed shares of the length of a run.

use std::time::{Duration, Instant};

use fakes::relay::Direction;
use fakes::store::Outage;

use crate::flags::{Fault, Flags};
use crate::fleet::Fleet;

/// Length of the store outage.
const STORE_OUTAGE: Duration = Duration::from_secs(2);

/// Injects the requested fault.
pub(crate) fn inject(flags: &Flags, fleet: &Fleet, began: Instant) {
    match flags.fault {
        Fault::None => {}
        // The VM is lost only after the new owner has received a report from it: the new owner
        // waits much longer for a worker that became unresponsive together with its owner.
        Fault::All => {
            at(flags, began, 0.1, || kill_entry(fleet));
            at(flags, began, 0.6, || lose_vm(fleet));
            at(flags, began, 0.7, || stop_responding(fleet));
            at(flags, began, 0.75, || stop_store(fleet));
        }
        Fault::Vm => at(flags, began, 0.3, || lose_vm(fleet)),
        Fault::Entry => at(flags, began, 0.3, || kill_entry(fleet)),
        Fault::Store => at(flags, began, 0.3, || stop_store(fleet)),
        Fault::Silent => at(flags, began, 0.3, || stop_responding(fleet)),
    }
}

/// Calls `f` after a share of the run's length.
fn at(flags: &Flags, began: Instant, share: f64, f: impl FnOnce()) {
    let due = began + Duration::from_secs(flags.seconds).mul_f64(share);
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    f();
}

fn lose_vm(fleet: &Fleet) {
    eprintln!("desk: losing the VM runner-0");
    fleet.vms[0].lose();
}

fn kill_entry(fleet: &Fleet) {
    eprintln!("desk: killing the entry that owns the work");
    fleet.replace_owner();
}

fn stop_store(fleet: &Fleet) {
    eprintln!("desk: the store is out");
    fleet.store.faults().set_outage(Some(Outage::Refused));
    std::thread::sleep(STORE_OUTAGE);
    fleet.store.faults().set_outage(None);
    eprintln!("desk: the store is back");
}

fn stop_responding(fleet: &Fleet) {
    eprintln!("desk: open connections go silent");
    for vm in &fleet.vms {
        vm.relay.discard_on_open_connections(Direction::Both);
    }
}
