/** Access to package-private parts of HttpCore's reactor. */
package org.apache.hc.core5.reactor;
