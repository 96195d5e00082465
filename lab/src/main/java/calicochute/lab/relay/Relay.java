package calicochute.lab.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.http.nio.support.BasicResponseProducer;
import org.apache.hc.core5.http.nio.support.BasicServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;

/**
 * A minimal HTTP relay on HttpCore to one backend server, without load balancing and without limits. It is the baseline
 * of the overhead measurement: it costs what the HTTP library costs, and a balancer's own cost is what it needs beyond
 * that.
 */
public final class Relay {
    private static final Set<String> HEADERS_NOT_FORWARDED =
            Set.of("host", "connection", "content-length", "transfer-encoding");
    private static final int MAX_CONNECTIONS = 2000;
    private static final Timeout RESPONSE_TIMEOUT = Timeout.ofSeconds(10);
    private static final IOReactorConfig SINGLE_THREAD_CONFIG = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setBacklogSize(1024)
            .setSoReuseAddress(true)
            .build();

    private Relay() {}

    /** Starts a relay that runs until the process ends; returns once it listens. */
    public static void start(InetSocketAddress listen, InetSocketAddress backend) throws Exception {
        HttpAsyncRequester requester = AsyncRequesterBootstrap.bootstrap()
                .setIOReactorConfig(SINGLE_THREAD_CONFIG)
                .setMaxTotal(MAX_CONNECTIONS)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS)
                .create();
        requester.start();
        HttpHost host = new HttpHost("http", backend.getAddress(), backend.getHostString(), backend.getPort());
        HttpAsyncServer server = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(SINGLE_THREAD_CONFIG)
                // Accepts any host name: HttpCore's own router answers 421 for hosts that are not registered with it.
                .setRequestRouter(
                        (request, context) -> () -> new BasicServerExchangeHandler<>(new Handler(requester, host)))
                .create();
        server.start();
        server.listen(listen, URIScheme.HTTP).get();
    }

    private record Handler(HttpAsyncRequester requester, HttpHost host)
            implements AsyncServerRequestHandler<Message<HttpRequest, byte[]>> {
        @Override
        public AsyncRequestConsumer<Message<HttpRequest, byte[]>> prepare(
                HttpRequest request, EntityDetails entity, HttpContext context) {
            return new BasicRequestConsumer<>(entity == null ? null : new BasicAsyncEntityConsumer());
        }

        @Override
        public void handle(Message<HttpRequest, byte[]> message, ResponseTrigger trigger, HttpContext context) {
            HttpRequest request = message.getHead();
            AsyncRequestBuilder copy = AsyncRequestBuilder.create(request.getMethod())
                    .setHttpHost(host)
                    .setPath(request.getPath());
            for (Header header : request.getHeaders()) {
                if (!HEADERS_NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                    copy.addHeader(header);
                }
            }
            if (message.getBody() != null) {
                copy.setEntity(new BasicAsyncEntityProducer(message.getBody(), ContentType.APPLICATION_OCTET_STREAM));
            }
            requester.execute(
                    copy.build(),
                    new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
                    RESPONSE_TIMEOUT,
                    new FutureCallback<Message<HttpResponse, byte[]>>() {
                        @Override
                        public void completed(Message<HttpResponse, byte[]> response) {
                            respond(
                                    trigger,
                                    context,
                                    response.getHead().getCode(),
                                    response.getBody() == null ? new byte[0] : response.getBody());
                        }

                        @Override
                        public void failed(Exception cause) {
                            respond(trigger, context, 502, new byte[0]);
                        }

                        @Override
                        public void cancelled() {
                            respond(trigger, context, 502, new byte[0]);
                        }
                    });
        }

        private static void respond(ResponseTrigger trigger, HttpContext context, int status, byte[] body) {
            try {
                trigger.submitResponse(
                        new BasicResponseProducer(
                                new BasicHttpResponse(status),
                                new BasicAsyncEntityProducer(body, ContentType.APPLICATION_OCTET_STREAM)),
                        context);
            } catch (IOException | org.apache.hc.core5.http.HttpException e) {
                // The client has closed the connection.
            }
        }
    }
}
