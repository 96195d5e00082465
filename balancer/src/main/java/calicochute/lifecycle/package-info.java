/** Whether the process takes clients: serving, quiesced by an operator, or stopping after SIGTERM. */
package calicochute.lifecycle;
