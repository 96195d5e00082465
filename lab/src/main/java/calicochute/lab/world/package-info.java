/** The event loop on which all emulated parts of the lab run. */
package calicochute.lab.world;
