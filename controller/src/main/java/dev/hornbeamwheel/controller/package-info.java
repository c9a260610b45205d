/** The controller program: leads cells and arbitrates contract limits. */
package dev.hornbeamwheel.controller;
