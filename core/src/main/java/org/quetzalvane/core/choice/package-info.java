/** Choice of an endpoint, admission, outliers and the shared retry budget; all free of I/O. */
package org.quetzalvane.core.choice;
