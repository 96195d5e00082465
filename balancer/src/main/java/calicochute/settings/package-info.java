/**
 * The configuration file: reading, validation, the limits that follow from it, and settings that change while the
 * process runs.
 */
package calicochute.settings;
