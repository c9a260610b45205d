package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Turns members into items and back.
 *
 * <p>The version of the item is composed of a generation, which only the member itself raises, and
 * the state, so that the greater version wins here as for all other items.
 */
final class MemberCodec {
  private static final List<MemberState> BY_RANK =
      Arrays.stream(MemberState.values())
          .sorted(Comparator.comparingInt(MemberState::rank))
          .toList();
  private static final int STATES = MemberState.values().length;
  private static final String SEPARATOR = "\n";
  private static final int FIELDS = 4;

  private MemberCodec() {}

  static ItemKey key(MemberId id) {
    return ItemKey.of(Topic.MEMBER, id.value());
  }

  static Item item(Member member, long generation) {
    String text =
        String.join(
            SEPARATOR,
            Long.toString(member.incarnation().value(), Character.MAX_RADIX),
            member.dataCentre().value(),
            member.role().name(),
            member.address());
    long version = generation * STATES + member.state().rank();
    return Item.of(key(member.id()), version, Content.ofText(text));
  }

  static long generation(long version) {
    return version / STATES;
  }

  static MemberState state(long version) {
    return BY_RANK.get((int) (version % STATES));
  }

  /** Returns the same start of the member in another state. */
  static Item withState(Item item, MemberState state) {
    long version = generation(item.version()) * STATES + state.rank();
    return Item.of(item.key(), version, item.content());
  }

  /** Returns the member, or throws if the item comes from a process of another make. */
  static Member member(Item item) {
    String[] fields = item.content().text().split(SEPARATOR, FIELDS);
    if (fields.length < FIELDS) {
      throw new IllegalArgumentException("malformed member " + item.key().name());
    }
    return new Member(
        MemberId.of(item.key().name()),
        Incarnation.of(Long.parseLong(fields[0], Character.MAX_RADIX)),
        DataCentreId.of(fields[1]),
        Role.valueOf(fields[2]),
        fields[3],
        state(item.version()));
  }
}
