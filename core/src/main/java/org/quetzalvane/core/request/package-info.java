/** Requests, their single final response, refusals, idempotency keys and the retry budget. */
package org.quetzalvane.core.request;
