//! Sends the calls to workers that a holder decides on, urgent ones first.

use std::sync;

use wharflane::job;

use super::Shared;
use super::decided;
use super::holder;

/// Maximum number of calls to workers that are begun in one turn of the runtime. The rest stays in
/// the outbox, where a more urgent call can still go before it, and doesn't delay the answers of the
/// store.
const CALLS_PER_TURN: usize = 16;
/// A call to a worker that waits to be sent, with the time of its decision.
type DecidedCall = (job::Effect, decided::DecisionTime);

/// The calls to workers that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    /// The calls.
    calls: sync::Mutex<job::Outbox<DecidedCall>>,
    /// Notifies the task that sends them.
    added: tokio::sync::Notify,
}

impl Outbox {
    /// Adds a call that was decided on.
    pub fn push(&self, call: job::Effect, decided: decided::DecisionTime) {
        let now = decided.at();
        self.lock().push((call, decided), |(call, _)| call, now);
        self.added.notify_one();
    }

    /// Returns the starts that wait, and how many may wait.
    #[must_use]
    pub fn starts(&self) -> job::Starts {
        self.lock().starts()
    }

    /// Locks the calls; a panic elsewhere leaves them usable.
    fn lock(&self) -> sync::MutexGuard<'_, job::Outbox<DecidedCall>> {
        self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Sends the calls of the outbox for as long as the process runs.
pub async fn send_all(
    shared: Shared,
    holder: ractor::ActorRef<holder::Msg>,
    outbox: sync::Arc<Outbox>,
) {
    loop {
        for _ in 0..CALLS_PER_TURN {
            let Some((call, decided)) = outbox.lock().pop(shared.clock.now()) else {
                break;
            };
            send(&shared, &holder, call, decided);
        }
        if outbox.lock().is_empty() {
            outbox.added.notified().await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

/// Sends one call to a worker in a task of its own and feeds the result back as an event.
fn send(
    shared: &Shared,
    holder: &ractor::ActorRef<holder::Msg>,
    call: job::Effect,
    decided: decided::DecisionTime,
) {
    let (shared, myself) = (shared.clone(), holder.clone());
    let urgent = call.is_urgent();
    match call {
        job::Effect::Start(start) => drop(tokio::spawn(async move {
            let answer = match decided.allows_sending("start") {
                true => shared.workers.start(&start).await,
                false => job::StartAnswer::TooLate,
            };
            let event = job::Event::Started { order: start.order, answer };
            holder::send_answer(&shared, &myself, event, (decided.at(), urgent));
        })),
        job::Effect::Stop(order) => drop(tokio::spawn(async move {
            if !decided.allows_sending("stop") || !shared.workers.stop(&order).await {
                holder::send_event(&shared, &myself, job::Event::StopNotTaken(order));
            }
        })),
        job::Effect::SetShare(change) => drop(tokio::spawn(async move {
            if decided.allows_sending("pace") {
                shared.workers.set_share(&change).await;
            }
        })),
        job::Effect::SendHeartbeat(heartbeat) => drop(tokio::spawn(async move {
            let answer = match decided.allows_sending("look") {
                true => shared.workers.send_heartbeat(&heartbeat).await,
                false => job::HeartbeatAnswer::NotSent,
            };
            let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
            let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
            holder::send_answer(&shared, &myself, event, (decided.at(), urgent));
        })),
        // All other effects go to the store, to hosts or to the advice service.
        _ => {}
    }
}
