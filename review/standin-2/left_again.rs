//! A backend server leaves. All its answers say so at once, and so does its entry in the store.

use super::*;

const DRAIN_MS: u64 = 2_000;
/// How long the server goes on serving at most after the store has accepted its report.
const SERVES_MS: u64 = 16_000;
const WORK_MS: u64 = 200;
const NODES: usize = 3;

fn config() -> String {
    r#"{"version":3,"routes":[
{"name":"shop-notice","host":"forum.example","pathPrefix":"/notice/","kind":"non_idempotent","timeoutMs":1000,"goalMs":150,"priority":2,"backend":"forum-app","attempts":1}],
"services":[{"name":"forum-app","healthPath":"/healthz","maxConns":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":2000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["key-one-0123456789"]}]}"#
        .to_owned()
}

pub fn run(world: &Arc<World>) -> Result<bool, String> {
    let store = Arc::new(Store::start(NODES));
    store.append("keyed.op", "config", &config());
    // When the leaving server may exit, in milliseconds since the start of the case.
    let exits_after = Arc::new(AtomicU64::new(u64::MAX));
    let exits = exits_after.clone();
    let handler: Arc<Handler> = Arc::new(move |server, message, stream| {
        server.record(message, true);
        sleep_ms(WORK_MS / 2);
        if server.is_leaving.load(Ordering::Relaxed) && server.world.ms() > exits.load(Ordering::Relaxed) {
            server.world.log("the leaving runner exits while it runs a request");
            server.exit();
            return Next::Close;
        }
        sleep_ms(WORK_MS / 2);
        server.answer(message, stream, "posted")
    });
    let servers: Vec<Arc<Server>> = [("i-5b4f2f01", "buc-a"), ("i-5b4f2f02", "buc-b"), ("i-5b4f2f03", "buc-c")]
        .map(|(id, zone)| Server::start(world, id, "forum-app", zone, handler.clone()))
        .into();
    for server in &servers {
        server.report_regularly(&store);
    }
    let nodes = start_nodes(world, &store.addresses)?;
    wait_for_nodes(&nodes)?;
    sleep_ms(4_000);
    let before: Vec<u64> = (0..NODES).map(|it| store.reads(it)).collect();
    sleep_ms(3_000);
    let reads: Vec<u64> = (0..NODES).map(|it| store.reads(it) - before[it]).collect();
    let reader = (0..NODES).max_by_key(|it| reads[*it]).unwrap_or(0);
    world.log(&format!("reads of the list of servers in 3 s, by node: {reads:?}; {} reads for all", nodes[reader].name));

    // Light traffic at all nodes.
    let stopped = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, (u64, usize, String)>>> = Arc::default();
    let pause_ms = Arc::new(AtomicU64::new(1_200));
    let callers: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let (stopped, answers, world, front) = (stopped.clone(), answers.clone(), world.clone(), node.front);
            let pause_ms = pause_ms.clone();
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    send(&world, front, index, &answers);
                    sleep_ms(pause_ms.load(Ordering::Relaxed) + random(100));
                }
            })
        })
        .collect();
    sleep_ms(2_000);

    let leaving = &servers[0];
    // The list is read about every 650 ms; the server begins to leave right after a read.
    let count = store.reads(reader);
    wait("a read of the list", 3_000, || store.reads(reader) > count)?;
    // Requests at the node that reads for all, some of which the server is running when it begins to leave.
    let senders: Vec<_> = (0..9)
        .map(|_| {
            let (answers, world, front) = (answers.clone(), world.clone(), nodes[reader].front);
            thread::spawn(move || send(&world, front, reader, &answers))
        })
        .collect();
    sleep_ms(WORK_MS / 4);
    let left_at = world.ms();
    if world.trouble {
        exits_after.store(left_at + 5 * DRAIN_MS / 2, Ordering::Relaxed);
        leaving.is_leaving.store(true, Ordering::Relaxed);
        leaving.report(&store);
        world.log("the leaving runner leaves: the store has accepted its report, and all its answers say so");
    }
    for sender in senders {
        let _ = sender.join();
    }
    world.sleep_until(left_at + 5_000);
    pause_ms.store(200, Ordering::Relaxed);
    world.sleep_until(left_at + SERVES_MS);
    if world.trouble {
        leaving.exit();
        store.append("keyed.servers", &leaving.id, "");
        world.log("the leaving runner is gone and its entry is removed");
    }
    sleep_ms(1_000);
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    for (id, (at, node, answer)) in answers.iter() {
        world.log(&format!("request {id} sent at {at} to {}: {answer}", nodes[*node].name));
    }
    let mut late = 0;
    for arrival in leaving.arrivals.lock().unwrap().iter() {
        let (sent, node, answer) = answers.get(&arrival.id).cloned().unwrap_or((0, 0, String::new()));
        let is_late = world.trouble && sent > left_at && arrival.at_ms > left_at + DRAIN_MS;
        late += usize::from(is_late);
        if is_late || arrival.at_ms >= left_at {
            world.log(&format!(
                "the leaving runner ran {} at {}, {} ms after the store had accepted its report; sent at {sent} to {}, answered {answer:?}{}",
                arrival.id,
                arrival.at_ms,
                arrival.at_ms.saturating_sub(left_at),
                nodes[node].name,
                if is_late { " (too late)" } else { "" }
            ));
        }
    }
    for server in &servers {
        for arrival in server.arrivals.lock().unwrap().iter() {
            world.log(&format!("{} ran {} at {}", server.id, arrival.id, arrival.at_ms));
        }
    }
    for node in &nodes {
        for line in node.log_lines("leav") {
            world.log(&format!("log of {}: {line}", node.name));
        }
    }
    world.log(&format!("requests that reached the leaving runner too late: {late}"));
    Ok(late == 0)
}

fn send(
    world: &World,
    front: SocketAddr,
    node: usize,
    answers: &Mutex<BTreeMap<String, (u64, usize, String)>>,
) -> String {
    let id = new_id();
    let sent = world.ms();
    let request = request("/notice/1", &id, 1_000, "", "tank 4 is sold");
    let answer = match exchange(front, &request, 2_000) {
        Ok(answer) => answer.line,
        Err(error) => error,
    };
    answers.lock().unwrap().insert(id.clone(), (sent, node, answer));
    id
}
