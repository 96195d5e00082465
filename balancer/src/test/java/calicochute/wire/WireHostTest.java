package calicochute.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Actions;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.Settings;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each event is parsed, each action written, and malformed input rejected with its line number. */
class WireHostTest {
    private static final String BORN = "born i=proxy/1 nonce64=5 me=1 balancers=4 layer=1 discovery=on_request"
            + " classes.count=1 classes.0.name=read classes.0.effect=by_key classes.0.key_scope=zone"
            + " classes.0.window=500 classes.0.objective=200 classes.0.deadline=900 classes.0.points=2.5"
            + " accounts.count=1 accounts.0.name=t caps.max_attempts=3 caps.second_copies=true brand.new=1\n";
    private final List<Event> events = new ArrayList<>();
    private Settings settings;

    /** Records its events, answers an arrival with each kind of action and fails when a client goes away. */
    private final class Recorder implements Balancer {
        @Override
        public void on(long now, Event event, Actions actions) {
            events.add(event);
            if (event instanceof Arrival arrival) {
                actions.send(arrival.request(), "b1", 80);
                actions.send(arrival.request(), "b2", 0);
                actions.refuse(arrival.request(), 250);
                actions.fail(arrival.request());
                actions.cancel(arrival.request(), 1);
                actions.startTimer(500, 2, -1);
                actions.subscribe(true);
                actions.fetchList();
                actions.probe("b1");
                actions.closeIdleConnections("b2");
                actions.sendToPeer(-1, "hi 7".getBytes(StandardCharsets.UTF_8));
                actions.sendToPeer(2, new byte[0]);
                actions.log("two servers known");
            }
            if (event instanceof ClientGone) {
                throw new IllegalStateException("broken");
            }
        }
    }

