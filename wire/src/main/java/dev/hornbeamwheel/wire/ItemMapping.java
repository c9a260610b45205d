package dev.hornbeamwheel.wire;

import com.google.protobuf.ByteString;
import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.membership.Item;
import dev.hornbeamwheel.core.membership.ItemKey;
import dev.hornbeamwheel.core.membership.ItemVersion;
import dev.hornbeamwheel.core.membership.Topic;
import dev.hornbeamwheel.proto.ItemStamp;
import dev.hornbeamwheel.proto.ItemState;
import dev.hornbeamwheel.proto.ItemTopic;

/** Protobuf form of gossiped items. */
final class ItemMapping {
  private ItemMapping() {}

  static ItemState toProto(Item item) {
    return ItemState.newBuilder()
        .setTopic(topic(item.key().topic()))
        .setName(item.key().name())
        .setVersion(item.version())
        .setAgeMillis(item.ageMillis())
        .setContent(bytes(item.content()))
        .build();
  }

  static Item fromProto(ItemState item) {
    return new Item(
        ItemKey.of(topic(item.getTopic()), item.getName()),
        item.getVersion(),
        item.getAgeMillis(),
        content(item.getContent()));
  }

  static ItemStamp stamp(ItemVersion version) {
    return ItemStamp.newBuilder()
        .setTopic(topic(version.key().topic()))
        .setName(version.key().name())
        .setVersion(version.version())
        .setContentHash(version.contentHash())
        .build();
  }

  static ItemVersion version(ItemStamp stamp) {
    return new ItemVersion(
        ItemKey.of(topic(stamp.getTopic()), stamp.getName()),
        stamp.getVersion(),
        stamp.getContentHash());
  }

  static ByteString bytes(Content content) {
    return ByteString.copyFrom(content.toByteArray());
  }

  static Content content(ByteString bytes) {
    return Content.copyOf(bytes.toByteArray());
  }

  private static ItemTopic topic(Topic topic) {
    return switch (topic) {
      case MEMBER -> ItemTopic.ITEM_TOPIC_MEMBER;
      case CELL_ROW -> ItemTopic.ITEM_TOPIC_CELL_ROW;
      case CONFIGURATION -> ItemTopic.ITEM_TOPIC_CONFIGURATION;
      case QUARANTINE -> ItemTopic.ITEM_TOPIC_QUARANTINE;
      case COLD_UPSTREAM -> ItemTopic.ITEM_TOPIC_COLD_UPSTREAM;
      case LOAD -> ItemTopic.ITEM_TOPIC_LOAD;
    };
  }

  private static Topic topic(ItemTopic topic) {
    return switch (topic) {
      case ITEM_TOPIC_MEMBER -> Topic.MEMBER;
      case ITEM_TOPIC_CELL_ROW -> Topic.CELL_ROW;
      case ITEM_TOPIC_CONFIGURATION -> Topic.CONFIGURATION;
      case ITEM_TOPIC_QUARANTINE -> Topic.QUARANTINE;
      case ITEM_TOPIC_COLD_UPSTREAM -> Topic.COLD_UPSTREAM;
      case ITEM_TOPIC_LOAD -> Topic.LOAD;
      case ITEM_TOPIC_UNSPECIFIED, UNRECOGNIZED ->
          throw new IllegalArgumentException("unknown topic " + topic);
    };
  }
}
