//! The messages that requests and other tasks send to the task.

use super::*;

impl Handle {
    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, Closed> {
        let (reply, answer) = oneshot::channel();
        self.messages
            .send(message(reply))
            .await
            .map_err(|_| Closed)?;
        answer.await.map_err(|_| Closed)
    }

    async fn send(&self, message: Message) {
        // The task ends only with the instance, when its effects are no longer needed.
        let _ = self.messages.send(message).await;
    }

    /// Applies a configuration.
    pub async fn configure(&self, snapshot: Arc<Snapshot>) {
        self.send(Message::Configure(snapshot)).await;
    }

    /// Applies an instance list that was read between `begun` and `ended`.
    pub async fn set_members(&self, members: Members, begun: Moment, ended: Moment) {
        self.send(Message::SetMembers(members, begun, ended)).await;
    }

    /// Records a load report of an upstream.
    pub async fn record_load(&self, upstream: name::Upstream, load: Load) {
        self.send(Message::RecordLoad(upstream, load)).await;
    }

    /// Chooses the versions that serve a request; returns none if no candidate may serve it.
    ///
    /// # Errors
    ///
    /// The outer error: the instance is shutting down. The inner error: the ids belong to another
    /// configuration.
    pub async fn plan(&self, query: VersionQuery) -> Result<Result<Option<Plan>, Stale>, Closed> {
        self.ask(|reply| Message::Plan(query, reply)).await
    }

    /// Returns whether a version is free of a brake for a service.
    ///
    /// # Errors
    ///
    /// The outer error: the instance is shutting down. The inner error: the ids belong to another
    /// configuration.
    pub async fn is_usable(
        &self,
        service: id::Service,
        version: id::Version,
        generation: Generation,
    ) -> Result<Result<bool, Stale>, Closed> {
        self.ask(|reply| Message::IsUsable(service, version, generation, reply))
            .await
    }

    /// Chooses an upstream; the choice must be passed to [`Handle::finish`] in the end.
    ///
    /// # Errors
    ///
    /// The outer error: the instance is shutting down. The inner error: no upstream can take the
    /// request now.
    pub async fn choose(
        &self,
        query: UpstreamQuery,
    ) -> Result<Result<Choice, routing::Refusal>, Closed> {
        self.ask(|reply| Message::Choose(Box::new(query), reply))
            .await
    }

    /// Ends a choice and frees its slot.
    pub async fn finish(&self, choice: Choice, outcome: Outcome) {
        self.send(Message::Finish(choice, outcome)).await;
    }

    /// Records that the first event of the answer to a choice has arrived.
    pub async fn record_first_event(&self, choice: &Choice) {
        let message = Message::Forward(ForwardMessage::FirstEvent(
            choice.upstream.clone(),
            choice.ticket(),
        ));
        self.send(message).await;
    }

