package calicochute.decision;

/**
 * Dispatches events and runs the lifecycle of requests. {@link BalancerState} holds all state of an instance; the other
 * components each make one kind of decision and hold none.
 *
 * <p>Dispatching follows Bouten et al.: a time-aged EWMA of speed per backend, a softmax over the speed relative to the
 * best one, and a temperature and an ordered walk that depend on the headroom before the deadline. Departures from the
 * paper are explained where they are made.
 */
record DefaultBalancer(
        BalancerState state,
        Estimates estimates,
        Constraints constraints,
        Admission admission,
        RetryBudget retryBudget,
        BackendSelection selection,
        Subset subset)
        implements Balancer {
    /** Typical latencies after which a time-out is put down to a backend that hangs, not to load. */
    private static final double HUNG_LATENCIES = 5;
    /** Share of time-outs among the attempts above which each time-out is put down to load. */
    private static final double MAX_TIME_OUT_SHARE = 0.5;

    private static final long REVIEW_INTERVAL_MICROS = 250_000;
    /** Purpose of the timer that dispatches a held request again. */
    private static final int TIMER_HELD_REQUEST = 1;

    static DefaultBalancer of(Settings settings) {
        BalancerState state = new BalancerState(settings);
        ColdStartBudget coldStartBudget = new ColdStartBudget(state);
        Estimates estimates = new Estimates(state, coldStartBudget);
        Constraints constraints = new Constraints(state, coldStartBudget);
        Admission admission = new Admission(state);
        BackendSelection selection = new BackendSelection(state, constraints, estimates, admission);
        return new DefaultBalancer(
                state, estimates, constraints, admission, new RetryBudget(state), selection, new Subset(state));
    }

    // ---- Events

    @Override
    public void on(long nowMicros, Event event, Actions actions) {
        state.now = nowMicros;
        state.actions = actions;
        if (event instanceof Arrival arrival) {
            arrive(arrival);
        }
        if (event instanceof AttemptEnded ended) {
            attemptEnded(ended, state.requests.get(ended.request()));
        }
        if (event instanceof Timer timer) {
            timer(timer, state.requests.get(timer.subject()));
        }
        if (event instanceof BackendList list) {
            subset.update(list);
        }
        if (event instanceof ClientGone gone) {
            finish(state.requests.get(gone.request()));
        }
        if (event instanceof StreamStarted started) {
            streamStarted(started, state.requests.get(started.request()));
        }
        if (event instanceof BodyState body) {
            bodyState(body, state.requests.get(body.request()));
        }
        if (event instanceof ExperimentArms arms) {
            state.armById = arms.armById();
            subset.choose(subset.size());
        }
        if (event instanceof FleetEstimates fleetEstimates) {
            subset.applyFleetEstimates(fleetEstimates);
        }
        if (event instanceof SettingsChanged changed) {
            state.changeSettings(changed.settings());
        }
    }

    private void timer(Timer timer, Request request) {
        if (timer.purpose() == Subset.TIMER_SUBSCRIBE && !state.subscribed) {
            state.actions.subscribe(true);
        }
        if (timer.purpose() == TIMER_HELD_REQUEST && request != null && !request.ended && !request.pending()) {
            dispatch(request);
        }
    }

    private void streamStarted(StreamStarted started, Request request) {
        if (request == null) {
            return;
        }
        Attempt attempt = request.attempts[started.attempt()];
        attempt.streaming = true;
        estimates.answered(attempt, started.elapsed());
        if (!request.ended) {
            admission.adjustLimit(request, 0);
        }
        finish(request);
    }

    private void bodyState(BodyState body, Request request) {
        if (request != null && body.partlySent()) {
            request.maxAttempts = request.sent;
        }
        if (request != null && body.complete()) {
            request.bodyComplete(body.sentAt());
        }
    }

    private void review() {
        if (state.now < state.reviewedAt + REVIEW_INTERVAL_MICROS) {
            return;
        }
        double seconds = Math.max(state.now - state.reviewedAt, 1) / 1e6;
        int slow = estimates.review(seconds, state.reviewedAt == 0 ? 0 : 1 - Math.exp(-seconds / 3));
        state.reviewedAt = state.now;
        admission.decayArrivals();
        subset.review(slow);
    }

    // ---- Request lifecycle

    private void arrive(Arrival arrival) {
        review();
        RequestClass requestClass = state.classes[arrival.classIndex()];
        boolean fromClient = state.settings.tier() == 0;
        // The objective counts from the client's first try, so that work on a later try may be wasted from the start.
        long waited = fromClient ? admission.waited(arrival) : 0;
        long timeLeft = arrival.timeLeft();
        if (fromClient && requestClass.lateWorth() == 0) {
            timeLeft = Math.min(timeLeft, requestClass.objective() - waited);
        }
        if (waited > 0 && timeLeft < state.classStats[arrival.classIndex()].latency) {
            timeLeft = 0;
        }
        int maxAttempts = state.settings.limits().maxAttempts();
        Request request =
                new Request(arrival.request(), arrival.classIndex(), state.now, state.now + timeLeft, maxAttempts);
        request.arm = arrival.arm();
        state.requests.put(request.id, request);
        state.openRequests++;
        state.firstTries += arrival.retry() ? 0 : 1;
        retryBudget.earn();
        if (fromClient && !admission.admit(arrival, waited)) {
            giveUp(request);
        } else {
            dispatch(request);
        }
    }

    /** Sends the request to a backend, holds it until one may take it, or ends it. */
    private void dispatch(Request request) {
        long timeLeft = request.deadline - state.now;
        boolean open = constraints.mayStillSend(request);
        TrackedBackend backend = open ? selection.select(request) : null;
        // An experiment must not cause refusals: where its arm has no room, the request leaves the arm for good.
        if (open && backend == null && request.arm != 0) {
            request.arm = 0;
            backend = selection.select(request);
        }
        if (backend != null) {
            request.send(backend, state.now);
            backend.allowance -= 1;
            state.actions.send(request.id, backend.id, timeLeft);
        } else if (!open || request.firstThatMayHaveRun() != null) {
            giveUp(request);
        } else {
            // A held request has no pending attempt whose end would dispatch it again, so that it needs a timer.
            state.actions.startTimer(
                    Math.max(1, Math.min(timeLeft, 10 * state.settings.tick())), TIMER_HELD_REQUEST, request.id);
        }
    }

    private void attemptEnded(AttemptEnded ended, Request request) {
        if (request == null || ended.attempt() >= request.sent || !request.attempts[ended.attempt()].pending) {
            return;
        }
        Attempt attempt = request.attempts[ended.attempt()];
        attempt.end(ended.outcome().provesNotRun());
        state.countOutcome(ended.outcome());
        if (estimates.learn(attempt, ended)) {
            selection.leave(attempt.backend);
        }
        if (ended.finished() || request.ended) {
            if (!request.ended && ended.outcome() == Outcome.OK) {
                admission.adjustLimit(request, 0);
            }
            finish(request);
        } else if (!request.pending()) {
            retry(request, ended.outcome());
        }
    }

    private void retry(Request request, Outcome outcome) {
        boolean again = retryBudget.spend(request);
        // A time-out long after the typical latency comes from a single backend that hangs and is no sign of load,
        // unless a large share of all attempts time out.
        boolean load = state.timeOutShare > MAX_TIME_OUT_SHARE
                || state.now - request.arrivedAt < HUNG_LATENCIES * state.statsOf(request).latency;
        if (!again && outcome == Outcome.TIMED_OUT && load) {
            admission.adjustLimit(request, 1);
        }
        // A request that timed out at its deadline is owed a final answer at once.
        if (again) {
            dispatch(request);
        } else {
            giveUp(request);
        }
    }

    private void finish(Request request) {
        if (request == null) {
            return;
        }
        // An attempt whose answer has begun to stream runs to its end.
        if (!request.ended && request.pending() && !request.newest().streaming) {
            estimates.withdrawn(request.newest());
            if (state.settings.limits().cancel()) {
                state.actions.cancel(request.id, request.newest().number);
            }
        }
        state.openRequests -= request.ended ? 0 : 1;
        request.ended = true;
        if (!request.pending()) {
            state.requests.remove(request.id);
        }
    }

    private void giveUp(Request request) {
        // Backends that turn requests away produce no answers, so that overload would look like low load. This counts
        // only requests that are given up: a full backend is no overload while another one takes its requests.
        if (request.sent > 0 && request.firstThatMayHaveRun() == null) {
            admission.adjustLimit(request, 1);
        }
        // Overload lasts for seconds: a client that retries earlier would be served in place of a first try.
        long retryAfter = state.settings.limits().advisedRetryAfter();
        if (constraints.mayRefuse(request)) {
            state.actions.refuse(request.id, retryAfter);
        } else {
            state.actions.fail(request.id);
        }
        finish(request);
    }
}
