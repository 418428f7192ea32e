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
 * HTTP server on one address with a table of routes.
 *
 * <p>A route is a method and a path; a path that ends in {@code /} also matches every path below it, and the longest
 * match serves the request. Every failure is reported as an {@link ErrorBody} with a result code. Immutable once
 * started; thread-safe.
 */
public final class JettyHttpServer implements AutoCloseable {
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    private final Server server;
    private final ServerConnector connector;

    /**
     * Handler of the requests of one route. It runs on a server thread and must not block; an exception is reported as
     * an {@link ErrorBody}. The response may be sent later, from another thread.
     */
    @FunctionalInterface
    public interface Route {
        void handle(HttpExchange exchange) throws Exception;
    }

    /** Builder of a server's routes and settings. Not thread-safe. */
    public static final class Builder {
        private final Map<String, Route> routes = new LinkedHashMap<>();
        private int bodyLimitBytes = 1 << 20;
        private Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;
        private Duration stopTimeout = DEFAULT_STOP_TIMEOUT;
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

        /**
         * Sets the maximum time without data while a request is read, by default 30 s; it does not limit the time until
         * the response.
         */
        public Builder idleTimeout(Duration timeout) {
            idleTimeout = timeout;
            return this;
        }

        /** Sets how long {@link JettyHttpServer#close()} waits for requests in progress to complete. */
        public Builder stopTimeout(Duration timeout) {
            stopTimeout = timeout;
            return this;
        }

        /**
         * Sets the listener for the result code number of every {@link ErrorBody} that a route responds with; it must
         * not block.
         */
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
            JettyHttpServer httpServer = new JettyHttpServer(this, address);
            httpServer.server.start();
            return httpServer;
        }
    }

    private JettyHttpServer(Builder builder, String address) {
        QueuedThreadPool threadPool = new QueuedThreadPool(builder.maxThreads, 4);
        threadPool.setDaemon(true);
        server = new Server(threadPool);
        HttpConfiguration config = new HttpConfiguration();
        config.setSendServerVersion(false);
        config.setRequestHeaderSize(MAX_HEADER_BYTES);
        connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(config));
        int colon = address.lastIndexOf(':');
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(builder.idleTimeout.toMillis());
        server.addConnector(connector);
        server.setErrorHandler(new JsonErrorHandler());
        server.setHandler(new GracefulHandler(
                new RoutingHandler(Map.copyOf(builder.routes), builder.bodyLimitBytes, builder.errorCodeListener)));
        server.setStopTimeout(builder.stopTimeout.toMillis());
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return connector.getLocalPort();
    }

    /** Stops accepting connections, waits for requests in progress to complete, and stops the server. */
    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    /** Responds with the {@link ErrorBody} of a failure. */
    public static void respondWithError(HttpExchange exchange, Throwable failure) {
        ResultCode code = QuetzalvaneException.codeOf(failure);
        Throwable cause =
                failure.getCause() != null && !(failure instanceof QuetzalvaneException) ? failure.getCause() : failure;
        exchange.respond(code.httpStatus(), ErrorBody.of(code, String.valueOf(cause.getMessage())));
    }

    private static final class RoutingHandler extends Handler.Abstract {
        private final Map<String, Route> routes;
        private final int bodyLimitBytes;
        private final IntConsumer errorCodeListener;

        RoutingHandler(Map<String, Route> routes, int bodyLimitBytes, IntConsumer errorCodeListener) {
            this.routes = routes;
            this.bodyLimitBytes = bodyLimitBytes;
            this.errorCodeListener = errorCodeListener;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            HttpExchange exchange = new HttpExchange(request, response, callback, bodyLimitBytes, errorCodeListener);
            Route route = findRoute(exchange.method(), exchange.path());
            try {
                if (route == null) {
                    throw new QuetzalvaneException(ResultCode.UNKNOWN_PATH, "no route matches the method and path");
                }
                route.handle(exchange);
            } catch (Exception e) {
                respondWithError(exchange, e);
            }
            return true;
        }

        private Route findRoute(String method, String path) {
            Route exact = routes.get(method + " " + path);
            if (exact != null) {
                return exact;
            }
            for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
                Route prefixRoute = routes.get(method + " " + path.substring(0, end + 1));
                if (prefixRoute != null) {
                    return prefixRoute;
                }
                if (end == 0) {
                    break;
                }
            }
            return null;
        }
    }
}
