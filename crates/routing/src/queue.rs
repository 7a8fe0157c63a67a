//! Hierarchical fair queues: start-time fair queueing among firms, and among each firm's customers.
//!
//! Each firm and customer has a start tag, which advances by cost divided by weight for every job
//! served; the lowest tag is served next. After an idle period the tag is raised to the current
//! virtual time, so idle time earns no credit.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use domain::Moment;

use crate::job;
use crate::job::Job;
use crate::level::Conformance;
use crate::usage::Usage;

/// The waiting jobs of one lane, in fair order.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    firms: BTreeMap<String, Firm>,
    virtual_time: f64,
    len: usize,
    usage: Usage,
}

#[derive(Clone, Debug, Default)]
struct Firm {
    start_tag: f64,
    virtual_time: f64,
    customers: BTreeMap<String, Customer>,
    /// The number of waiting jobs.
    len: usize,
    /// The total engine time of the waiting jobs, in microseconds.
    cost: f64,
}

#[derive(Clone, Debug, Default)]
struct Customer {
    start_tag: f64,
    jobs: VecDeque<WaitingJob>,
    /// The total engine time of the waiting jobs, in microseconds.
    cost: f64,
}

#[derive(Clone, Debug)]
struct WaitingJob {
    job: Job,
    /// The engine time in microseconds.
    cost: f64,
}

/// The job of a firm that goes next within the firm.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The firm.
    pub firm: &'a str,
    /// The job.
    pub job: &'a Job,
    /// Whether the firm keeps to its share.
    pub conformance: Conformance,
}

impl Queue {
    /// Adds a job that costs `cost_micros` of engine time.
    pub fn push(&mut self, job: Job, cost_micros: u64) {
        let virtual_time = self.virtual_time;
        let firm = self.firms.entry(job.tenant.firm.clone()).or_default();
        if firm.is_idle() {
            firm.start_tag = firm.start_tag.max(virtual_time);
        }
        let firm_virtual_time = firm.virtual_time;
        let customer = firm
            .customers
            .entry(job.tenant.customer.clone())
            .or_default();
        if customer.jobs.is_empty() {
            customer.start_tag = customer.start_tag.max(firm_virtual_time);
        }
        // Even a free job advances the tags; otherwise its customer could starve the others.
        let cost = cost_micros.max(1) as f64;
        customer.jobs.push_back(WaitingJob { job, cost });
        customer.cost += cost;
        firm.cost += cost;
        firm.len += 1;
        self.len += 1;
    }

    /// Returns the next job of each firm, in fair order.
    pub fn heads(&self, now: Moment) -> Vec<Head<'_>> {
        let mut firms: Vec<(&String, &Firm)> = self
            .firms
            .iter()
            .filter(|(_, firm)| !firm.is_idle())
            .collect();
        firms.sort_by(|(_, a), (_, b)| a.start_tag.total_cmp(&b.start_tag));
        let heads = firms.into_iter().filter_map(|(name, firm)| {
            let WaitingJob { job, cost } = firm.next_customer()?.1.jobs.front()?;
            let conformance = self.usage.conformance(now, name, firm.len, *cost);
            Some(Head {
                firm: name,
                job,
                conformance,
            })
        });
        heads.collect()
    }

    /// Removes and returns the job that goes next.
    pub fn pop(&mut self, now: Moment) -> Option<Job> {
        let firm = self.heads(now).first()?.firm.to_owned();
        self.pop_from_firm(now, &firm)
    }

    /// Removes and returns the next job of a firm.
    pub fn pop_from_firm(&mut self, now: Moment, firm: &str) -> Option<Job> {
        let firm = self.firms.get_mut(firm)?;
        let customer_name = firm.next_customer()?.0.clone();
        let customer = firm.customers.get_mut(&customer_name)?;
        let WaitingJob { job, cost } = customer.jobs.pop_front()?;
        self.len -= 1;
        customer.cost -= cost;
        firm.cost -= cost;
        firm.len -= 1;
        firm.virtual_time = customer.start_tag;
        customer.start_tag += cost / job.tenant.customer_weight.max(1) as f64;
        self.usage.add(now, &job.tenant, cost);
        self.virtual_time = self.virtual_time.max(firm.start_tag);
        firm.start_tag += cost / job.tenant.firm_weight.max(1) as f64;
        self.remove_idle();
        Some(job)
    }

    /// Removes a job, for example because its caller has disconnected.
    pub fn remove(&mut self, id: job::Id) -> Option<Job> {
        self.remove_first(|it| it.id == id)
    }

    /// Removes one job whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Option<Job> {
        self.remove_first(|it| it.deadline <= now)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the estimated cost of the jobs that are served before a new one of this tenant, in
    /// microseconds of engine time. It assumes that firms and customers have equal weights.
    pub fn cost_ahead(&self, tenant: &job::Tenant) -> u64 {
        let own_firm = self.firms.get(&tenant.firm);
        let own = own_firm.map_or(0.0, |firm| {
            let ahead = firm
                .customers
                .get(&tenant.customer)
                .map_or(0.0, |it| it.cost);
            let others = firm
                .customers
                .iter()
                .filter(|(name, _)| **name != tenant.customer);
            let each = ahead.max(firm.mean_cost());
            ahead + others.map(|(_, it)| it.cost.min(each)).sum::<f64>()
        });
        let each = own.max(own_firm.map_or(0.0, Firm::mean_cost));
        let others = self.firms.iter().filter(|(name, _)| **name != tenant.firm);
        let others: f64 = others.map(|(_, firm)| firm.cost.min(each)).sum();
        (own + others) as u64
    }

    fn remove_first(&mut self, matches: impl Fn(&Job) -> bool) -> Option<Job> {
        for firm in self.firms.values_mut() {
            for customer in firm.customers.values_mut() {
                let position = customer.jobs.iter().position(|it| matches(&it.job));
                let Some(WaitingJob { job, cost }) =
                    position.and_then(|it| customer.jobs.remove(it))
                else {
                    continue;
                };
                customer.cost -= cost;
                firm.cost -= cost;
                firm.len -= 1;
                self.len -= 1;
                return Some(job);
            }
        }
        None
    }

    /// Removes idle customers and firms whose start tag isn't ahead of the virtual time. If they
    /// come back, they start at the current virtual time anyway.
    fn remove_idle(&mut self) {
        for firm in self.firms.values_mut() {
            let virtual_time = firm.virtual_time;
            firm.customers
                .retain(|_, it| !it.jobs.is_empty() || it.start_tag > virtual_time);
        }
        let virtual_time = self.virtual_time;
        self.firms
            .retain(|_, firm| !firm.is_idle() || firm.start_tag > virtual_time);
    }
}

impl Firm {
    fn is_idle(&self) -> bool {
        self.len == 0
    }

    fn next_customer(&self) -> Option<(&String, &Customer)> {
        let waiting = self.customers.iter().filter(|(_, it)| !it.jobs.is_empty());
        waiting.min_by(|(_, a), (_, b)| a.start_tag.total_cmp(&b.start_tag))
    }

    fn mean_cost(&self) -> f64 {
        if self.len == 0 {
            0.0
        } else {
            self.cost / self.len as f64
        }
    }
}
