package dev.hornbeamwheel.core.routing;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.Arrays;
import java.util.List;

/**
 * The part of a cell's row that a router needs, stored in primitive arrays.
 *
 * <pre>{@code
 * OwnershipRow row =
 *     OwnershipRow.builder(cell, termNumber, rowVersion, voters, owners)
 *         .slice(shard, 0, ownerIndex, epoch, false)
 *         .build();
 * }</pre>
 */
public final class OwnershipRow {
  private final Builder content;

  private OwnershipRow(Builder content) {
    this.content = content;
  }

  /**
   * Returns a builder without slices.
   *
   * @param termNumber number of the term
   * @param rowVersion version of the row; routers ignore all but newer rows
   * @param voters controllers that store the claims of the cell
   * @param owners upstreams that the slices refer to by index
   */
  public static Builder builder(
      CellId cell,
      long termNumber,
      long rowVersion,
      List<MemberId> voters,
      List<UpstreamId> owners) {
    return new Builder(cell, termNumber, rowVersion, voters, owners);
  }

  /** Returns the cell. */
  public CellId cell() {
    return content.cell;
  }

  /** Returns the number of the term. */
  public long termNumber() {
    return content.termNumber;
  }

  /** Returns the version of the row. */
  public long rowVersion() {
    return content.rowVersion;
  }

  /** Returns the controllers that store the claims of the cell. */
  public List<MemberId> voters() {
    return content.voters;
  }

  /** Returns the upstreams that the slices refer to. */
  public List<UpstreamId> owners() {
    return content.owners;
  }

  /** Returns the number of slices. */
  public int size() {
    return content.size;
  }

  /** Returns the shard of a slice. */
  public int shard(int slice) {
    return content.shards[slice];
  }

  /** Returns the hash of the isolated key of a slice; zero for a whole shard. */
  public long keyHash(int slice) {
    return content.keyHashes[slice];
  }

  /** Returns the index into {@link #owners} of a slice; negative if it has no owner. */
  public int owner(int slice) {
    return content.ownerIndexes[slice];
  }

  /** Returns the epoch of a slice. */
  public long epoch(int slice) {
    return content.epochs[slice];
  }

  /** Returns whether a slice is moving to another owner; requests for it wait. */
  public boolean moving(int slice) {
    return content.moving[slice];
  }

  /** Builds a row; must not be used after {@link #build}. */
  public static final class Builder {
    private static final int INITIAL_CAPACITY = 16;

    private final CellId cell;
    private final long termNumber;
    private final long rowVersion;
    private final List<MemberId> voters;
    private final List<UpstreamId> owners;
    private int size;
    private int[] shards = new int[INITIAL_CAPACITY];
    private long[] keyHashes = new long[INITIAL_CAPACITY];
    private int[] ownerIndexes = new int[INITIAL_CAPACITY];
    private long[] epochs = new long[INITIAL_CAPACITY];
    private boolean[] moving = new boolean[INITIAL_CAPACITY];

    private Builder(
        CellId cell,
        long termNumber,
        long rowVersion,
        List<MemberId> voters,
        List<UpstreamId> owners) {
      this.cell = cell;
      this.termNumber = termNumber;
      this.rowVersion = rowVersion;
      this.voters = List.copyOf(voters);
      this.owners = List.copyOf(owners);
    }

    /**
     * Adds a slice.
     *
     * @param shard the shard
     * @param keyHash hash of the isolated key; zero for a whole shard
     * @param ownerIndex index into the owners; negative if it has no owner
     * @param epoch epoch of the assignment
     * @param isMoving whether the slice is moving to another owner, so that requests for it wait
     */
    public Builder slice(int shard, long keyHash, int ownerIndex, long epoch, boolean isMoving) {
      grow();
      shards[size] = shard;
      keyHashes[size] = keyHash;
      ownerIndexes[size] = ownerIndex;
      epochs[size] = epoch;
      moving[size] = isMoving;
      size++;
      return this;
    }

    /** Returns the row. */
    public OwnershipRow build() {
      return new OwnershipRow(this);
    }

    private void grow() {
      if (size < shards.length) {
        return;
      }
      int capacity = 2 * size;
      shards = Arrays.copyOf(shards, capacity);
      keyHashes = Arrays.copyOf(keyHashes, capacity);
      ownerIndexes = Arrays.copyOf(ownerIndexes, capacity);
      epochs = Arrays.copyOf(epochs, capacity);
      moving = Arrays.copyOf(moving, capacity);
    }
  }
}
