package dev.hornbeamwheel.core.placement;

import dev.hornbeamwheel.core.model.MemberId;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Rendezvous hashing, by which a change of the candidates affects few subjects. */
public final class Rendezvous {
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private Rendezvous() {}

  /** Returns the 64-bit hash of a text, which is stable across processes and releases. */
  public static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  /** Returns the weight of a candidate for a subject, given their hashes. */
  public static long weight(long candidateHash, long subjectHash) {
    long mixed = candidateHash ^ (subjectHash * GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >>> 33)) * 0xFF51AFD7ED558CCDL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xC4CEB9FE1A85EC53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Returns the {@code count} members with the highest weights for a subject, highest first. */
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

  /** Returns whether fewer than {@code count} of the members have a higher weight for a subject. */
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
