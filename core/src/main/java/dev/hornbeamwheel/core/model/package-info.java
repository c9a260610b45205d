/** Value types for identifiers that the whole system shares. */
package dev.hornbeamwheel.core.model;
