//! A small deployment for tests of the decisions of a node.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::node::deployment::{EngineClass, ModelSpec};
use savoryport_core::node::registry::{BackendServer, ResidentModel, ServerState};

/// Returns a ready server that holds these models.
pub fn server(id: &str, failure_domain: &str, models: &[&str]) -> BackendServer {
    let models = models.iter().map(|model| ResidentModel {
        name: (*model).into(),
        version: 1,
        adapters: Vec::new(),
    });
    BackendServer {
        id: id.into(),
        service: "drafts".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        failure_domain: failure_domain.into(),
        software: "v1".into(),
        slots: 64,
        state: ServerState::Ready,
        incarnation: 1,
        models: models.collect(),
        is_busy: false,
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Returns an engine class with memory for three models and four adapter slots.
pub fn engine_class() -> EngineClass {
    let spec = |number: usize| ModelSpec {
        name: format!("m{number}").into(),
        memory_mb: 70_000.0,
        store_load_time: Duration::from_secs(4),
        disk_load_time: Duration::from_millis(800),
        memory_load_time: Duration::from_millis(400),
        adapter_mb: 100.0,
    };
    let models: BTreeMap<Name, ModelSpec> =
        (0..6).map(spec).map(|spec| (spec.name.clone(), spec)).collect();
    EngineClass {
        slots: 64,
        cache_tokens: 250_000,
        memory_mb: 220_000.0,
        adapter_capacity: 4,
        loads_per_s: 2.0,
        tokens_per_event: 5,
        copy_ms_per_token: None,
        models,
    }
}