    private String run(String input) throws IOException, WireException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, received -> {
                    settings = received;
                    return new Recorder();
                })
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchesAndEndOfInput() throws Exception {
        assertEquals("", run(""));
        assertEquals("next\nnext\n", run("batch time=1\ncommit\n\nbatch time=1 novelty=3\ncommit\n"));
    }

    @Test
    void settingsAreReadAndMissingOnesHaveDefaults() throws Exception {
        run("batch time=1\n" + BORN + "commit\n");
        assertEquals(1, settings.instance());
        assertEquals(4, settings.balancers());
        assertEquals(true, settings.subscribes());
        assertEquals(3, settings.limits().maxAttempts());
        assertEquals(false, settings.passesDeadline());
        assertEquals(
                new Balancer.RequestClass(
                        "read", Balancer.Effect.KEYED, Balancer.KeyScope.ZONE, 500, 200, 900, 2.5, 0, false),
                settings.classes().get(0));
    }

    @Test
    void eachEventIsTranslated() throws Exception {
        run("batch time=1\n" + BORN
                + "directory slot=3 lines=1\nrow backend=b1 zone=z cluster=2 capacity_hint=1.5 state=terminating machine=k\n"
                + "discovery i=proxy/1 scope=restored seq_no=4 slot=3\n"
                + "directory slot=3 lines=0\n"
                + "discovery i=proxy/1 scope=update slot=3\n"
                + "discovery i=proxy/1 scope=unavailable\n"
                + "ring i=proxy/1 label=2:000000000000000a\n"
                + "streaming i=proxy/1 xid=00000000000000ff wait_time=9 backend=b1 seq_no=1\n"
                + "outcome seq_no=2 i=proxy/1 xid=ffffffffffffffff backend=b1 done_flag=1 state_code=5 wait_time=7"
                + " metrics=1,2.5 later=x\n"
                + "probe_done i=proxy/1 backend=b1 state_code=0 wait_time=14\n"
                + "note_from i=proxy/1 sender=2 bytes=aGkgNw==\n"
                + "commit\n");
        assertEquals(
                new Balancer.BackendList(
                        Balancer.ListKind.RESTORED,
                        List.of(new Balancer.Backend("b1", "z", 2, 1.5, Balancer.BackendState.DRAINING, 0, "k"))),
                events.get(0));
        assertEquals(new Balancer.BackendList(Balancer.ListKind.CHANGES, List.of()), events.get(1));
        assertEquals(new Balancer.BackendList(Balancer.ListKind.UNAVAILABLE, List.of()), events.get(2));
        assertEquals(new Balancer.Timer(2, 10), events.get(3));
        assertEquals(new Balancer.StreamStarted(255, 1, "b1", 9), events.get(4));
        Balancer.AttemptEnded ended = (Balancer.AttemptEnded) events.get(5);
        assertEquals(-1, ended.request());
        assertEquals(Balancer.Outcome.RESET, ended.outcome());
        assertEquals(2.5, ended.load()[1]);
        assertEquals(new Balancer.ProbeEnded("b1", Balancer.Outcome.OK, 14, null), events.get(6));
        assertEquals("hi 7", new String(((Balancer.PeerMessage) events.get(7)).bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void eachActionIsWritten() throws Exception {
        String reply = run(
                "batch time=1\n" + BORN
                        + "arrival i=proxy/1 xid=00ab000000000001 band=read billing=t affinity=k:1 patience_left=9 cost=3\ncommit\n");
        String instance = " i=proxy/1";
        String xid = " xid=00ab000000000001";
        assertEquals(
                "relay" + instance + xid + " backend=b1 within=80\n"
                        + "relay" + instance + xid + " backend=b2\n"
                        + "say_no" + instance + xid + " wait=250\n"
                        + "surrender" + instance + xid + "\n"
                        + "undo_send" + instance + xid + " seq_no=1\n"
                        + "remind" + instance + " offset=500 label=2:ffffffffffffffff\n"
                        + "stream_changes" + instance + " want=1\n"
                        + "snapshot" + instance + "\n"
                        + "touch" + instance + " backend=b1\n"
                        + "free_links" + instance + " backend=b2\n"
                        + "broadcast_to" + instance + " neighbour_id=-1 bytes=aGkgNw==\n"
                        + "broadcast_to" + instance + " neighbour_id=2 bytes=-\n"
                        + "debug" + instance + " body_text=two servers known\nnext\n",
                reply);
        assertEquals(new Balancer.Arrival(0x00ab000000000001L, 0, 0, "k:1", 9, false), events.get(0));
    }

    /** With the real decision module, an instance's replies do not depend on other instances in the process. */
    @Test
    void instancesAreIndependent() throws Exception {
        StringBuilder alone = new StringBuilder();
        StringBuilder shared = new StringBuilder();
        for (int step = 0; step < 60; step++) {
            String own = step == 0 ? BORN + list("proxy/1") : arrival("proxy/1", step);
            String other = step == 0 ? BORN.replace("proxy/1", "proxy/2") + list("proxy/2") : arrival("proxy/2", step);
            alone.append("batch time=")
                    .append(step * 1000)
                    .append('\n')
                    .append(own)
                    .append("commit\n");
            shared.append("batch time=")
                    .append(step * 1000)
                    .append('\n')
                    .append(other)
                    .append(own)
                    .append("commit\n");
        }
        List<String> repliesAlone = runModule(alone.toString())
                .lines()
                .filter(reply -> reply.contains("proxy/1"))
                .toList();
        List<String> repliesShared = runModule(shared.toString())
                .lines()
                .filter(reply -> reply.contains("proxy/1"))
                .toList();
        assertEquals(repliesAlone, repliesShared);
        assertEquals(true, repliesAlone.size() >= 59);
    }

    private static String list(String instance) {
        StringBuilder rows = new StringBuilder("directory slot=0 lines=9\n");
        for (int i = 0; i < 9; i++) {
            rows.append("row backend=b").append(i).append(" state=in_service\n");
        }
        return rows + "discovery i=" + instance + " scope=restored slot=0\n";
    }

    private static String arrival(String instance, int step) {
        return "arrival i=" + instance + String.format(" xid=%016x", step) + " band=read patience_left=900000\n";
    }

    private static String runModule(String input) throws IOException, WireException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new WireHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, Balancer::create).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void instanceCanBeReplacedWithinOneBatch() throws Exception {
        run("batch time=1\n" + BORN + "halt i=proxy/1\n" + BORN.replace("me=1", "me=2") + "commit\n");
        assertEquals(2, settings.instance());
    }

    @Test
    void exceptionOfTheModuleIsReported() throws Exception {
        String reply = run("batch time=1\n" + BORN + "timed_out_client i=proxy/1 xid=0000000000000001\ncommit\n");
        assertEquals("exception i=proxy/1 body_text=java.lang.IllegalStateException: broken", reply.split(" at ")[0]);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hello|line 1: expected batch, got 'hello'",
                "batch|line 1: batch lacks time",
                "batch time=x1|line 1: time is not a whole number: 'x1'",
                "batch time=1;halt i=proxy/1|line 3: input ends inside a batch",
                "batch time=1;dance i=proxy/1;commit|line 2: unknown event 'dance'",
                "batch time=1;ring i=proxy/9 label=1:00;commit|line 2: ring for proxy/9, which is not running",
                "batch time=1;BORN;ring i=proxy/1 label=sweep;commit|line 3: label is not that of a timer: 'sweep'",
                "batch time=1;BORN;ring label=1:00;commit|line 3: ring lacks i",
                "batch time=1;BORN;arrival i=proxy/1 xid=12 band=read patience_left=5;commit"
                        + "|line 3: xid is not 16 hex digits: '12'",
                "batch time=1;BORN;arrival i=proxy/1 xid=0000000000000001 band=odd patience_left=5;commit"
                        + "|line 3: unknown band 'odd'",
                "batch time=1;BORN;arrival i=proxy/1 xid=0000000000000001 band=read;commit"
                        + "|line 3: arrival lacks patience_left",
                "batch time=1;BORN;outcome i=proxy/1 xid=0000000000000001 backend=b state_code=8;commit"
                        + "|line 3: state_code is not 0 to 7: '8'",
                "batch time=1;BORN;outcome i=proxy/1 xid=0000000000000001 backend=b state_code=0 done_flag=2;commit"
                        + "|line 3: done_flag is neither 0 nor 1: '2'",
                "batch time=1;BORN;discovery i=proxy/1 scope=update slot=4;commit|line 3: slot names no directory: '4'",
                "batch time=1;BORN;discovery i=proxy/1 scope=new slot=4;commit|line 3: unknown scope 'new'",
                "batch time=1;directory slot=16 lines=0;commit|line 2: slot is not 0 to 15: '16'",
                "batch time=1;directory slot=1 lines=2;row backend=b;commit|line 4: expected row 2 of 2, got 'commit'",
                "batch time=1;directory slot=1 lines=1;row backend=b state=odd;commit|line 3: unknown state 'odd'",
                "batch time=1;directory slot=1 lines=1;row backend=b capacity_hint=z;commit"
                        + "|line 3: capacity_hint is not a number: 'z'",
                "batch time=1;born i=proxy/1;commit|line 2: born lacks nonce64",
                "batch time=1;born i=proxy/1 nonce64=1 classes.count=1;commit|line 2: born lacks classes.0.name",
                "batch time=1;born i=proxy/1 nonce64=1 me=x;commit|line 2: me is not a whole number: 'x'",
                "batch time=1;halt proxy/1;commit|line 2: 'proxy/1' is not name=value",
                "batch time=2;commit;batch time=1;commit|line 3: time goes back",
            })
    void malformedInputIsReportedWithItsLine(String input, String message) {
        String lines = input.replace("BORN", BORN.trim()).replace(";", "\n") + "\n";
        assertEquals(
                message, assertThrows(WireException.class, () -> run(lines)).getMessage());
    }

    @Test
    void truncatedLastLineIsAnError() {
        assertEquals(
                "line 2: input ends in the middle of a line",
                assertThrows(WireException.class, () -> run("batch time=1\ncomm"))
                        .getMessage());
    }

    @Test
    void veryLargeBatchesAreRead() throws Exception {
        StringBuilder batch = new StringBuilder("batch time=1\n" + BORN);
        for (int i = 0; i < 50_000; i++) {
            batch.append("ring i=proxy/1 label=1:")
                    .append(Integer.toHexString(i))
                    .append('\n');
        }
        assertEquals("next\n", run(batch + "commit\n"));
        assertEquals(50_000, events.size());
        assertEquals(new Balancer.Timer(1, 49_999), events.get(49_999));
    }
}
