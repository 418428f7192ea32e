/** The path of a request: authorisation, placement, dispatch and its single final answer. */
package org.quetzalvane.core.request;
