/** Authorisation and placement: which node and endpoint serve a request. */
package org.quetzalvane.core.routing;
