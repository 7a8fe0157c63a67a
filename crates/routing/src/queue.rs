//! Fair queues: two levels, firms and their customers, by start-time fair queueing.
//!
//! Each level advances a virtual time by cost over share. Whoever has used the least goes next, and
//! whoever comes back after a pause starts at the present virtual time, so that a pause saves up no
//! claim.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use domain::Moment;

use crate::job;
use crate::job::Job;
use crate::level::Conformance;
use crate::usage::Usage;

/// Jobs of one lane in fair order.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    firms: BTreeMap<String, Firm>,
    clock: f64,
    len: usize,
    usage: Usage,
}

#[derive(Clone, Debug, Default)]
struct Firm {
    used: f64,
    clock: f64,
    customers: BTreeMap<String, Customer>,
    /// The number of jobs that wait, and their cost together.
    len: usize,
    cost: f64,
}

#[derive(Clone, Debug, Default)]
struct Customer {
    used: f64,
    jobs: VecDeque<Waiting>,
    /// The cost of all jobs together.
    cost: f64,
}

#[derive(Clone, Debug)]
struct Waiting {
    job: Job,
    /// Engine time in microseconds.
    cost: f64,
}

/// The first job of a firm.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The firm.
    pub firm: &'a str,
    /// The job.
    pub job: &'a Job,
    /// How the firm stands.
    pub conformance: Conformance,
}

impl Queue {
    /// Adds a job that costs `cost_micros` of engine time.
    pub fn push(&mut self, job: Job, cost_micros: u64) {
        let clock = self.clock;
        let firm = self.firms.entry(job.tenant.firm.clone()).or_default();
        if firm.is_idle() {
            firm.used = firm.used.max(clock);
        }
        let firm_clock = firm.clock;
        let customer = firm
            .customers
            .entry(job.tenant.customer.clone())
            .or_default();
        if customer.jobs.is_empty() {
            customer.used = customer.used.max(firm_clock);
        }
        // Even a free job counts, so that no customer goes first for ever.
        let cost = cost_micros.max(1) as f64;
        customer.jobs.push_back(Waiting { job, cost });
        customer.cost += cost;
        firm.cost += cost;
        firm.len += 1;
        self.len += 1;
    }

    /// Returns the first job of each firm, in fair order.
    pub fn heads(&self, now: Moment) -> Vec<Head<'_>> {
        let mut firms: Vec<(&String, &Firm)> = self
            .firms
            .iter()
            .filter(|(_, firm)| !firm.is_idle())
            .collect();
        firms.sort_by(|(_, a), (_, b)| a.used.total_cmp(&b.used));
        let heads = firms.into_iter().filter_map(|(name, firm)| {
            let Waiting { job, cost } = firm.next_customer()?.1.jobs.front()?;
            let conformance = self.usage.conformance(now, name, firm.len, *cost);
            Some(Head {
                firm: name,
                job,
                conformance,
            })
        });
        heads.collect()
    }

    /// Takes the job that goes next.
    pub fn pop(&mut self, now: Moment) -> Option<Job> {
        let firm = self.heads(now).first()?.firm.to_owned();
        self.pop_from_firm(now, &firm)
    }

    /// Takes the next job of a firm.
    pub fn pop_from_firm(&mut self, now: Moment, firm: &str) -> Option<Job> {
        let firm = self.firms.get_mut(firm)?;
        let customer_name = firm.next_customer()?.0.clone();
        let customer = firm.customers.get_mut(&customer_name)?;
        let Waiting { job, cost } = customer.jobs.pop_front()?;
        self.len -= 1;
        customer.cost -= cost;
        firm.cost -= cost;
        firm.len -= 1;
        firm.clock = customer.used;
        customer.used += cost / job.tenant.customer_weight.max(1) as f64;
        self.usage.add(now, &job.tenant, cost);
        self.clock = self.clock.max(firm.used);
        firm.used += cost / job.tenant.firm_weight.max(1) as f64;
        self.forget_idle();
        Some(job)
    }

    /// Removes a job, for example because its caller has left.
    pub fn remove(&mut self, id: job::Id) -> Option<Job> {
        self.take_first(|it| it.id == id)
    }

    /// Removes a job whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Option<Job> {
        self.take_first(|it| it.deadline <= now)
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the cost of all jobs that go before a new one of this tenant, in microseconds of
    /// engine time, if each firm and customer is served by its share.
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

    fn take_first(&mut self, wanted: impl Fn(&Job) -> bool) -> Option<Job> {
        for firm in self.firms.values_mut() {
            for customer in firm.customers.values_mut() {
                let found = customer.jobs.iter().position(|it| wanted(&it.job));
                let Some(Waiting { job, cost }) = found.and_then(|it| customer.jobs.remove(it))
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

    /// Forgets customers and firms whose claim lies in the past anyway.
    fn forget_idle(&mut self) {
        for firm in self.firms.values_mut() {
            let clock = firm.clock;
            firm.customers
                .retain(|_, it| !it.jobs.is_empty() || it.used > clock);
        }
        let clock = self.clock;
        self.firms
            .retain(|_, firm| !firm.is_idle() || firm.used > clock);
    }
}

impl Firm {
    fn is_idle(&self) -> bool {
        self.len == 0
    }

    fn next_customer(&self) -> Option<(&String, &Customer)> {
        let waiting = self.customers.iter().filter(|(_, it)| !it.jobs.is_empty());
        waiting.min_by(|(_, a), (_, b)| a.used.total_cmp(&b.used))
    }

    fn mean_cost(&self) -> f64 {
        if self.len == 0 {
            0.0
        } else {
            self.cost / self.len as f64
        }
    }
}
