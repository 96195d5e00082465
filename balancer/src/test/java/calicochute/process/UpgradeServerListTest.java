package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.freePort;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/**
 * Guards against a new process that begins with an older list of servers than the balancer was told, and so sends to
 * draining or removed servers until discovery answers it.
 */
public class UpgradeServerListTest {
    private static final int REQUESTS = 30;
    /** News counts as told so long after the new process is healthy. */
    private static final int NEWS_MS = 2000;

    private static final long HOUR_SECONDS = 3600;
    /** Response time of the steady server where the changing one, once warm, is to be preferred. */
    private static final long STEADY_MS = 20;

    private ScriptedServer changing;
    private ScriptedServer steady;
    private ScriptedDiscovery discovery;
    private Supervisor supervisor;
    private int sessionNumber;

    @Before
    public void start() throws Exception {
        changing = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        steady = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        discovery = new ScriptedDiscovery(changing, steady);
        supervisor = new Supervisor();
    }

    @After
    public void stop() throws Exception {
        supervisor.close();
        discovery.close();
        changing.close();
        steady.close();
    }

    /** Starts one more process, whose configuration lists both servers as ready under generation 1. */
    private int startProcess() throws Exception {
        return startProcess(UnaryOperator.identity());
    }

    private int startProcess(UnaryOperator<String> edit) throws Exception {
        return supervisor.start(edit, freePort(), discovery.server, changing, steady);
    }

    private void tell(int process, String lifecycle, long startedAtMs) throws Exception {
        discovery.set(changing, lifecycle, startedAtMs);
        awaitLog(process, "INFO list generation=2 whole=false entries=1");
    }

    private Path savedList() {
        return supervisor.sharedFolder().resolve("calicochute-n0.list");
    }

    private void awaitSaved(String lifecycle, int generation) throws Exception {
        await("the list is saved", () -> {
            String text = Files.readString(savedList());
            return text.contains(lifecycle) && text.contains("{\"generation\":" + generation);
        });
    }

    private void awaitLog(int process, String text) throws Exception {
        await(text, () -> supervisor.log(process).contains(text));
    }

    private void kill(int process) throws Exception {
        supervisor.signal(process, "KILL");
        await("the process has exited", () -> supervisor.hasExited(process));
    }

