package dev.hornbeamwheel.router.upstream;

import okhttp3.Headers;

/**
 * Head of an upstream's answer to a caller's request.
 *
 * @param status HTTP status of the whole answer
 * @param headers end-to-end headers
 * @param incarnation incarnation of the upstream; zero if it gave none
 * @param validator strong validator; null if the upstream gave none
 * @param length length of the whole body in bytes; negative if unknown
 */
public record AnswerHead(
    int status, Headers headers, long incarnation, String validator, long length) {}
