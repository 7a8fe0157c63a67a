//! The store gets another address, and the settings files of all instances say so. Later a key is withdrawn.

use super::*;

const CONFIG_MS: u64 = 2_000;
const OUTER_MS: u64 = 5_000;
const NODES: usize = 3;
const OTHER_KEY: &str = "key-two-0123456789";

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"stock-check","host":"forum.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"backend":"forum-app","attempts":2}}],
"services":[{{"name":"forum-app","healthPath":"/healthz","maxConns":96}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"one","apiKeys":[{}]}}]}}"#,
        keys.join(",")
    )
}

pub fn run(world: &Arc<World>) -> Result<bool, String> {
    let store = Arc::new(Store::start(2 * NODES));
    let (before, after) = store.addresses.split_at(NODES);
    store.append("keyed.op", "config", &config(3, &[KEY, OTHER_KEY]));
    let handler: Arc<Handler> = Arc::new(|server, message, stream| {
        server.record(message, true);
        sleep_ms(30);
        server.answer(message, stream, "12 in stock")
    });
    let servers: Vec<Arc<Server>> = [("i-1", "buc-a"), ("i-2", "buc-b"), ("i-3", "buc-c")]
        .map(|(id, zone)| Server::start(world, id, "forum-app", zone, handler.clone()))
        .into();
    for server in &servers {
        server.report_regularly(&store);
    }
    let nodes = start_nodes(world, before)?;
    wait_for_nodes(&nodes)?;
    sleep_ms(2_000);
    if world.trouble {
        for (index, node) in nodes.iter().enumerate() {
            node.change_settings(world, &before[index].to_string(), &after[index].to_string())?;
            node.signal("HUP");
        }
        world.log("the settings name another address of the store; SIGHUP sent; both addresses serve the same store");
    }
    sleep_ms(15_000);
    if world.trouble {
        for index in 0..NODES {
            store.close(index);
        }
        world.log("the former address of the store is closed");
    }
    sleep_ms(4_000);
    store.append("keyed.op", "config", &config(7, &[KEY]));
    let acknowledged = world.ms();
    world.log("the store has accepted version 7, which withdraws a key");
    let mut late = 0;
    while world.ms() < acknowledged + CONFIG_MS + OUTER_MS + 5_000 {
        for node in &nodes {
            let id = new_id();
            let sent = world.ms();
            let text = request_with(OTHER_KEY, "/stock/4", &id, 1_000, "", "");
            let answer = exchange(node.front, &text, 2_000).map_or_else(|it| it, |it| it.line);
            let ran = servers.iter().any(|it| it.arrivals.lock().unwrap().iter().any(|it| it.id == id));
            let is_late = ran && sent > acknowledged + CONFIG_MS + OUTER_MS;
            late += usize::from(is_late);
            world.log(&format!(
                "request {id} with the withdrawn key, sent to {} {} ms after the acknowledgement: {answer}{}",
                node.name,
                sent - acknowledged,
                if ran { ", run" } else { "" }
            ));
        }
        sleep_ms(500);
    }
    let reads: Vec<u64> = (0..2 * NODES).map(|it| store.reads(it)).collect();
    world.log(&format!("reads of the list of servers, by address of the store: {reads:?}"));
    for node in &nodes {
        for line in node.log_lines("settings") {
            world.log(&format!("log of {}: {line}", node.name));
        }
    }
    world.log(&format!("requests that ran with the withdrawn key later than the bound: {late}"));
    Ok(late == 0)
}
