//! Stand-in for the platform's list: `GET /instances`, one page.
use crate::http::Wire;
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A listener that fails is tried again after this.
const AGAIN: Duration = Duration::from_millis(5);

/// An upstream as the list shows it.
#[derive(Clone, Debug)]
pub struct Instance {
    pub identifier: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: u32,
}

impl Instance {
    fn to_json(&self) -> Value {
        json!({"identifier": self.identifier, "service": self.service, "address": self.address.to_string(),
            "zone": self.zone, "version_number": "v1", "slots": self.slots, "state": "ready",
            "cold_remaining_ms": 0})
    }
}

pub type Instances = Rc<RefCell<Vec<Instance>>>;

/// Serves the list for as long as the run lasts.
///
/// # Errors
/// Where the address can't be listened on.
pub fn open(at: SocketAddrV4, instances: &Instances, spawner: &Spawner<'_>) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(at))?;
    let (instances, within) = (instances.clone(), spawner.clone());
    spawner.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => within.spawn(serve(instances.clone(), stream)),
                Err(_) => drop(Timer::after(AGAIN).await),
            }
        }
    });
    Ok(())
}

async fn serve(instances: Instances, stream: Async<TcpStream>) {
    let mut wire = Wire::new(stream, Side::Request);
    while let Some(request) = wire.read().await {
        let is_list = request.head.target.split('?').next() == Some("/instances");
        let list: Vec<Value> = instances.borrow().iter().map(Instance::to_json).collect();
        let body = json!({"instances": list, "next_token": null}).to_string();
        let status = if is_list { 200 } else { 404 };
        let kind = [("Content-Type", "application/json")].into_iter();
        if !wire
            .write(&message::response(status, kind, body.as_bytes(), false))
            .await
        {
            return;
        }
    }
}
