/**
 * A deterministic simulation of a whole deployment: controllers, the consensus-backed store, the
 * cloud, workers and users in one process and in virtual time.
 *
 * <p>The controllers decide with the program's own code ({@code Election}, {@code Scheduler},
 * {@code Cancellation} and others); {@link org.astershift.simulation.ControllerModel} and its parts
 * carry the decisions out as the program's loops do. Store, cloud, workers and users are models of
 * the published protocol. Faults are partitions in either direction, crashes, pauses, lost answers,
 * delayed writes and duplicate heartbeats. {@link org.astershift.simulation.InvariantChecker}
 * checks the whole history, and each {@link org.astershift.simulation.Mutation} takes one safety
 * measure away to show that it is checked.
 *
 * <p>Time is virtual: {@link org.astershift.simulation.Simulation} runs events in the order of
 * their time, and those of one millisecond in an order drawn from the seed. Nothing reads a real
 * clock or starts a thread, so a seed always plays the same way. A failing test prints its seed;
 * {@code SeedRunner SEED SEED story} replays one of {@link
 * org.astershift.simulation.RandomizedScenario} with the log of all hosts, and {@code
 * -Dsimulation.seeds=N} plays N of them in {@code SimulationTest}.
 */
package org.astershift.simulation;
