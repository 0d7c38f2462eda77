//! A fleet: platform, endpoints, routers and the links between them.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use ledger::Ledger;
use objects::{Expect, Store, Write};
use router::{Limits, Listen, LogSettings, Money, PlatformSettings, Settings};
use serde_json::Value;
use standin::{Engine, Link, Platform, Service};

use crate::{Audit, Caller, Figures, Node, Sample, resources};

/// Parameters of a fleet.
#[derive(Clone)]
pub struct Plan {
    /// Seed of all random generators.
    pub seed: u64,
    /// Number of routers.
    pub boxes: usize,
    /// Number of zones, over which boxes and endpoints are spread.
    pub zones: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Settings of the engines.
    pub engine: standin::Settings,
    /// Duration of a service call.
    pub service_time: Duration,
    /// Delay of each platform call.
    pub platform_delay: Duration,
    /// Token settings of the routers.
    pub money: Money,
    /// Timeout of platform calls, in milliseconds.
    pub timeout_ms: u64,
    /// Customers, each with its budgets and the tokens paid for each.
    pub customers: Vec<(String, Vec<(String, u64)>)>,
    /// Offline share in thousandths, if not the default.
    pub offline_share: Option<u64>,
    /// Largest number of output tokens in a response.
    pub max_output: u64,
    /// Longest wait of a caller for a complete response.
    pub request_timeout: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        let money = Money {
            fold_ms: 200,
            beat_ms: 200,
            seal_after_ms: 1_000,
            resolve_after_ms: 3_000,
            report_ms: 100,
            ..Money::default()
        };
        Plan {
            seed: 1,
            boxes: 3,
            zones: 2,
            engines: 2,
            services: 1,
            engine: standin::Settings::default(),
            service_time: Duration::from_millis(2),
            platform_delay: Duration::from_millis(1),
            money,
            timeout_ms: 500,
            customers: vec![("dis".into(), vec![("bornova".into(), 100_000)])],
            offline_share: None,
            max_output: 512,
            request_timeout: Duration::from_secs(20),
        }
    }
}

/// Loopback address of a box towards its peers; links tell boxes apart by it.
fn peer_ip(index: usize) -> IpAddr {
    [127, 0, 1 + (index / 200) as u8, 10 + (index % 200) as u8].into()
}

/// A fleet on loopback.
pub struct Fleet {
    /// Parameters that the fleet was started with.
    pub plan: Plan,
    pub platform: Platform,
    /// Model engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Routers.
    pub nodes: Vec<Node>,
    /// The link from each router to the platform.
    pub links: Vec<Link>,
    /// The link to each router from all others.
    pub peer_links: Vec<Link>,
    pub caller: Caller,
    start_count: u64,
}

impl Fleet {
    /// Starts a fleet and waits until all routers have applied the sample resources.
    pub async fn spawn(plan: Plan) -> Fleet {
        let platform = Platform::spawn(plan.seed).await;
        platform.set(|faults| faults.delay = plan.platform_delay);
        let mut engines = Vec::new();
        for _ in 0..plan.engines {
            engines.push(Engine::spawn(plan.engine.clone()).await);
        }
        let mut services = Vec::new();
        for _ in 0..plan.services {
            services.push(Service::spawn(plan.service_time).await);
        }
        let caller = Caller::new(plan.request_timeout);
        let mut fleet = Fleet {
            plan,
            platform,
            engines,
            services,
            nodes: Vec::new(),
            links: Vec::new(),
            peer_links: Vec::new(),
            caller,
            start_count: 0,
        };
        fleet.declare_samples().await;
        for index in 0..fleet.plan.boxes {
            let socket = fleet.platform.socket();
            let link = Link::bind(socket, Duration::ZERO).await.expect("loopback has free ports");
            fleet.links.push(link);
            let address = (peer_ip(index), 0).into();
            let link = Link::bind_at(address, Duration::ZERO).await.expect("loopback is free");
            fleet.peer_links.push(link);
            let node = fleet.start(index).await;
            fleet.nodes.push(node);
        }
        fleet.wait_until_applied().await;
        fleet
    }

