/** Attempts at upstreams over HTTP, with checks that each answer is whole and its own. */
package dev.hornbeamwheel.router.upstream;
