package dev.hornbeamwheel.wire.http;

/**
 * How much an {@link HttpCaller} reads.
 *
 * @param answerBytes most bytes that may arrive until a call has its answer
 * @param totalBytes most bytes of all answers that are being read at the same time
 */
public record AnswerLimits(int answerBytes, int totalBytes) {}
