/**
 * Deterministic simulation of a whole deployment: controllers, the consensus-backed store, the
 * cloud, workers and users in one process and in virtual time.
 *
 * <p>The controllers decide with the program's own code ({@code Election}, {@code Scheduler},
 * {@code Cancellation} and others); {@link org.astershift.simulation.ControllerModel} and its parts
 * carry the decisions out as the program's loops do. Store, cloud, workers and users are models of
 * the published protocol. The injected faults are network partitions in either direction, crashes,
 * pauses, lost answers, delayed writes and duplicate heartbeats. {@link
 * org.astershift.simulation.InvariantChecker} checks the whole history, and each {@link
 * org.astershift.simulation.Mutation} disables one safety measure to show that the checker detects
 * its absence.
 *
 * <p>Time is virtual: {@link org.astershift.simulation.Simulation} runs events in order of their
 * time; the order of events within one millisecond is drawn from the seed. Nothing reads a real
 * clock or starts a thread, so each seed is reproducible. A failing test prints its seed; {@code
 * SeedRunner SEED SEED story} replays one seed of {@link
 * org.astershift.simulation.RandomizedScenario} and prints the log of all hosts, and {@code
 * -Dsimulation.seeds=N} makes {@code SimulationTest} play N seeds of it.
 */
package org.astershift.simulation;
