//! Admitting a completion and making its tokens.

use {
    crate::{
        answer::token_text,
        engine::{
            ActiveRun, StandinEngine, USUAL_PACE_PERCENT,
            request::{CompletionRequest, Refusal},
            shape::{AnswerToken, BodyPart, EventWriter, FrameShaper},
            site::GroupPresence,
            slots::{SlotPermit, SlotRefusal},
        },
        fault::FrameFaults,
        history::{EngineRun, EntryNumber, RunEnd},
        settings::IncompleteMode,
    },
    base::AttemptId,
    engine::{EnginePhase, LoadOrder},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{
            mpsc::{UnboundedReceiver, UnboundedSender},
            watch,
        },
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Pause between two looks at a member that is missing.
const PRESENCE_PAUSE: Duration = Duration::from_millis(20);

/// Where a run's tokens go.
pub enum TokenSink {
    /// Into a stream, frame by frame.
    Stream(Box<FrameShaper>),
    /// To a handler that gathers them.
    Gather(UnboundedSender<AnswerToken>),
}

impl TokenSink {
    fn push(&mut self, token: AnswerToken) {
        match self {
            Self::Stream(shaper) => shaper.push(&token),
            // A handler that is gone is noticed by `closed`.
            Self::Gather(sender) => drop(sender.send(token)),
        }
    }

    async fn closed(&self) {
        match self {
            Self::Stream(shaper) => shaper.closed().await,
            Self::Gather(sender) => sender.closed().await,
        }
    }

    fn end(self, end: RunEnd) {
        match (self, end) {
            (Self::Stream(shaper), RunEnd::Whole) => shaper.finish(),
            (Self::Stream(shaper), _) => shaper.abort(),
            (Self::Gather(_), _) => {}
        }
    }
}

/// A completion that has its slot.
pub struct AdmittedRun {
    engine: Arc<StandinEngine>,
    request: CompletionRequest,
    attempt: AttemptId,
    order: LoadOrder,
    number: u64,
    entry: EntryNumber,
    stop: watch::Receiver<Option<RunEnd>>,
    prefill: Duration,
    _permit: SlotPermit,
}

impl StandinEngine {
    /// Waits for a slot; a refusal means that nothing was run.
    pub async fn admit(
        self: &Arc<Self>,
        request: CompletionRequest,
    ) -> Result<AdmittedRun, Refusal> {
        let attempt = request.attempt.clone();
        let admitted = self.try_admit(request).await;
        if let Err(refusal) = &admitted {
            self.refuse(attempt, refusal.reason());
        }
        admitted
    }

    async fn try_admit(
        self: &Arc<Self>,
        request: CompletionRequest,
    ) -> Result<AdmittedRun, Refusal> {
        self.matching_order(&request)?;
        let waiting = self.slots.acquire(request.priority);
        let permit = match timeout(request.time_left, waiting).await {
            Ok(Ok(permit)) => permit,
            Ok(Err(SlotRefusal::Full)) => return Err(Refusal::Full),
            Ok(Err(SlotRefusal::Emptied)) => return Err(Refusal::NotReady),
            Err(_) => return Err(Refusal::Late),
        };
        while self.is_frozen() {
            sleep(PRESENCE_PAUSE).await;
        }
        let order = self.matching_order(&request)?;
        let presence = self.shared.site.presence(&order, self.shared.clock.now_ms());
        let refuses = self.shared.settings.incomplete == IncompleteMode::Refuse;
        if refuses && presence != GroupPresence::Whole {
            return Err(Refusal::NotReady);
        }
        self.start_run(request, order, presence, permit)
    }

    /// The load order, if the engine takes this request under it.
    fn matching_order(&self, request: &CompletionRequest) -> Result<LoadOrder, Refusal> {
        let core = self.core.lock();
        let Some(order) = &core.order else { return Err(Refusal::OtherEpoch) };
        if let Some((group, epoch)) = &request.group
            && (*group != order.group || *epoch != order.epoch)
        {
            return Err(Refusal::OtherEpoch);
        }
        let first = order.members.first().is_some_and(|member| member.host == self.host);
        match core.alive && first && core.phase == EnginePhase::Ready {
            true => Ok(order.clone()),
            false => Err(Refusal::NotReady),
        }
    }

    fn start_run(
        self: &Arc<Self>,
        request: CompletionRequest,
        order: LoadOrder,
        presence: GroupPresence,
        permit: SlotPermit,
    ) -> Result<AdmittedRun, Refusal> {
        let mut core = self.core.lock();
        if !core.alive || core.phase != EnginePhase::Ready || core.order.as_ref() != Some(&order) {
            return Err(Refusal::NotReady);
        }
        core.next_run += 1;
        let number = core.next_run;
        let attempt = request.attempt.clone().unwrap_or_else(|| direct_attempt(number));
        let (sender, stop) = watch::channel(None);
        core.runs.insert(number, ActiveRun { attempt: attempt.clone(), stop: sender });
        let hits = core.cache.read(&request.prefixes);
        let cold = (request.prefixes.len() - hits) as u64;
        let prefill = Duration::from_micros(self.shared.settings.prefill_block_us * cold);
        drop(core);
        let entry = self.record_run(&request, &attempt, &order, presence);
        let engine = self.clone();
        let run = AdmittedRun {
            engine,
            request,
            attempt,
            order,
            number,
            entry,
            stop,
            prefill,
            _permit: permit,
        };
        Ok(run)
    }

    fn record_run(
        &self,
        request: &CompletionRequest,
        attempt: &AttemptId,
        order: &LoadOrder,
        presence: GroupPresence,
    ) -> EntryNumber {
        let now_ms = self.shared.clock.now_ms();
        let missing_ms = match presence {
            GroupPresence::Whole => 0,
            GroupPresence::Missing { since_ms } | GroupPresence::Broken { since_ms } => {
                now_ms.saturating_sub(since_ms)
            }
        };
        self.shared.history.add_run(EngineRun {
            host: self.host.clone(),
            attempt: attempt.clone(),
            group: order.group.clone(),
            epoch: order.epoch,
            idempotency_key: request.idempotency_key.clone(),
            prompt: format!("{:016x}", request.digest).into(),
            offset: request.offset,
            priority: request.priority,
            started_ms: now_ms,
            ended_ms: None,
            end: None,
            tokens: 0,
            complete_at_start: presence == GroupPresence::Whole,
            missing_ms,
        })
    }

    /// Makes the body of a stream and what fills it.
    pub fn shaper(&self, run: &AdmittedRun) -> (FrameShaper, UnboundedReceiver<BodyPart>) {
        let mut core = self.core.lock();
        let earlier = core.last_attempt.replace(run.attempt.clone());
        let earlier = earlier.unwrap_or_else(|| direct_attempt(0));
        let faults = take_stream(&mut core.frame_faults);
        let random = Pcg64Mcg::seed_from_u64(core.random.random());
        drop(core);
        let writer = EventWriter::new(&run.request);
        FrameShaper::new(writer, run.attempt.clone(), earlier, faults, random)
    }
}

/// The faults of the next stream.
fn take_stream(faults: &mut FrameFaults) -> FrameFaults {
    match &mut faults.streams {
        Some(0) => FrameFaults::default(),
        Some(left) => {
            *left -= 1;
            *faults
        }
        None => *faults,
    }
}

fn direct_attempt(number: u64) -> AttemptId {
    AttemptId::new(format!("direct-{number}")).expect("digits are allowed")
}

impl AdmittedRun {
    /// The attempt, as given or made up.
    pub fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// The request.
    pub fn request(&self) -> &CompletionRequest {
        &self.request
    }

    /// Makes the tokens on a task of its own.
    pub fn spawn(self, sink: TokenSink) {
        tokio::spawn(self.generate(sink));
    }

    async fn generate(mut self, mut sink: TokenSink) {
        let cancels = self.engine.shared.settings.cancel_on_disconnect;
        let mut stop = self.stop.clone();
        let mut made = 0;
        let end = {
            let closed_sink = async {
                let _ = stop.wait_for(Option::is_some).await;
                let end = *stop.borrow();
                end.unwrap_or(RunEnd::Cut)
            };
            let mut stopped = std::pin::pin!(closed_sink);
            self.make_tokens(&mut sink, &mut made, cancels, stopped.as_mut()).await
        };
        self.finish(made, end);
        sink.end(end);
    }

    async fn make_tokens(
        &mut self,
        sink: &mut TokenSink,
        made: &mut u64,
        cancels: bool,
        mut stopped: std::pin::Pin<&mut impl Future<Output = RunEnd>>,
    ) -> RunEnd {
        // A caller that has every token still needs the end.
        let first = self.request.offset.min(self.request.tokens - 1);
        let mut due = Instant::now() + self.prefill;
        for index in first..self.request.tokens {
            let wait = self.wait_for_token(&mut due);
            tokio::select! {
                end = &mut stopped => return end,
                () = sink.closed(), if cancels => return RunEnd::Cancelled,
                working = wait => if !working { return RunEnd::Cut },
            }
            let last = index + 1 == self.request.tokens;
            let text = token_text(self.request.digest, index);
            sink.push(AnswerToken { index, text, last });
            *made += 1;
        }
        RunEnd::Whole
    }

    /// Waits until the next token is due and every member is there; false when the group broke.
    ///
    /// Tokens are due at even steps, so that the waits' own delays do not add up.
    async fn wait_for_token(&self, due: &mut Instant) -> bool {
        let shared = &self.engine.shared;
        let pace = shared.site.pace_percent(&self.order);
        let step = Duration::from_millis(shared.settings.token_interval_ms);
        *due += step * pace / USUAL_PACE_PERCENT;
        sleep_until(*due).await;
        *due = (*due).max(Instant::now() - step);
        loop {
            match shared.site.presence(&self.order, shared.clock.now_ms()) {
                GroupPresence::Whole => return true,
                GroupPresence::Broken { .. } => return false,
                GroupPresence::Missing { .. } => sleep(PRESENCE_PAUSE).await,
            }
        }
    }

    fn finish(&self, made: u64, end: RunEnd) {
        self.engine.core.lock().runs.remove(&self.number);
        let now_ms = self.engine.shared.clock.now_ms();
        self.engine.shared.history.change_run(self.entry, |run| {
            run.ended_ms = Some(now_ms);
            run.end = Some(end);
            run.tokens = made;
        });
    }
}