    /** Sends requests to the only process that is left, and returns how many the changing server got. */
    private int sendAndCountChanging() throws Exception {
        int before = changing.requests.size();
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(
                    200,
                    supervisor
                            .send(session(String.format("%016x", ++sessionNumber), "view"))
                            .status());
        }
        return changing.requests.size() - before;
    }

    /** Starts the next process while discovery is down, and kills the old one; returns the next one. */
    private int replaceInOutage(int old) throws Exception {
        discovery.setDown(true);
        int next = startProcess();
        kill(old);
        return next;
    }

    @Test
    public void serverThatDrainsStaysOutAfterAnUpgradeInAnOutage() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        int next = replaceInOutage(old);
        assertEquals(0, sendAndCountChanging());
        awaitLog(next, "INFO first-list source=handed-over generation=2");
    }

    @Test
    public void serverThatIsGoneStaysOutAfterTwoUpgradesInOneOutage() throws Exception {
        int old = startProcess();
        tell(old, "Gone", 0);
        int last = replaceInOutage(replaceInOutage(old));
        assertEquals(0, sendAndCountChanging());
        awaitLog(last, "INFO first-list source=handed-over generation=2");
    }

    @Test
    public void changeToldToTheOldProcessReachesANewOneThatDiscoveryDoesNot() throws Exception {
        int old = startProcess();
        ScriptedDiscovery unreachable = new ScriptedDiscovery();
        unreachable.setDown(true);
        int next = startProcess(config -> config.replace(discovery.server.address(), unreachable.server.address()));
        tell(old, "Terminating", 0);
        Thread.sleep(NEWS_MS);
        kill(old);
        assertEquals(0, sendAndCountChanging());
        awaitLog(next, "INFO list-adopted generation=2");
        unreachable.close();
    }

    /** The generations of two addresses cannot be compared; the list counts that the balancer serves by. */
    @Test
    public void listToldByADiscoveryAfterAMoveIsHandedOver() throws Exception {
        ScriptedDiscovery former = new ScriptedDiscovery(changing, steady);
        UnaryOperator<String> atFormer = config -> config.replace(discovery.server.address(), former.server.address());
        int old = startProcess(atFormer);
        supervisor.reload(old, config -> config.replace(former.server.address(), discovery.server.address()));
        awaitLog(old, "INFO reloaded discovery=");
        tell(old, "Gone", 0);
        awaitSaved("reset", 2);
        former.setDown(true);
        discovery.setDown(true);
        // One process does not know of the move, and has a list of a higher generation.
        int next = startProcess(config -> atFormer.apply(config).replace("\"generation\":1", "\"generation\":7"));
        int last = replaceInOutage(old);
        kill(next);
        assertEquals(0, sendAndCountChanging());
        awaitLog(next, "INFO first-list source=handed-over generation=2");
        awaitLog(last, "INFO first-list source=handed-over generation=2");
        former.close();
    }

    /** The other direction: the old process serves on until it is killed. */
    @Test
    public void changeToldToTheNewProcessReachesTheOldOne() throws Exception {
        ScriptedDiscovery lost = new ScriptedDiscovery(changing, steady);
        int old = startProcess(config -> config.replace(discovery.server.address(), lost.server.address()));
        lost.setDown(true);
        int next = startProcess();
        tell(next, "Terminating", 0);
        awaitLog(old, "INFO list-adopted generation=2");
        kill(next);
        assertEquals(0, sendAndCountChanging());
        lost.close();
    }

    @Test
    public void serverThatIsReadyAgainGetsWorkAfterAnUpgradeInAnOutage() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        discovery.set(changing, "Ready", System.currentTimeMillis());
        awaitSaved("Ready", 3);
        int next = replaceInOutage(old);
        assertTrue(sendAndCountChanging() > 0);
        awaitLog(next, "INFO first-list source=handed-over generation=3");
    }

    /** A saved list must not hold for good: what discovery tells when it is back counts, under any generation. */
    @Test
    public void discoveryThatBeginsAnewReplacesTheListHandedOver() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        int next = replaceInOutage(old);
        assertEquals(0, sendAndCountChanging());
        discovery.set(changing, "Ready", 0);
        discovery.restart(true);
        discovery.setDown(false);
        awaitLog(next, "INFO list generation=1 whole=true entries=2");
        assertTrue(sendAndCountChanging() > 0);
        await("the list is saved", () -> Files.readString(savedList()).contains("\"epoch\":1"));
        int last = replaceInOutage(next);
        assertTrue(sendAndCountChanging() > 0);
        awaitLog(last, "INFO first-list source=handed-over generation=1 epoch=1");
    }

    /** As above, by a discovery that does not tell the whole list by itself, and so would never be heard again. */
    @Test
    public void discoveryThatCountsLowerIsAskedForTheWholeList() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        int next = replaceInOutage(old);
        discovery.set(changing, "Ready", 0);
        discovery.restart(false);
        discovery.setDown(false);
        awaitLog(next, "INFO list generation=1 whole=true entries=2");
        assertTrue(sendAndCountChanging() > 0);
    }

    /** A list in the configuration that is newer than the saved one is used, and the saved one does not come back. */
    @Test
    public void newerListOfTheConfigurationIsUsed() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        discovery.setDown(true);
        int next = startProcess(config -> config.replace("\"generation\":1", "\"generation\":7"));
        awaitLog(next, "INFO first-list source=configuration generation=7");
        kill(old);
        assertTrue(sendAndCountChanging() > 0);
    }

    @Test
    public void damagedListAndThatOfAnotherTierAreNotUsed() throws Exception {
        int old = startProcess();
        tell(old, "Terminating", 0);
        awaitSaved("Terminating", 2);
        discovery.setDown(true);
        int otherTier = startProcess(config -> config.replace("\"layer\":0", "\"layer\":1"));
        awaitLog(otherTier, "INFO first-list source=configuration generation=1");
        kill(otherTier);
        String text = Files.readString(savedList());
        Files.writeString(savedList(), text.substring(0, text.length() / 2));
        int next = startProcess();
        awaitLog(next, "WARN list-not-used");
        awaitLog(next, "INFO first-list source=configuration generation=1");
    }

    /** A disk that is full for a while: the list is saved as soon as it can be. */
    @Test
    public void listIsSavedOnceWritingSucceedsAgain() throws Exception {
        Path temporary = supervisor.sharedFolder().resolve("calicochute-n0.list.new");
        Files.createDirectories(temporary.resolve("in-the-way"));
        int old = startProcess();
        tell(old, "Terminating", 0);
        awaitLog(old, "WARN list-not-saved");
        Files.delete(temporary.resolve("in-the-way"));
        awaitLog(old, "INFO list-saved-again generation=2");
        int next = replaceInOutage(old);
        assertEquals(0, sendAndCountChanging());
        awaitLog(next, "INFO first-list source=handed-over generation=2");
    }

    /** Guards against a cold server that counts as warm because the wall clock stepped between two processes. */
    @Test
    public void coldServerStaysColdAcrossAStepOfTheClockAndAnUpgrade() throws Exception {
        supervisor.close();
        FaultShim shim = new FaultShim();
        supervisor = new Supervisor(shim.environment());
        steady.script = r -> {
            Thread.sleep(STEADY_MS);
            return HttpMessage.response(200, "", "a map");
        };
        UnaryOperator<String> slowStart = config -> config.replace("\"warm_up\":1000", "\"warm_up\":20000000")
                .replace("\"cold_from\":0.5", "\"cold_from\":0.01");
        int old = startProcess(slowStart);
        sendAndCountChanging();
        tell(old, "Ready", System.currentTimeMillis());
        awaitSaved("Ready", 2);
        int sentByOld = sendAndCountChanging();
        shim.set(FaultShim.Fault.CLOCK_OFFSET_SECONDS, HOUR_SECONDS);
        discovery.setDown(true);
        startProcess(slowStart);
        kill(old);
        int sentByNew = sendAndCountChanging();
        String counts = sentByOld + " by the old process, then " + sentByNew;
        // As a warm server it would be preferred, and get nearly all.
        assertTrue(counts, sentByNew < REQUESTS / 2);
    }
}
