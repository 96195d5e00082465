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
 * A bare relay on HttpCore: one server behind it, nothing decided, nothing guarded. What it costs is what the sockets'
 * library costs; what a balancer costs beyond that is its own.
 */
public final class Relay {
    private static final Set<String> NOT_PASSED = Set.of("host", "connection", "content-length", "transfer-encoding");
    private static final int CONNECTIONS = 2000;
    private static final Timeout PATIENCE = Timeout.ofSeconds(10);
    private static final IOReactorConfig ONE_THREAD = IOReactorConfig.custom()
            .setIoThreadCount(1)
            .setTcpNoDelay(true)
            .setBacklogSize(1024)
            .setSoReuseAddress(true)
            .build();

    private Relay() {}

    /** Listens and relays until the process ends; returns once it listens. */
    public static void start(InetSocketAddress listen, InetSocketAddress to) throws Exception {
        HttpAsyncRequester requester = AsyncRequesterBootstrap.bootstrap()
                .setIOReactorConfig(ONE_THREAD)
                .setMaxTotal(CONNECTIONS)
                .setDefaultMaxPerRoute(CONNECTIONS)
                .create();
        requester.start();
        HttpHost host = new HttpHost("http", to.getAddress(), to.getHostString(), to.getPort());
        HttpAsyncServer server = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(ONE_THREAD)
                // Whatever host a request names: HttpCore's own router answers 421 for names that it was not told.
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
                if (!NOT_PASSED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                    copy.addHeader(header);
                }
            }
            if (message.getBody() != null) {
                copy.setEntity(new BasicAsyncEntityProducer(message.getBody(), ContentType.APPLICATION_OCTET_STREAM));
            }
            requester.execute(
                    copy.build(),
                    new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()),
                    PATIENCE,
                    new FutureCallback<Message<HttpResponse, byte[]>>() {
                        @Override
                        public void completed(Message<HttpResponse, byte[]> answer) {
                            respond(
                                    trigger,
                                    context,
                                    answer.getHead().getCode(),
                                    answer.getBody() == null ? new byte[0] : answer.getBody());
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
                // The client has gone.
            }
        }
    }
}
