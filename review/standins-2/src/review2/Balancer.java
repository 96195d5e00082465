package review2;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One balancer, started with the run line of the deploy file from the root of the repository. */
final class Balancer {
    /** The tenant of all requests, at either site. */
    static final String TENANT = "tenant-1";

    final Process process;
    final int port;
    final Path config;

    private Balancer(Process process, int port, Path config) {
        this.process = process;
        this.port = port;
        this.config = config;
    }

    /** The settings of the front tier of the site ulaanbaatar-maps; one balancer. */
    static String mapsSettings() {
        return """
            {"accounts":[{"allowance_per_s":400.0,"name":"tenant-1","portion":1.0}],"balancers":1,
            "caps":{"cancel":true,"conn_idle":30000000,"connect_timeout":150000,"max_attempts":3,"max_open":20000,
            "max_retry_after":3000000,"peers":false,"probes":true,"retry_after":true,"second_copies":false,
            "streams_per_conn":1},
            "classes":[
            {"deadline":7500000,"effect":"repeatable","key_scope":"all","late_worth":0.0,"name":"view-map",
            "objective":2500000,"points":1.0,"streaming":false,"window":5000000},
            {"deadline":8000000,"effect":"once","key_scope":"all","late_worth":0.0,"name":"order-copy",
            "objective":3000000,"points":5.0,"streaming":false,"window":5000000},
            {"deadline":4000000,"effect":"by_key","key_scope":"all","late_worth":0.0,"name":"register-scan",
            "objective":1500000,"points":3.0,"streaming":false,"window":7500000}],
            "client_habits":{"marks_retry":true},"dcs":"ub-east","discovery":"on_request",
            "domain":{"passes_deadline":false},"layer":0,"layers":"front","me":0,
            "obligations":{"answer_slack":20000,"ask_every":10000000,"cold_from":0.32,"drain_grace":3000000,
            "fall":3000000,"fall_multiple":3.0,"warm_up":8900000},
            "over_share_worth":0.05,"prices":{"cross_zone":0.09,"late_fail":0.03,"waste":0.2},
            "report":{"source":"silent"},"tick":5000,"weights":"nominal","worth_by":"work","zone":"ub-east"}""";
    }

    /** The settings of the front tier of the site kigali-main, where lists are pushed; one balancer. */
    static String kigaliSettings() {
        return """
            {"accounts":[{"allowance_per_s":400.0,"name":"tenant-1","portion":1.0}],"balancers":1,
            "caps":{"cancel":true,"conn_idle":30000000,"connect_timeout":150000,"max_attempts":4,"max_open":20000,
            "max_retry_after":2000000,"peers":false,"probes":true,"retry_after":true,"second_copies":true,
            "streams_per_conn":1},
            "classes":[
            {"deadline":4000000,"effect":"repeatable","key_scope":"all","late_worth":0.0,"name":"balance",
            "objective":1500000,"points":1.0,"streaming":false,"window":5000000},
            {"deadline":1200000,"effect":"once","key_scope":"all","late_worth":0.0,"name":"repay",
            "objective":500000,"points":2.0,"streaming":false,"window":5000000},
            {"deadline":2500000,"effect":"by_key","key_scope":"all","late_worth":0.0,"name":"disburse",
            "objective":1000000,"points":10.0,"streaming":false,"window":4000000}],
            "client_habits":{"marks_retry":false},"dcs":"kigali-dc","discovery":"pushed",
            "domain":{"passes_deadline":true},"layer":0,"layers":"front","me":0,
            "obligations":{"answer_slack":20000,"ask_every":10000000,"cold_from":0.13,"drain_grace":250000,
            "fall":1000000,"fall_multiple":3.0,"warm_up":23000000},
            "over_share_worth":0.05,"prices":{"late_fail":0.039,"waste":0.2},
            "report":{"source":"silent"},"tick":5000,"weights":"nominal","worth_by":"request","zone":"kigali-dc"}""";
    }

    static Path configure(
            String file, int port, int adminPort, String discovery, String known, String settings, String limits)
            throws IOException {
        Path config = Rig.folder.resolve(file);
        Files.writeString(
                config,
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\","
                        + (adminPort == 0 ? "" : "\"admin_addr\":\"127.0.0.1:" + adminPort + "\",")
                        + "\"discovery\":\"" + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
                        + "\",\"limits\":" + limits
                        + ",\"known\":" + known + ",\"settings\":" + settings + "}");
        return config;
    }

    /** Starts a process without waiting for it. */
    static Balancer launch(Path config, int port, Path tmp, String log) throws IOException {
        Path root = Path.of(System.getProperty("review.root"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
        builder.redirectErrorStream(true).redirectOutput(Rig.folder.resolve(log).toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(name -> name.startsWith("PROXY_"));
        environment.remove("JAVA_TOOL_OPTIONS");
        environment.put("PROXY_CONFIG", config.toString());
        environment.put("TMPDIR", tmp.toString());
        if (System.getenv("REVIEW_PORT") != null) {
            // The platform holds the listening socket as descriptor 0, and every process inherits it.
            builder.redirectInput(ProcessBuilder.Redirect.INHERIT);
            environment.put("PROXY_INHERITED_FD", "0");
        }
        Process process = builder.start();
        Rig.started(process);
        Rig.say("balancer started pid=" + process.pid() + " port=" + port);
        return new Balancer(process, port, config);
    }

    /** Waits until the balancer says that it is ready. */
    Balancer awaitReady() throws Exception {
        for (int i = 0; i < 600; i++) {
            if (!process.isAlive()) {
                throw new IOException("the balancer ended at its start");
            }
            try (Client client = new Client(port)) {
                if (client.get("/ready").status() == 200) {
                    Rig.say("ready");
                    return this;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Rig.sleep(50);
        }
        throw new IOException("the balancer was not ready within 30 s");
    }

    /** Makes a call to a second address; returns the status of the answer, 0 without one. */
    static int admin(int port, String method, String path) {
        try (Client client = new Client(port)) {
            client.socket.setSoTimeout(2000);
            client.out.write(
                    (method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + "Content-Length: 0\r\n\r\n").getBytes());
            Http.Message answer = Http.read(client.in);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until the process says yes at its second address. */
    void awaitHealth(int adminPort) throws IOException {
        for (int i = 0; i < 300 && process.isAlive(); i++) {
            if (admin(adminPort, "GET", "/admin/health") == 200) {
                Rig.say("the new process says yes");
                return;
            }
            Rig.sleep(20);
        }
        throw new IOException("the new process was not ready within 6 s");
    }

    /** As the platform ends the old process of an upgrade: SIGTERM now, SIGKILL 3.7 s later. */
    void replaced() throws Exception {
        signal("TERM");
        Rig.start(() -> {
            Rig.sleep(3700);
            if (process.isAlive()) {
                Rig.say("SIGKILL to " + process.pid());
                process.destroyForcibly();
            } else {
                Rig.say("the old process has ended with " + process.exitValue());
            }
        });
    }

    void signal(String name) throws Exception {
        Rig.say("SIG" + name + " to " + process.pid());
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }
}
