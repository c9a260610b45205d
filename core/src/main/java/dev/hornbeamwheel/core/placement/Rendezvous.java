package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.MemberId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Rendezvous hashing: a choice of candidates that changes little when the candidates do. */
public final class Rendezvous {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private Rendezvous() {}

  /** Returns the 64-bit hash of a text, the same in every process and release. */
  public static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /** Returns the weight of a candidate for a subject, both given by their hashes. */
  public static long weight(long candidateHash, long subjectHash) {
    long mixed = candidateHash ^ (subjectHash * GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >>> 33)) * 0xFF51AFD7ED558CCDL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Returns the {@code count} members of greatest weight for a subject, greatest first. */
  public static List<MemberId> topWeighted(
      Collection<MemberId> members, String subject, int count) {
    long subjectHash = hash(subject);
    return members.stream()
        .sorted(
            Comparator.comparingLong((MemberId id) -> weight(hash(id.value()), subjectHash))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .toList();
  }

  /** Returns whether fewer than {@code count} of the members have a greater weight. */
  public static boolean isAmongTopWeighted(
      MemberId self, Collection<MemberId> members, String subject, int count) {
    long subjectHash = hash(subject);
    long own = weight(hash(self.value()), subjectHash);
    return members.stream()
            .filter(id -> weight(hash(id.value()), subjectHash) > own)
            .limit(count)
            .count()
        < count;
  }
}
