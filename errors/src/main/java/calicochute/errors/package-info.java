/** Error codes, each with a remedy for the operator, and base classes of the exceptions that carry them. */
package calicochute.errors;
