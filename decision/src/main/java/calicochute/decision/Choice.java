package calicochute.decision;

/**
 * The front of all decisions, and the way of a request; the interface (settings, events, actions): Balancer. What an
 * instance knows is in Known; each kind of decision has a file of its own and keeps nothing itself. The ordinary path
 * follows Bouten et al.: an aged EWMA of speed per backend, softmax over speed by the best, temperature and ordered
 * walk by headroom. DANGER: departures, docs/design.md. Instances share nothing.
 */
record Choice(
        Known known,
        Estimates estimates,
        Legality legality,
        Admission admission,
        Retries retries,
        Pick pick,
        Subset subset)
        implements Balancer {
    /** A time-out past so many typical latencies is a hung backend's, no load; unless this share end so. */
    private static final double HUNG = 5, MOST = 0.5;

    private static final long REVIEW = 250_000;
    private static final int TIMER_HELD = 1;

    static Choice of(Settings settings) {
        Known known = new Known(settings);
        ColdStarts coldStarts = new ColdStarts(known);
        Estimates estimates = new Estimates(known, coldStarts);
        Legality legality = new Legality(known, coldStarts);
        Admission admission = new Admission(known);
        Pick pick = new Pick(known, legality, estimates, admission);
        return new Choice(known, estimates, legality, admission, new Retries(known), pick, new Subset(known));
    }

    // ---- Events

    @Override
    public void on(long nowMicros, Event event, Actions to) {
        known.now = nowMicros;
        known.actions = to;
        if (event instanceof Arrival e) {
            arrive(e);
        }
        if (event instanceof AttemptEnded e) {
            attemptEnded(e, known.requests.get(e.request()));
        }
        if (event instanceof Timer e) {
            timer(e, known.requests.get(e.subject()));
        }
        if (event instanceof BackendList e) {
            subset.list(e);
        }
        if (event instanceof ClientGone e) {
            finish(known.requests.get(e.request()));
        }
        if (event instanceof StreamStarted e) {
            streamStarted(e, known.requests.get(e.request()));
        }
        if (event instanceof BodyState e) {
            bodyState(e, known.requests.get(e.request()));
        }
        if (event instanceof Arms e) {
            known.arms = e.of();
            subset.choose(subset.size());
        }
        if (event instanceof Advised e) {
            subset.advised(e);
        }
        if (event instanceof Retuned e) {
            known.retune(e.settings());
        }
    }

    private void timer(Timer e, Request r) {
        if (e.purpose() == Subset.TIMER_SUBSCRIBE && !known.subscribed) {
            known.actions.subscribe(true);
        }
        if (e.purpose() == TIMER_HELD && r != null && !r.ended && !r.out()) {
            dispatch(r);
        }
    }

    private void streamStarted(StreamStarted e, Request r) {
        if (r == null) {
            return;
        }
        Attempt a = r.attempts[e.attempt()];
        a.begun = true;
        estimates.answered(a, e.elapsed());
        if (!r.ended) {
            admission.aim(r, 0);
        }
        finish(r);
    }

    private void bodyState(BodyState e, Request r) {
        if (r != null && e.spent()) {
            r.most = r.sent;
        }
        if (r != null && e.whole()) {
            r.whole(known.now);
        }
    }

    private void review() {
        if (known.now < known.reviewedAt + REVIEW) {
            return;
        }
        double seconds = Math.max(known.now - known.reviewedAt, 1) / 1e6;
        int sick = estimates.review(seconds, known.reviewedAt == 0 ? 0 : 1 - Math.exp(-seconds / 3));
        known.reviewedAt = known.now;
        admission.age();
        subset.review(sick);
    }

    // ---- Request lifecycle

    private void arrive(Arrival e) {
        review();
        RequestClass c = known.classes[e.classIndex()];
        boolean first = known.settings.tier() == 0;
        // DANGER: a client's aim began with its first try; work on a later one may be waste from the start.
        long waited = first ? admission.waited(e) : 0;
        long left = e.timeLeft();
        if (first && c.lateWorth() == 0) {
            left = Math.min(left, c.aim() - waited);
        }
        if (waited > 0 && left < known.seen[e.classIndex()].latency) {
            left = 0;
        }
        int most = known.settings.limits().maxAttempts();
        Request r = new Request(e.request(), e.classIndex(), known.now, known.now + left, most);
        r.arm = e.arm();
        known.requests.put(r.id, r);
        known.open++;
        known.asked += e.retry() ? 0 : 1;
        retries.earn();
        if (first && !admission.admit(e, waited)) {
            giveUp(r);
        } else {
            dispatch(r);
        }
    }

    /** Sends the request somewhere, or holds it, or ends it. */
    private void dispatch(Request r) {
        long left = r.deadline - known.now;
        boolean owed = legality.stillOwed(r);
        Server s = owed ? pick.of(r) : null;
        // DANGER: an experiment causes no denial: where its arm has no room a request crosses over, for good.
        if (owed && s == null && r.arm != 0) {
            r.arm = 0;
            s = pick.of(r);
        }
        if (s != null) {
            r.send(s, known.now);
            s.allowance -= 1;
            known.actions.send(r.id, s.id, left);
        } else if (!owed || r.firstThatMayHaveRun() != null) {
            giveUp(r);
        } else {
            // DANGER: a held request has no attempt whose time-out would wake it; only a timer does.
            known.actions.timer(Math.max(1, Math.min(left, 10 * known.settings.tick())), TIMER_HELD, r.id);
        }
    }

    private void attemptEnded(AttemptEnded e, Request r) {
        if (r == null || e.attempt() >= r.sent || !r.attempts[e.attempt()].out) {
            return;
        }
        Attempt a = r.attempts[e.attempt()];
        a.ended(e.outcome().provesNotRun());
        known.ended(e.outcome());
        if (estimates.learn(a, e)) {
            pick.leave(a.server);
        }
        if (e.finished() || r.ended) {
            if (!r.ended && e.outcome() == Outcome.OK) {
                admission.aim(r, 0);
            }
            finish(r);
        } else if (!r.out()) {
            retry(r, e.outcome());
        }
    }

    private void retry(Request r, Outcome outcome) {
        boolean again = retries.spend(r);
        // DANGER: a time-out at the deadline still owes an answer now. One hung backend's is no load.
        boolean load = known.timedOut > MOST || known.now - r.arrivedAt < HUNG * known.seen(r).latency;
        if (!again && outcome == Outcome.TIMED_OUT && load) {
            admission.aim(r, 1);
        }
        if (again) {
            dispatch(r);
        } else {
            giveUp(r);
        }
    }

    private void finish(Request r) {
        if (r == null) {
            return;
        }
        // One whose answer has begun goes on to its end.
        if (!r.ended && r.out() && !r.newest().begun) {
            estimates.withdrawn(r.newest());
            if (known.settings.limits().cancel()) {
                known.actions.cancel(r.id, r.newest().number);
            }
        }
        known.open -= r.ended ? 0 : 1;
        r.ended = true;
        if (!r.out()) {
            known.requests.remove(r.id);
        }
    }

    private void giveUp(Request r) {
        // DANGER: full tables answer nothing: overload looks like rest. One of many is no overload.
        if (r.sent > 0 && r.firstThatMayHaveRun() == null) {
            admission.aim(r, 1);
        }
        // DANGER: what overwhelms lasts for seconds; a client back sooner is served in place of a first try.
        long away = known.settings.limits().away();
        if (legality.mayRefuse(r)) {
            known.actions.refuse(r.id, away);
        } else {
            known.actions.fail(r.id);
        }
        finish(r);
    }
}
