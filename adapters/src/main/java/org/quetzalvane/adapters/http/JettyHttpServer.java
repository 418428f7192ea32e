package org.quetzalvane.adapters.http;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.exc.QuetzalvaneException;

/**
 * An HTTP server on one address with a table of routes.
 *
 * <p>A route is a method and a path; a path that ends in {@code /} also serves everything below it. Every failure is
 * answered with a numbered result code. Immutable once started; thread-safe.
 */
public final class JettyHttpServer implements AutoCloseable {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private final Server server;
    private final ServerConnector connector;

    /** Serves the exchanges of one route; must not block for long. */
    @FunctionalInterface
    public interface Route {
        void handle(HttpExchange exchange) throws Exception;
    }

    /** Collects routes and settings. Not thread-safe. */
    public static final class Builder {
        private final Map<String, Route> routes = new LinkedHashMap<>();
        private int bodyLimitBytes = 1 << 20;
        private Duration idleTimeout = IDLE_TIMEOUT;
        private Duration stopTimeout = STOP_TIMEOUT;
        private int maxThreads = 32;
        private IntConsumer errorCodeListener = code -> {};

        public Builder route(String method, String path, Route route) {
            routes.put(method + " " + path, route);
            return this;
        }

        public Builder bodyLimitBytes(int limit) {
            bodyLimitBytes = limit;
            return this;
        }

        public Builder idleTimeout(Duration timeout) {
            idleTimeout = timeout;
            return this;
        }

        /** Longest wait, on closing, for requests in progress to be answered. */
        public Builder stopTimeout(Duration timeout) {
            stopTimeout = timeout;
            return this;
        }

        /** Sets what hears the number of every error answered; it must not block. */
        public Builder errorCodeListener(IntConsumer listener) {
            errorCodeListener = listener;
            return this;
        }

        public Builder maxThreads(int threads) {
            maxThreads = threads;
            return this;
        }

        /** Starts the server on {@code ip:port}. */
        public JettyHttpServer start(String address) throws Exception {
            JettyHttpServer service = new JettyHttpServer(this, address);
            service.server.start();
            return service;
        }
    }

    private JettyHttpServer(Builder b, String address) {
        QueuedThreadPool threads = new QueuedThreadPool(b.maxThreads, 4);
        threads.setDaemon(true);
        server = new Server(threads);
        HttpConfiguration config = new HttpConfiguration();
        config.setSendServerVersion(false);
        config.setRequestHeaderSize(MAX_HEADER_BYTES);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(config));
        int colon = address.lastIndexOf(':');
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(b.idleTimeout.toMillis());
        server.addConnector(connector);
        server.setErrorHandler(new NumberedErrors());
        server.setHandler(
                new GracefulHandler(new Dispatch(Map.copyOf(b.routes), b.bodyLimitBytes, b.errorCodeListener)));
        server.setStopTimeout(b.stopTimeout.toMillis());
    }

    public static Builder builder() {
        return new Builder();
    }

    /** The port that the server listens on. */
    public int port() {
        return connector.getLocalPort();
    }

    /** Takes no more connections, lets the requests in progress be answered to their end, and stops. */
    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    /** Writes a failure as a numbered JSON error. */
    public static void respondWithError(HttpExchange exchange, Throwable failure) {
        ResultCode code = QuetzalvaneException.codeOf(failure);
        Throwable cause =
                failure.getCause() != null && !(failure instanceof QuetzalvaneException) ? failure.getCause() : failure;
        exchange.respond(code.httpStatus(), ErrorBody.of(code, String.valueOf(cause.getMessage())));
    }

    private static final class Dispatch extends Handler.Abstract {
        private final Map<String, Route> routes;
        private final int bodyLimitBytes;
        private final IntConsumer errors;

        Dispatch(Map<String, Route> routes, int bodyLimitBytes, IntConsumer errors) {
            this.routes = routes;
            this.bodyLimitBytes = bodyLimitBytes;
            this.errors = errors;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            HttpExchange exchange = new HttpExchange(request, response, callback, bodyLimitBytes, errors);
            Route route = find(exchange.method(), exchange.path());
            try {
                if (route == null) {
                    throw new QuetzalvaneException(ResultCode.UNKNOWN_PATH, "no such path");
                }
                route.handle(exchange);
            } catch (Exception e) {
                respondWithError(exchange, e);
            }
            return true;
        }

        private Route find(String method, String path) {
            Route exact = routes.get(method + " " + path);
            if (exact != null) {
                return exact;
            }
            for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
                Route below = routes.get(method + " " + path.substring(0, end + 1));
                if (below != null) {
                    return below;
                }
                if (end == 0) {
                    break;
                }
            }
            return null;
        }
    }
}
