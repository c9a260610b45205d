/** The operator port: metrics, readiness, liveness and status. */
package dev.hornbeamwheel.runtime.operator;
