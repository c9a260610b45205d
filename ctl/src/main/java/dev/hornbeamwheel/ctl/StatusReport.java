package dev.hornbeamwheel.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * What {@code status} shows.
 *
 * @param version the version in force at the platform
 * @param operator who applied it
 * @param drainedUpstreams upstreams that are taken out of service
 * @param drainedDataCentres data centres that are taken out of service
 * @param lostDataCentres data centres that are declared lost
 * @param cells the cells and who owns them
 * @param members the members and what they say of themselves
 */
record StatusReport(
    long version,
    String operator,
    List<String> drainedUpstreams,
    List<String> drainedDataCentres,
    List<String> lostDataCentres,
    List<Cell> cells,
    List<Member> members) {
  /**
   * One cell.
   *
   * @param slicesOf number of slices of each owner
   * @param moving slices on the move
   */
  record Cell(
      String cell,
      long rowVersion,
      long term,
      String home,
      Map<String, Long> slicesOf,
      long moving) {}

  /**
   * One member.
   *
   * @param leaving whether the platform is about to take its host away
   * @param problem why its page could not be read; empty if it could
   * @param status its page; null if it could not be read
   */
  record Member(
      String member, String dataCentre, boolean leaving, String problem, JsonNode status) {
    /** Returns the version that the member says is in force, or a question mark. */
    String version() {
      JsonNode version = status == null ? null : status.findValue("configurationVersion");
      return version == null ? "?" : version.asText();
    }
  }
}
