package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;

/** A request for a slot that a dispatcher has not answered yet. */
record WaitingRequest(
    MemberId router,
    DispatchMessage.SlotRequest request,
    long waitingSinceMillis,
    long deadlineMillis) {}
