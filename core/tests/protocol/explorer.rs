//! Exhaustive breadth-first search over the reachable states, and random walks.

use {
    crate::{
        model::{FastHasher, Message, Model},
        router::Reply,
        world::World,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeSet, HashSet, VecDeque},
        hash::{Hash, Hasher},
    },
    tamarackdale_core::{attempt::State, claim, id::Attempt},
};

/// A transition of the model.
#[derive(Clone, Debug)]
pub enum Step {
    Offer { router: usize, sidecar: usize },
    Deliver(Message),
    Duplicate(Message),
    TimeOut(usize),
    Inquire(usize),
    GiveUp(usize),
    Restart(usize),
    Shed(usize, Attempt),
    Abort(usize, Attempt),
    Sweep(usize),
    Pause,
    Expire,
}

/// Result of an exploration.
#[derive(Debug, Default)]
pub struct Outcome {
    pub states: usize,
    /// A violated guarantee, with the steps that lead to it.
    pub violation: Option<(&'static str, Vec<Step>)>,
    /// Reached combinations of the routers' replies and the number of writes to the store.
    pub reached: BTreeSet<(Vec<Option<Reply>>, i64)>,
}

/// Explores every order of all possible steps.
pub fn explore_all(model: &Model) -> Outcome {
    let mut outcome = Outcome::default();
    let mut visited = HashSet::new();
    let mut parents: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(0, World::new(model))]);
    while let Some((index, world)) = queue.pop_front() {
        outcome.record(&world);
        if let Some(violation) = world.violation(model) {
            outcome.violation = Some((violation, trace(&parents, index)));
            break;
        }
        for step in possible_steps(&world, model) {
            let mut next = world.clone();
            apply(&mut next, &step, model);
            if visited.insert(fingerprint(&next)) {
                parents.push((index, Some(step)));
                queue.push_back((parents.len() - 1, next));
            }
        }
    }
    outcome.states = parents.len();
    outcome
}

/// Takes random steps from the initial state until none is possible, `walks` times. The step by
/// which a router gives up is chosen less often. `Outcome::states` counts all steps.
pub fn random_walks(model: &Model, walks: usize, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    for _ in 0..walks {
        let mut world = World::new(model);
        let mut path = Vec::new();
        loop {
            let mut choices = possible_steps(&world, model);
            if choices.is_empty() {
                break;
            }
            let mut index = rng.random_range(0..choices.len());
            if matches!(choices[index], Step::GiveUp(_)) && rng.random_ratio(9, 10) {
                index = rng.random_range(0..choices.len());
            }
            let step = choices.swap_remove(index);
            apply(&mut world, &step, model);
            path.push(step);
            outcome.states += 1;
            if let Some(violation) = world.violation(model) {
                outcome.violation = Some((violation, path));
                return outcome;
            }
        }
        outcome.record(&world);
    }
    outcome
}

impl Outcome {
    fn record(&mut self, world: &World) {
        let replies = world.routers.iter().map(|router| router.reply).collect();
        self.reached.insert((replies, world.writes));
    }
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = FastHasher::default();
    world.hash(&mut hasher);
    hasher.finish()
}

/// The steps from the initial state to the state `index`.
fn trace(parents: &[(usize, Option<Step>)], mut index: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    while let (parent, Some(step)) = &parents[index] {
        steps.push(step.clone());
        index = *parent;
    }
    steps.reverse();
    steps
}

/// All steps that are possible in a state.
fn possible_steps(world: &World, model: &Model) -> Vec<Step> {
    let mut steps = Vec::new();
    for message in &world.network.0 {
        steps.push(Step::Deliver(message.clone()));
        let to_process = matches!(
            message,
            Message::Enqueue { .. }
                | Message::Grant { .. }
                | Message::Resume { .. }
                | Message::Call { .. }
        );
        if to_process && world.faults.duplicates > 0 {
            steps.push(Step::Duplicate(message.clone()));
        }
    }
    for index in 0..model.offers.len() {
        router_steps(world, model, index, &mut steps);
    }
    for index in 0..model.sidecars {
        sidecar_steps(world, index, &mut steps);
    }
    if world.faults.pauses > 0 {
        steps.push(Step::Pause);
    }
    if world.can_expire() && world.dispatched.is_empty() {
        steps.push(Step::Expire);
    }
    steps
}

fn router_steps(world: &World, model: &Model, index: usize, steps: &mut Vec<Step>) {
    let router = &world.routers[index];
    if router.reply.is_none() && router.offers.len() < model.offers[index] {
        let offer = |sidecar| Step::Offer {
            router: index,
            sidecar,
        };
        steps.extend((0..model.sidecars).map(offer));
    }
    if router.is_waiting() && world.faults.timeouts > 0 {
        steps.push(Step::TimeOut(index));
    }
    if router.can_inquire() && world.faults.inquiries > 0 {
        steps.push(Step::Inquire(index));
    }
    if router.can_give_up() && !router.offers.is_empty() {
        steps.push(Step::GiveUp(index));
    }
}

fn sidecar_steps(world: &World, index: usize, steps: &mut Vec<Step>) {
    let table = &world.sidecars[index];
    if world.faults.restarts > 0 {
        steps.push(Step::Restart(index));
    }
    let offers = world.routers.iter().flat_map(|router| &router.offers);
    let mut used = false;
    for offer in offers {
        let state = table.state(offer.attempt);
        used |= state != State::Unknown;
        if state.is_queued() && world.faults.sheds > 0 {
            steps.push(Step::Shed(index, offer.attempt));
        }
        if state == State::Dispatched && world.faults.aborts > 0 {
            steps.push(Step::Abort(index, offer.attempt));
        }
    }
    if used && world.faults.sweeps > 0 {
        steps.push(Step::Sweep(index));
    }
}

fn apply(world: &mut World, step: &Step, model: &Model) {
    match step.clone() {
        Step::Offer { router, sidecar } => world.offer(router, sidecar),
        Step::Deliver(message) => {
            let position = world.network.0.iter().position(|sent| *sent == message);
            world.network.0.swap_remove(position.expect("in flight"));
            world.deliver(message, model);
        }
        Step::Duplicate(message) => {
            world.faults.duplicates -= 1;
            world.deliver(message, model);
        }
        Step::TimeOut(router) => {
            world.faults.timeouts -= 1;
            world.time_out(router);
        }
        Step::Inquire(router) => {
            world.faults.inquiries -= 1;
            world.inquire(router);
        }
        Step::GiveUp(router) => world.give_up(router),
        Step::Restart(sidecar) => {
            world.faults.restarts -= 1;
            world.restart(sidecar);
        }
        Step::Shed(sidecar, attempt) => {
            world.faults.sheds -= 1;
            world.sidecars[sidecar].void(attempt, world.now).ok();
        }
        Step::Abort(sidecar, attempt) => {
            world.faults.aborts -= 1;
            world.sidecars[sidecar].abort(attempt, world.now);
            world.dispatched.retain(|dispatched| *dispatched != attempt);
            world.aborted.push(attempt);
        }
        Step::Sweep(sidecar) => {
            world.faults.sweeps -= 1;
            let table = &mut world.sidecars[sidecar];
            for attempt in world.dispatched.clone() {
                table.finish(attempt, world.now);
            }
            table.sweep(world.now);
        }
        Step::Pause => {
            world.faults.pauses -= 1;
            world.now = world.now.plus(claim::LEASE - claim::LEASE_ROTATION);
        }
        Step::Expire => world.store = None,
    }
    world.drop_stale_messages();
}
