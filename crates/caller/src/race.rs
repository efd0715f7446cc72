//! Runs the attempts of one request until one of them succeeds.

use std::collections::HashMap;

use error::{Kind, Refusal};
use policy::{Action, Event, Failure, SendOrder};
use router::{AttemptKind, RequestHandle};
use tokio::task::AbortHandle;

use crate::attempt::{AttemptTasks, SharedProof};
use crate::listener::App;

/// The attempt that succeeded first.
pub struct Winner<T> {
    /// The core's order for the attempt.
    pub order: SendOrder,
    /// The result of the attempt.
    pub value: T,
}

/// Starts and aborts attempts as the core orders; the first one that succeeds wins.
///
/// Returning drops the other attempts, which aborts them.
pub async fn race<T, F>(
    app: &App,
    handle: &mut RequestHandle,
    proof: &SharedProof,
    attempt: impl Fn(SendOrder) -> F,
) -> Result<Winner<T>, Refusal>
where
    T: Send + 'static,
    F: Future<Output = Result<T, Failure>> + Send + 'static,
{
    let mut attempts: AttemptTasks<T> = AttemptTasks::new();
    let mut running: HashMap<policy::Attempt, (SendOrder, AbortHandle)> = HashMap::new();
    loop {
        tokio::select! {
            biased;
            action = handle.next() => match action {
                Some(Action::Send(order)) => {
                    count_attempt(app, &order);
                    let (number, future) = (order.attempt, attempt(order.clone()));
                    let task = attempts.spawn(async move { (number, future.await) });
                    running.insert(number, (order, task));
                }
                Some(Action::Abort(_, number)) => {
                    if let Some((_, task)) = running.remove(&number) {
                        task.abort();
                    }
                }
                Some(Action::Refuse(_, kind, after_ms)) => {
                    return Err(Refusal::new(kind, proof).retry_after(after_ms));
                }
                Some(Action::Halt(..) | Action::Rate(..)) => {}
                None => return Err(Refusal::new(Kind::Timeout, proof)),
            },
            Some(Ok((number, result))) = attempts.join_next(), if !attempts.is_empty() => {
                match result {
                    Ok(value) if running.contains_key(&number) => {
                        handle.step(Event::FirstByte(handle.id(), number));
                        if let Some((order, _)) = running.remove(&number) {
                            return Ok(Winner { order, value });
                        }
                    }
                    Ok(_) => {}
                    Err(failure) => handle.step(Event::Failed(handle.id(), number, failure)),
                }
            }
        }
    }
}

fn count_attempt(app: &App, order: &SendOrder) {
    let kind = match (order.hedge, order.attempt) {
        (true, _) => AttemptKind::Hedge,
        (false, 1) => AttemptKind::First,
        (false, _) => AttemptKind::Retry,
    };
    app.shared.metrics.attempts.get_or_create(&kind.into()).inc();
}
