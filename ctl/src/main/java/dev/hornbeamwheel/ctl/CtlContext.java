package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.HostList;
import dev.hornbeamwheel.platform.MemberStatusClient;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import java.io.PrintStream;

/**
 * What commands work with.
 *
 * @param configurations the version line
 * @param table the table, for the rows of cells
 * @param hosts the platform's list of hosts
 * @param pages the pages of members
 * @param clock the clock of this process
 * @param operator who runs the command
 * @param patienceMillis how long an absent platform is waited for
 * @param out where results go
 * @param err where problems go
 */
record CtlContext(
    ConfigurationStore configurations,
    TableClient table,
    HostList hosts,
    MemberStatusClient pages,
    Clock clock,
    String operator,
    long patienceMillis,
    PrintStream out,
    PrintStream err) {}
