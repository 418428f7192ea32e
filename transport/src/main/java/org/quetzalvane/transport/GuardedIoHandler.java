package org.quetzalvane.transport;

import java.util.function.Consumer;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/**
 * I/O handler that measures each pass of the event loop, and reports an {@link Error} of one connection instead of
 * ending the thread of the event loop, and with it all others. The I/O that was not handled is selected again. Confined
 * to the event loop.
 */
final class GuardedIoHandler implements IoHandler {
    private final IoHandler handler;
    private final PassTimer passes;
    private final Consumer<Throwable> failureListener;

    GuardedIoHandler(IoHandler handler, PassTimer passes, Consumer<Throwable> failureListener) {
        this.handler = handler;
        this.passes = passes;
        this.failureListener = failureListener;
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        passes.begin();
        try {
            return handler.run(passes.timed(context));
        } catch (Error e) {
            report(e);
            return 0;
        }
    }

    private void report(Error e) {
        try {
            failureListener.accept(e);
        } catch (Error again) {
            // There may be no memory left for a report.
            again.addSuppressed(e);
        }
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }
}
