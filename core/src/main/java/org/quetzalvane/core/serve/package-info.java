/** The path of one request, from its arrival to its final answer, over ports for callers and endpoints. */
package org.quetzalvane.core.serve;
