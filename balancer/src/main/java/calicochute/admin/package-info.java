/** The admin address: operators' calls over HTTP/1.1, on a listener and an I/O thread of their own. */
package calicochute.admin;
