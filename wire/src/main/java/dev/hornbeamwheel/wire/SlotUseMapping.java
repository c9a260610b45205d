package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.dispatch.DispatchMessage.UseResult;
import dev.hornbeamwheel.proto.SlotUse;

/** Protobuf form of how the use of a slot ended. */
final class SlotUseMapping {
  private SlotUseMapping() {}

  static SlotUse toProto(UseResult result) {
    return switch (result) {
      case UNUSED -> SlotUse.SLOT_USE_UNUSED;
      case COMPLETED -> SlotUse.SLOT_USE_COMPLETED;
      case SHED -> SlotUse.SLOT_USE_SHED;
      case REFUSED -> SlotUse.SLOT_USE_REFUSED;
      case LOST -> SlotUse.SLOT_USE_LOST;
      case ABANDONED -> SlotUse.SLOT_USE_ABANDONED;
    };
  }

  static UseResult fromProto(SlotUse use) {
    return switch (use) {
      case SLOT_USE_UNUSED -> UseResult.UNUSED;
      case SLOT_USE_COMPLETED -> UseResult.COMPLETED;
      case SLOT_USE_SHED -> UseResult.SHED;
      case SLOT_USE_REFUSED -> UseResult.REFUSED;
      case SLOT_USE_LOST -> UseResult.LOST;
      case SLOT_USE_ABANDONED -> UseResult.ABANDONED;
      case SLOT_USE_UNSPECIFIED, UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown use of a slot " + use);
    };
  }
}
