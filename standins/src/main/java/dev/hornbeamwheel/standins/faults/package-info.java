/** Faults that tests order at the operator port of the stand-ins. */
package dev.hornbeamwheel.standins.faults;
