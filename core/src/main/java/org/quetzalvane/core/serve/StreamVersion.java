package org.quetzalvane.core.serve;

import java.util.Set;
import java.util.function.Consumer;

import org.quetzalvane.core.fleet.Endpoint;
import org.quetzalvane.core.routes.Route;
import org.quetzalvane.core.routes.RouteKind;

/**
 * The software version that a request's stream must come from: that of its first event, in whichever attempt of the
 * caller it was. Events of two versions do not fit together, and endpoints do not check this.
 *
 * <p>Null until the version is known. Confined to the event loop.
 */
final class StreamVersion {
    private final ServingContext context;
    private final CallerRequest request;
    private final Route route;
    private String required;
    private boolean recorded;

    StreamVersion(ServingContext context, CallerRequest request, Route route) {
        this.context = context;
        this.request = request;
        this.route = route;
    }

    /** Required software version, or null if any will do. */
    String required() {
        return required;
    }

    /**
     * Finds out which version a stream that the caller resumes must come from. A stream that no node knows may go on if
     * its service has had a single software version for as long as streams last, or if its origin was archived.
     *
     * @param done called once with whether the request may go on; possibly before this method returns
     */
    void resolve(String service, Consumer<Boolean> done) {
        if (route.kind() != RouteKind.STREAMING || request.lastEventId() == null) {
            done.accept(true);
            return;
        }
        context.streamOrigins().find(request.resumes(), version -> {
            if (version == null) {
                context.servedVersions().find(service, versions -> resolveUnknown(versions, done));
            } else {
                require(version, done);
            }
        });
    }

    private void resolveUnknown(Set<String> versions, Consumer<Boolean> done) {
        if (versions.size() == 1) {
            require(versions.iterator().next(), done);
        } else {
            context.streamOrigins().findArchived(request.resumes(), version -> require(version, done));
        }
    }

    private void require(String version, Consumer<Boolean> done) {
        required = version;
        done.accept(version != null);
    }

    /** Records that events of an endpoint are sent to the caller. */
    void eventsSentFrom(Endpoint e) {
        if (recorded) {
            return;
        }
        recorded = true;
        required = e.softwareVersion();
        if (route.retryable()) {
            context.streamOrigins().record(request.id(), required);
        }
    }
}
