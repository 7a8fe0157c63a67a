//! Tests that orders match the configuration and that later ones have higher fencing numbers.

use std::collections::BTreeMap;

use config::Fold;
use config::Item;
use config::Record;
use config::order;
use config::order::Order;
use config::order::Running;
use domain::fleet::BackendServer;
use domain::fleet::Engine;
use domain::fleet::Kind;
use domain::fleet::Model;

fn server() -> BackendServer {
    BackendServer {
        name: "runner-1".to_owned(),
        address: "10.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        kind: Kind::Engine(Engine {
            models: vec!["assistant".to_owned()],
            memory_tokens: 1,
            checks_fencing: true,
        }),
    }
}

/// Publishes a version of the model and returns the resulting orders.
fn publish(fold: &mut Fold, version: u64) -> Vec<Order> {
    let model = Model {
        name: "assistant".to_owned(),
        version,
        first_token_ms: 1,
    };
    let items = [Item::Model(model), Item::BackendServer(server())];
    let desired: BTreeMap<_, _> = items.into_iter().map(|it| (it.name(), it)).collect();
    let offset = fold.next();
    let record = Record::between(fold, &desired, offset + 1, "op");
    fold.read(offset, &serde_json::to_vec(&record).unwrap())
        .unwrap();
    order::desired(fold, &server())
}

#[test]
fn desired_fencing_increases_even_after_a_rollback() {
    let mut fold = Fold::default();
    let orders: Vec<Order> = [1, 2, 1, 3]
        .into_iter()
        .flat_map(|version| publish(&mut fold, version))
        .collect();
    assert_eq!(
        orders.iter().map(|it| it.version).collect::<Vec<_>>(),
        [1, 2, 1, 3]
    );
    assert!(orders.is_sorted_by(|a, b| a.fencing < b.fencing));
}

#[test]
fn missing_returns_orders_that_differ() {
    let mut fold = Fold::default();
    let desired = publish(&mut fold, 2);
    let running = |version| Running {
        versions: BTreeMap::from([("assistant".to_owned(), version)]),
    };
    assert_eq!(order::missing(&desired, &Running::default()), desired);
    assert_eq!(order::missing(&desired, &running(1)), desired);
    assert!(order::missing(&desired, &running(2)).is_empty());
}
