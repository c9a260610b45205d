/**
 * Callers' HTTP: reading requests, checking them, and writing whole answers or problem documents.
 */
package dev.hornbeamwheel.router.http;
