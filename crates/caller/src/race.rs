//! Carries out the core's orders for one request until an attempt has a first byte.

use std::collections::HashMap;

use error::{Kind, Refusal};
use policy::{Action, Event, Failure, Send};
use router::{AttemptKind, Ticket};
use tokio::task::AbortHandle;

use crate::attempt::{Attempts, SharedProof};
use crate::listener::App;

/// The attempt that answered first.
pub struct Winner<T> {
    /// The order that it carried out.
    pub order: Send,
    /// What it brought.
    pub value: T,
}

/// Runs attempts as the core orders them; the first to bring a value wins.
pub async fn race<T, F>(
    app: &App,
    ticket: &mut Ticket,
    proof: &SharedProof,
    attempt: impl Fn(Send) -> F,
) -> Result<Winner<T>, Refusal>
where
    T: std::marker::Send + 'static,
    F: Future<Output = Result<T, Failure>> + std::marker::Send + 'static,
{
    let mut attempts: Attempts<T> = Attempts::new();
    let mut sent: HashMap<policy::Attempt, (Send, AbortHandle)> = HashMap::new();
    loop {
        tokio::select! {
            biased;
            action = ticket.next() => match action {
                Some(Action::Send(order)) => {
                    count(app, &order);
                    let (number, work) = (order.attempt, attempt(order.clone()));
                    let task = attempts.spawn(async move { (number, work.await) });
                    sent.insert(number, (order, task));
                }
                Some(Action::Abort(_, number)) => {
                    if let Some((_, task)) = sent.remove(&number) {
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
                    Ok(value) if sent.contains_key(&number) => {
                        ticket.step(Event::FirstByte(ticket.id(), number));
                        if let Some((order, _)) = sent.remove(&number) {
                            return Ok(Winner { order, value });
                        }
                    }
                    Ok(_) => {}
                    Err(failure) => ticket.step(Event::Failed(ticket.id(), number, failure)),
                }
            }
        }
    }
}

fn count(app: &App, order: &Send) {
    let kind = match (order.hedge, order.attempt) {
        (true, _) => AttemptKind::Hedge,
        (false, 1) => AttemptKind::First,
        (false, _) => AttemptKind::Retry,
    };
    app.shared.metrics.attempts.get_or_create(&kind.into()).inc();
}
