/** Value types for the identifiers that all modules share. */
package dev.hornbeamwheel.core.model;