    /// Returns the load that this instance puts on each upstream.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn loads(&self) -> Result<Loads, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Loads(reply)))
            .await
    }

    /// Returns what this instance observed of the speeds of upstreams.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn paces(&self) -> Result<Vec<Pace>, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Paces(reply)))
            .await
    }

    /// Records what a peer observed of the speeds of upstreams.
    pub async fn record_peer_paces(&self, instance: name::Instance, paces: Vec<Pace>) {
        let message = ForwardMessage::RecordPeerPaces(instance, paces);
        self.send(Message::Forward(message)).await;
    }

    /// Records the load that a peer, one of `others` peers, puts on each upstream.
    pub async fn record_peer_loads(&self, instance: name::Instance, loads: Loads, others: usize) {
        self.send(Message::Forward(ForwardMessage::RecordPeerLoads(
            instance, loads, others,
        )))
        .await;
    }

    /// Records that an upstream said that it is leaving.
    pub async fn record_leaving(&self, incarnation: Incarnation) {
        self.send(Message::Forward(ForwardMessage::RecordLeaving(incarnation)))
            .await;
    }

    /// Records the limit in an answer of an upstream to this instance or to a peer.
    pub async fn record_limit(&self, incarnation: Incarnation, limit: Limit) {
        let message = ForwardMessage::RecordLimit(incarnation, limit);
        self.send(Message::Forward(message)).await;
    }

    /// Returns the limits of upstreams to tell to peers.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn limits(&self) -> Result<Vec<(Incarnation, Limit)>, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Limits(reply)))
            .await
    }

    /// Returns what is to be told to peers of the ends of tries, and what to log. `is_cut_off` says that the
    /// own links to upstreams are cut.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn evidence(&self, is_cut_off: bool) -> Result<judgement::News, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Evidence(is_cut_off, reply)))
            .await
    }

    /// Records what a peer told of the ends of its tries.
    pub async fn record_evidence(&self, word: judgement::Word) {
        self.send(Message::Forward(ForwardMessage::RecordEvidence(word)))
            .await;
    }

    /// Records that an upstream wants no requests until a time.
    pub async fn record_rest(&self, incarnation: Incarnation, until: Moment) {
        self.send(Message::Forward(ForwardMessage::RecordRest(
            incarnation,
            until,
        )))
        .await;
    }

    /// Returns the delay before a retry; none if the retry budget or the deadline forbids it.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn schedule_retry(
        &self,
        retry: u32,
        deadline: Moment,
    ) -> Result<Option<Span>, Closed> {
        self.ask(|reply| Message::ScheduleRetry(retry, deadline, reply))
            .await
    }

    /// Counts a request of a service that bounds its repeats.
    pub async fn record_request(&self, service: name::Service) {
        self.send(Message::Forward(ForwardMessage::RecordRequest(service)))
            .await;
    }

    /// Chooses the release that runs a request of a service whose upstreams register themselves.
    ///
    /// # Errors
    ///
    /// The outer error: the instance is shutting down. The inner error: the ids belong to another
    /// configuration.
    pub async fn assign_release(
        &self,
        query: release::Query,
        generation: Generation,
    ) -> Result<Result<Assignment, Stale>, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::AssignRelease(query, generation, reply)))
            .await
    }

    /// Records an answer of a release.
    pub async fn record_answer(
        &self,
        service: name::Service,
        version: name::Version,
        outcome: release::AnswerOutcome,
    ) {
        self.send(Message::Forward(ForwardMessage::RecordAnswer(
            service, version, outcome,
        )))
        .await;
    }

    /// Records the latency of the first event of an answer of a service.
    pub async fn observe_first_event(&self, service: name::Service, first: Observation) {
        self.send(Message::Forward(ForwardMessage::ObserveFirstEvent(
            service, first,
        )))
        .await;
    }

    /// Returns the least work that would precede a request's first event at any upstream, in
    /// tokens.
    ///
    /// # Errors
    ///
    /// The outer error: the instance is shutting down. The inner error: no upstream can take the
    /// request now.
    pub async fn least_pending_work(
        &self,
        query: UpstreamQuery,
    ) -> Result<Result<f64, routing::Refusal>, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::LeastPendingWork(Box::new(query), reply)))
            .await
    }

    /// Returns the governor of a service, which limits the share of the engines' time that
    /// escalations may take now.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn governor(&self, service: name::Service) -> Result<Governor, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Governor(service, reply)))
            .await
    }

    /// Returns reports on trials of releases, to be sent to peers. They reach all instances within
    /// `lead`; `heard` is what the messages of peers show.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn reports(&self, lead: Span, heard: Heard) -> Result<Vec<release::Report>, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::Reports(lead, heard, reply)))
            .await
    }

    /// Merges the reports of a peer on trials of releases. Returns whether the peers of this instance
    /// have to know of them soon; `false` if the instance is shutting down.
    pub async fn merge_reports(&self, reports: Vec<release::Report>) -> bool {
        let merged = self
            .ask(|reply| Message::Forward(ForwardMessage::MergeReports(reports, reply)))
            .await;
        merged.unwrap_or_default()
    }

    /// Ends the trial of a release by the ruling that is in the store, in an era of it.
    pub async fn record_written_ruling(
        &self,
        service: name::Service,
        target: name::Version,
        ruling: Ruling,
        era: Era,
    ) {
        self.send(Message::Forward(ForwardMessage::EndTrial(
            service, target, ruling, era,
        )))
        .await;
    }

    /// Returns whether a request of a service may be sent once more within the bound on repeats,
    /// and counts the repeat. The last `reserve` repeats are left to other requests.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn try_repeat(&self, service: name::Service, reserve: u32) -> Result<bool, Closed> {
        self.ask(|reply| Message::Forward(ForwardMessage::TryRepeat(service, reserve, reply)))
            .await
    }

    /// Records the rating of an answer.
    pub async fn record_rating(&self, rated: RatedAnswer) {
        self.send(Message::RecordRating(rated)).await;
    }

    /// Records the latency of a whole answer and its length.
    pub async fn record_latency(
        &self,
        service: name::Service,
        version: name::Version,
        latency: Span,
        output: Tokens,
    ) {
        self.send(Message::RecordLatency(service, version, latency, output))
            .await;
    }

    /// Returns the share of a version's answers to rate; none of them if the ids are stale.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn sampling_share(
        &self,
        service: id::Service,
        version: id::Version,
        generation: Generation,
    ) -> Result<Share, Closed> {
        self.ask(|reply| Message::SamplingShare(service, version, generation, reply))
            .await
    }

    /// Applies an update received from a peer or read from the log.
    pub async fn apply_update(&self, update: Update) {
        self.send(Message::ApplyUpdate(Box::new(update))).await;
    }

    /// Returns the content of the next digest.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn digest_content(&self) -> Result<DigestContent, Closed> {
        self.ask(Message::DigestContent).await
    }

    /// Returns the upstreams whose load reports are needed.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn watched(&self) -> Result<Vec<name::Upstream>, Closed> {
        self.ask(Message::Watched).await
    }

    /// Returns totals of this instance's ratings that changed; each change is returned once.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn take_unsent_totals(&self) -> Result<Vec<TotalsUpdate>, Closed> {
        self.ask(Message::TakeUnsentTotals).await
    }

    /// Records whether the rating service counts as out.
    pub async fn set_rating_outage(&self, out: bool) {
        self.send(Message::SetRatingOutage(out)).await;
    }

    /// Returns how each organisation's reserve at this instance was used since it started.
    ///
    /// # Errors
    ///
    /// The instance is shutting down.
    pub async fn reserve_usages(&self) -> Result<Vec<reserve::Usage>, Closed> {
        self.ask(Message::Reserves).await
    }

    /// Releases all slots of cold upstreams, at the start of a shutdown.
    pub async fn leave(&self) {
        self.send(Message::Leave).await;
    }

    /// Refuses all requests that wait for an upstream, and those that would have to from now on.
    pub async fn close(&self) {
        self.send(Message::Close).await;
    }
}
