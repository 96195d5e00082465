/** Independent streams of random numbers, all derived from the seed of a run. */
package calicochute.lab.random;
