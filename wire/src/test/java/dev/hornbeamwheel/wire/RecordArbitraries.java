package dev.hornbeamwheel.wire;

import dev.hornbeamwheel.core.membership.Content;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.Assignment;
import dev.hornbeamwheel.core.ownership.Assignments;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Random values of records and sealed types, made from their components. */
final class RecordArbitraries {
  private static final int MAX_ELEMENTS = 3;

  private RecordArbitraries() {}

  @SuppressWarnings("unchecked")
  static <T> Arbitrary<T> of(Class<T> type) {
    return (Arbitrary<T>) ofType(type);
  }

  private static Arbitrary<?> ofType(Type type) {
    if (type instanceof ParameterizedType generic) {
      return ofGeneric(generic);
    }
    Class<?> raw = (Class<?>) type;
    if (raw == String.class) {
      return Arbitraries.strings().alpha().numeric().ofMinLength(1).ofMaxLength(8);
    }
    if (raw == long.class || raw == Long.class) {
      return Arbitraries.longs();
    }
    if (raw == int.class || raw == Integer.class) {
      return Arbitraries.integers().between(0, Integer.MAX_VALUE);
    }
    if (raw == boolean.class) {
      return Arbitraries.of(true, false);
    }
    if (raw == double.class || raw == Double.class) {
      return Arbitraries.doubles();
    }
    if (raw == Content.class) {
      return Arbitraries.bytes().array(byte[].class).ofMaxSize(16).map(Content::copyOf);
    }
    if (raw == Assignments.class) {
      return assignments();
    }
    return raw.isRecord() ? ofRecord(raw) : ofConstants(raw);
  }

  private static Arbitrary<?> ofConstants(Class<?> raw) {
    if (raw.isEnum()) {
      return Arbitraries.of(raw.getEnumConstants());
    }
    List<Arbitrary<Object>> kinds =
        Arrays.stream(raw.getPermittedSubclasses())
            .map(kind -> ofType(kind).map(value -> (Object) value))
            .toList();
    return Arbitraries.oneOf(kinds);
  }

  private static Arbitrary<?> ofGeneric(ParameterizedType type) {
    Arbitrary<?> first = ofType(type.getActualTypeArguments()[0]);
    if (type.getRawType() == Optional.class) {
      return first.optional();
    }
    if (type.getRawType() == Map.class) {
      Arbitrary<?> second = ofType(type.getActualTypeArguments()[1]);
      return Arbitraries.maps(first, second).ofMaxSize(MAX_ELEMENTS);
    }
    return first.list().ofMaxSize(MAX_ELEMENTS);
  }

  private static Arbitrary<?> ofRecord(Class<?> type) {
    RecordComponent[] components = type.getRecordComponents();
    List<Arbitrary<Object>> parts =
        Arrays.stream(components)
            .map(component -> ofType(component.getGenericType()).map(value -> (Object) value))
            .toList();
    return Combinators.combine(parts).as(values -> construct(type, components, values));
  }

  private static Object construct(
      Class<?> type, RecordComponent[] components, List<Object> values) {
    try {
      Class<?>[] types =
          Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
      return type.getDeclaredConstructor(types).newInstance(values.toArray());
    } catch (ReflectiveOperationException e) {
      throw new LinkageError("cannot make a " + type, e);
    }
  }

  private static Arbitrary<Assignments> assignments() {
    Arbitrary<UpstreamId> upstreams = Arbitraries.of("u1", "u2", "u3").map(UpstreamId::of);
    Arbitrary<Slice> slices =
        Combinators.combine(Arbitraries.integers().between(0, 131_071), Arbitraries.of(0L, 1L, -1L))
            .as(Slice::new);
    return Combinators.combine(
            slices, upstreams, Arbitraries.longs().between(1, 1L << 40), upstreams.optional())
        .as(
            (slice, owner, epoch, previous) ->
                new Assignment(slice, owner, Epoch.of(epoch), previous))
        .list()
        .ofMaxSize(8)
        .uniqueElements(Assignment::slice)
        .map(Assignments::of);
  }
}
