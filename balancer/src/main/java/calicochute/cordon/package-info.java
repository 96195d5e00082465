/**
 * Cordons: operators take a backend server out of use until they uncordon it. They are kept in a file that all
 * processes of the balancer share, and applied on top of discovery's list.
 */
package calicochute.cordon;