    /// Zone of the box or endpoint with this index.
    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.plan.zones.max(1))
    }

    async fn start(&mut self, index: usize) -> Node {
        self.start_count += 1;
        let seed = self.plan.seed.wrapping_mul(1_000_003) + self.start_count;
        let node = Node::spawn(self.settings(index), seed).await;
        if let Some(address) = node.peers() {
            self.peer_links[index].set_target(address);
        }
        node
    }

    fn settings(&self, index: usize) -> Settings {
        let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
        Settings {
            box_name: format!("box-{index}").into(),
            zone: self.zone(index).into(),
            region: "trial".into(),
            listen: Listen {
                callers: loopback,
                operators: loopback,
                peers: Some((peer_ip(index), 0).into()),
                advertise: Some(self.peer_links[index].address()),
            },
            peers: Vec::new(),
            platform: PlatformSettings {
                address: format!("http://{}", self.links[index].address()),
                timeout_ms: self.plan.timeout_ms,
                watch_ms: 2_000,
            },
            limits: Limits::default(),
            money: self.plan.money.clone(),
            log: LogSettings::default(),
        }
    }

    /// Disconnects two boxes from each other, or reconnects them.
    pub fn set_cut(&self, a: usize, b: usize, cut: bool) {
        self.peer_links[a].set_blocked(peer_ip(b), cut);
        self.peer_links[b].set_blocked(peer_ip(a), cut);
    }

    /// Disconnects a group of boxes from all others and from the platform, or reconnects them.
    pub fn set_partition(&self, group: &[usize], cut: bool) {
        for index in group {
            self.links[*index].set_cut(cut);
            for other in (0..self.nodes.len()).filter(|other| !group.contains(other)) {
                self.set_cut(*index, other, cut);
            }
        }
    }

    /// Starts the router of a box again; it gets a new incarnation.
    pub async fn restart(&mut self, index: usize) {
        let node = self.start(index).await;
        self.nodes[index] = node;
        self.wait_until_applied().await;
    }

    async fn declare_samples(&self) {
        let address = |engine: SocketAddr, index| (engine, self.zone(index));
        let sample = Sample {
            customers: self.plan.customers.clone(),
            engines: self
                .engines
                .iter()
                .enumerate()
                .map(|(i, e)| address(e.address(), i))
                .collect(),
            services: self
                .services
                .iter()
                .enumerate()
                .map(|(i, s)| address(s.address(), i))
                .collect(),
            offline_share: self.plan.offline_share,
            cost: 5,
            max_output: self.plan.max_output,
        };
        for (kind, name, spec) in resources(&sample) {
            self.declare(kind, &name, &spec).await;
        }
    }

    /// Writes a resource, whatever its current version; returns the new version.
    pub async fn declare(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let memory = self.platform.memory();
        loop {
            let found = memory.get(kind, name).await.expect("memory always answers");
            let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
            if let Write::Landed(version) = memory.put(kind, name, spec.to_string(), expect).await {
                return version;
            }
        }
    }

    /// The spec of a resource.
    pub async fn spec(&self, kind: &str, name: &str) -> Value {
        let found = self.platform.memory().get(kind, name).await;
        let object = found.expect("memory always answers").expect("the resource exists");
        serde_json::from_str(&object.value).expect("specs are JSON")
    }

    /// Waits until every resource is accepted and applied by every router that runs.
    pub async fn wait_until_applied(&self) {
        let memory = self.platform.memory();
        let mut sources = 0;
        for kind in resource::Kind::ALL {
            sources += memory.list(kind.as_str(), "").await.expect("memory answers").len();
        }
        loop {
            let accepted = memory.list("accepted", "").await.expect("memory answers");
            if accepted.len() >= sources {
                let newest = accepted.iter().map(|object| object.version).max().unwrap_or(0);
                for node in self.nodes.iter().filter(|node| !node.is_down()) {
                    node.wait_for_version(newest).await;
                }
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Address of a router for callers.
    pub fn callers_address(&self, index: usize) -> SocketAddr {
        self.nodes[index].callers()
    }

    /// The ledger of a budget.
    pub async fn ledger(&self, budget: &str) -> Ledger {
        let found = self.platform.memory().get("ledger", budget).await;
        let object = found.expect("memory always answers");
        object.and_then(|object| serde_json::from_str(&object.value).ok()).unwrap_or_default()
    }

    /// Waits until every run is billed and every journal is folded into the ledgers; returns `false`
    /// after `timeout`.
    pub async fn settle(&self, timeout: Duration) -> bool {
        let end = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < end {
            if self.is_settled().await && self.audit().await.unbilled == 0 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    async fn is_settled(&self) -> bool {
        let journals = self.platform.memory().list("journal", "").await.expect("memory answers");
        for object in journals {
            let Ok(journal) = serde_json::from_str::<ledger::Journal>(&object.value) else {
                return false;
            };
            for budget in journal.records.iter().map(|record| &record.budget) {
                let ledger = self.ledger(budget).await;
                let folded =
                    ledger.grants.get(&journal.incarnation).map_or(0, |grant| grant.folded);
                let open = journal.open_records().next().is_some();
                if open || !journal.outcomes_after(budget, folded).is_empty() {
                    return false;
                }
            }
        }
        true
    }

    /// Compares executions, responses and bills.
    pub async fn audit(&self) -> Figures {
        Audit::of(self).await.figures()
    }

    /// The events of all routers, merged.
    pub fn events(&self) -> Vec<timeline::Event> {
        let all = self.nodes.iter().flat_map(Node::events);
        timeline::merge(all, &timeline::Filter::default())
    }

    /// The platform's objects, without faults.
    pub fn store(&self) -> Arc<dyn Store> {
        Arc::new(self.platform.memory().clone())
    }
}
