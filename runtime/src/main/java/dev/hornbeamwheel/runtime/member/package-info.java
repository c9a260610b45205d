/** What every member does alike: messages to other members and reads of the platform. */
package dev.hornbeamwheel.runtime.member;
