package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.MemberId;

/** A slot request that waits in the dispatcher's queue. */
record WaitingRequest(
    MemberId router,
    DispatchMessage.SlotRequest request,
    long waitingSinceMillis,
    long deadlineMillis) {}
