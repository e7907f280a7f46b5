//! Tests of the limit on active loads, with a replay of a small fleet that never stops loading.

use std::time::Duration;

use savoryport_core::node::load_concurrency::{LoadConcurrencyLimiter, LoadWatch};

/// The time that a load takes alone.
const LOAD_TIME: Duration = Duration::from_secs(4);

const STEP: Duration = Duration::from_millis(100);

/// The value of a copy for single requests, and of one for a model with much demand.
const RARE: f64 = 0.5;
const BUSY: f64 = 1.1;

/// An active load at a server.
struct Load {
    value: f64,
    began: Duration,
    /// The part that is done.
    done: f64,
    watch: LoadWatch,
}

/// Failure domains that load from one store.
struct Fleet {
    /// The number of loads that the store serves at full speed.
    store_capacity: usize,
    servers_per_domain: usize,
    domains: Vec<(Vec<Load>, LoadConcurrencyLimiter)>,
    is_limited: bool,
    now: Duration,
    ended: usize,
}

impl Fleet {
    fn new(domains: usize, servers_per_domain: usize, store_capacity: usize) -> Self {
        let domains = (0..domains).map(|_| Default::default()).collect();
        let now = Duration::ZERO;
        Self { store_capacity, servers_per_domain, domains, is_limited: true, now, ended: 0 }
    }

    /// Starts a load if the domain has a free server and its limit allows it.
    fn try_load(&mut self, domain: usize, value: f64) -> bool {
        let (loads, limiter) = &mut self.domains[domain];
        let active: Vec<f64> = loads.iter().map(|load| load.value).collect();
        let is_allowed = !self.is_limited || value >= limiter.least_value(&active);
        if !is_allowed || loads.len() >= self.servers_per_domain {
            return false;
        }
        let watch = LoadWatch::new(LOAD_TIME);
        loads.push(Load { value, began: self.now, done: 0.0, watch });
        true
    }

    /// Lets time pass; returns the values of the loads that end.
    fn advance(&mut self) -> Vec<f64> {
        self.now += STEP;
        let active: usize = self.domains.iter().map(|(loads, _)| loads.len()).sum();
        let speed = (self.store_capacity as f64 / active.max(1) as f64).min(1.0);
        let progress = speed * STEP.as_secs_f64() / LOAD_TIME.as_secs_f64();
        let mut ended = Vec::new();
        for (loads, limiter) in &mut self.domains {
            let count = loads.len();
            for load in loads.iter_mut() {
                load.done += progress;
                let elapsed = self.now - load.began;
                if load.watch.is_evidence(elapsed, load.done >= 1.0) {
                    limiter.record_load(elapsed, LOAD_TIME, count);
                }
            }
            ended.extend(loads.extract_if(.., |load| load.done >= 1.0).map(|load| load.value));
        }
        self.ended += ended.len();
        ended
    }

    /// Lets all domains load for single requests.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.load_rare_models();
            self.advance();
        }
    }

    fn load_rare_models(&mut self) {
        for domain in 0..self.domains.len() {
            while self.try_load(domain, RARE) {}
        }
    }

    /// Returns how long one domain takes to load a busy model.
    fn time_to_load_busy_model(&mut self) -> Duration {
        let since = self.now;
        let mut has_begun = false;
        loop {
            has_begun = has_begun || self.try_load(0, BUSY);
            self.load_rare_models();
            if self.advance().contains(&BUSY) {
                return self.now - since;
            }
        }
    }
}

/// Returns the longest time until a busy model is loaded, and the number of loads that ended.
fn replay(is_limited: bool) -> (Duration, usize) {
    let mut fleet = Fleet { is_limited, ..Fleet::new(6, 3, 10) };
    fleet.run(Duration::from_secs(30));
    let longest = (0..10).map(|_| {
        fleet.run(Duration::from_millis(1_700));
        fleet.time_to_load_busy_model()
    });
    (longest.max().expect("ten times"), fleet.ended * 60 / fleet.now.as_secs() as usize)
}

#[test]
fn busy_model_does_not_wait_for_servers_that_load_rare_ones() {
    let (unlimited, unlimited_per_minute) = replay(false);
    let (limited, limited_per_minute) = replay(true);
    println!("{unlimited:?} and {unlimited_per_minute} a minute without the limit");
    println!("{limited:?} and {limited_per_minute} a minute with it");
    assert!(limited <= LOAD_TIME.mul_f64(1.5), "{limited:?}");
    assert!(limited < unlimited.mul_f64(0.7), "{limited:?}, without the limit {unlimited:?}");
    assert!(limited_per_minute * 10 >= unlimited_per_minute * 9);
}

#[test]
fn store_that_serves_all_loads_at_full_speed_limits_nothing() {
    let mut fleet = Fleet::new(6, 10, 60);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.domains.iter().all(|(_, limiter)| limiter.least_value(&[RARE; 9]) == 0.0));
}

#[test]
fn limit_rises_again_when_loads_are_fast() {
    let mut limiter = LoadConcurrencyLimiter::default();
    for _ in 0..2 {
        limiter.record_load(LOAD_TIME * 3, LOAD_TIME, 3);
    }
    assert_eq!(limiter.least_value(&[]), 0.0, "one load always starts");
    assert!(limiter.least_value(&[RARE]) > RARE);
    assert!(limiter.least_value(&[RARE]) <= BUSY);
    for active in 1..4 {
        limiter.record_load(LOAD_TIME, LOAD_TIME, active);
    }
    assert_eq!(limiter.least_value(&[RARE; 3]), 0.0);
}

#[test]
fn single_slow_server_limits_no_loads() {
    let mut limiter = LoadConcurrencyLimiter::default();
    for _ in 0..5 {
        let mut watch = LoadWatch::new(LOAD_TIME);
        for (tenths, is_done) in [(11, false), (20, false), (50, true)] {
            let elapsed = LOAD_TIME * tenths / 10;
            if watch.is_evidence(elapsed, is_done) {
                limiter.record_load(elapsed, LOAD_TIME, 4);
            }
        }
        limiter.record_load(LOAD_TIME, LOAD_TIME, 4);
    }
    assert_eq!(limiter.limit(), None);
}
