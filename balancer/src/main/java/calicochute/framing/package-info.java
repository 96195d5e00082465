/** Decorators of HttpCore's parsing that reject truncated HTTP messages. */
package calicochute.framing;
