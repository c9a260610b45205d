package dev.hornbeamwheel.controller;

import java.util.List;

/**
 * What {@code /status} shows of a controller.
 *
 * @param member this process
 * @param role {@code controller}
 * @param configurationVersion version in force in this process
 * @param cellsLed cells that this process leads
 * @param membersPresent members that this process believes to be present
 */
record ControllerStatus(
    String member,
    String role,
    long configurationVersion,
    List<String> cellsLed,
    long membersPresent) {}
