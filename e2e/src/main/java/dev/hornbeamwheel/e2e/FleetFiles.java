package dev.hornbeamwheel.e2e;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Settings and declarations of a small fleet, written into a directory.
 *
 * <p>Each data centre has {@link #HOSTS} hosts, {@link #KEYED} upstreams of the keyed service
 * {@code ledger} and {@link #POOLED} of the pooled service {@code desk}.
 */
final class FleetFiles {
  static final int HOSTS = 3;
  static final int KEYED = 3;
  static final int POOLED = 2;
  static final List<String> DATA_CENTRES = List.of("north", "south");
  static final String TOKEN = "drill-token";

  private static final String TOKEN_SHA256 =
      org.apache.commons.codec.digest.DigestUtils.sha256Hex(TOKEN);
  private static final int PORTS_PER_HOST = 5;

  private final Path directory;
  private final List<Integer> ports;
  private int nextPort;
  private final List<Host> hosts = new ArrayList<>();
  private final Map<String, Integer> upstreamPorts = new HashMap<>();
  private final List<Integer> platformPorts = new ArrayList<>();
  private int operatorPort;

  private FleetFiles(Path directory, List<Integer> ports) {
    this.directory = directory;
    this.ports = ports;
  }

  /** One host with its ports. */
  record Host(String name, String dataCentre, int platformPort, List<Integer> ports) {
    String callers() {
      return "127.0.0.1:" + ports.get(0);
    }

    String routerOperator() {
      return "127.0.0.1:" + ports.get(2);
    }

    String controllerOperator() {
      return "127.0.0.1:" + ports.get(4);
    }
  }

  /** Writes all files. */
  static FleetFiles write(Path directory) throws IOException {
    int upstreams = DATA_CENTRES.size() * (KEYED + POOLED);
    int hostPorts = DATA_CENTRES.size() * HOSTS * PORTS_PER_HOST;
    int all = upstreams + hostPorts + DATA_CENTRES.size() + 1;
    FleetFiles files = new FleetFiles(directory, Ports.free(all));
    files.writeDeclarations();
    files.writeSettings();
    return files;
  }

  List<Host> hosts() {
    return hosts;
  }

  Path declarations() {
    return directory.resolve("declarations");
  }

  Path settings(String program) {
    return directory.resolve(program + ".json");
  }

  Path log(String program) {
    return directory.resolve(program + ".log");
  }

  String platform() {
    return "127.0.0.1:" + platformPorts.get(0);
  }

  String standinsOperator() {
    return "127.0.0.1:" + operatorPort;
  }

  String upstreamAddress(String upstream) {
    return "127.0.0.1:" + upstreamPorts.get(upstream);
  }

  private int upstreamPort(String upstream) {
    int port = port();
    upstreamPorts.put(upstream, port);
    return port;
  }

  private int port() {
    return ports.get(nextPort++);
  }

  private void writeDeclarations() throws IOException {
    Files.createDirectories(declarations());
    put(
        "data-centres.json",
        "{\"dataCentres\": ["
            + list(DATA_CENTRES, name -> "{\"id\": \"%s\", \"region\": \"here\"}".formatted(name))
            + "]}");
    put(
        "services.json",
        "{\"services\": ["
            + service("ledger", "keyed", 64, 2)
            + ","
            + service("desk", "pooled", 1, 1)
            + "]}");
    put(
        "contracts.json",
        """
        {"contracts": [{"id": "drill", "tokenSha256": "%s", "ratePerSecond": 2000, "burst": 2000,
          "concurrency": 200, "services": ["ledger", "desk"]}]}
        """
            .formatted(TOKEN_SHA256));
    put(
        "upstreams.json",
        "{\"upstreams\": ["
            + list(
                DATA_CENTRES,
                name -> upstreams(name, "ledger", KEYED) + "," + upstreams(name, "desk", POOLED))
            + "]}");
  }

  private static String service(String id, String kind, int shards, int cells) {
    return """
    {"id": "%s", "kind": "%s", "shards": %d, "cells": %d, "fencing": "checked",
     "isolation": "keep-serving", "coldStart": {"initialRatePerSecond": 50,
     "fullRatePerSecond": 100, "warmUpMillis": 1000}, "defaultDeadlineMillis": 8000}
    """
        .formatted(id, kind, shards, cells);
  }

  private String upstreams(String dataCentre, String service, int count) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(
            number ->
                """
                {"id": "%s-%s-%d", "service": "%s", "dataCentre": "%s",
                 "address": "127.0.0.1:%d", "slots": 2, "connections": 100}
                """
                    .formatted(
                        service,
                        dataCentre,
                        number,
                        service,
                        dataCentre,
                        upstreamPort(service + "-" + dataCentre + "-" + number)))
        .collect(Collectors.joining(","));
  }

  private void writeSettings() throws IOException {
    for (String dataCentre : DATA_CENTRES) {
      int platformPort = port();
      platformPorts.add(platformPort);
      for (int number = 1; number <= HOSTS; number++) {
        List<Integer> own = Stream.generate(this::port).limit(PORTS_PER_HOST).toList();
        hosts.add(new Host(dataCentre + "-" + number, dataCentre, platformPort, own));
      }
    }
    operatorPort = port();
    for (Host host : hosts) {
      Files.writeString(settings(host.name() + "-router"), router(host));
      Files.writeString(settings(host.name() + "-controller"), controller(host));
    }
    Files.writeString(settings("standins"), standins());
  }

  private static String router(Host host) {
    return """
    {"member": "%s/router", "host": "%s", "dataCentre": "%s", "platform": "127.0.0.1:%d",
     "callerAddress": "127.0.0.1:%d", "peerAddress": "127.0.0.1:%d",
     "operatorAddress": "127.0.0.1:%d"}
    """
        .formatted(
            host.name(),
            host.name(),
            host.dataCentre(),
            host.platformPort(),
            host.ports().get(0),
            host.ports().get(1),
            host.ports().get(2));
  }

  private static String controller(Host host) {
    return """
    {"member": "%s/controller", "host": "%s", "dataCentre": "%s", "platform": "127.0.0.1:%d",
     "peerAddress": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d"}
    """
        .formatted(
            host.name(),
            host.name(),
            host.dataCentre(),
            host.platformPort(),
            host.ports().get(3),
            host.ports().get(4));
  }

  private String standins() {
    String entrances =
        IntStream.range(0, DATA_CENTRES.size())
            .mapToObj(
                i ->
                    "{\"name\": \"%s\", \"address\": \"127.0.0.1:%d\"}"
                        .formatted(DATA_CENTRES.get(i), platformPorts.get(i)))
            .collect(Collectors.joining(","));
    return """
    {"operatorAddress": "127.0.0.1:%d", "roles": ["platform", "upstreams"],
     "platform": {"entrances": [%s], "readsPerSecond": 2000, "writesPerSecond": 300,
       "hostListLagMillis": 1000, "hosts": [%s]},
     "upstreams": {"declarations": "%s", "serviceMillis": 10, "queueLimit": 16,
       "loadLagMillis": 500, "downloadBytes": 1048576, "start": "warm"}}
    """
        .formatted(operatorPort, entrances, list(hosts, FleetFiles::listed), declarations());
  }

  private static String listed(Host host) {
    return """
    {"host": "%s", "dataCentre": "%s", "members": [
      {"member": "%s/router", "peerAddress": "127.0.0.1:%d", "operatorAddress": "%s"},
      {"member": "%s/controller", "peerAddress": "127.0.0.1:%d", "operatorAddress": "%s"}]}
    """
        .formatted(
            host.name(),
            host.dataCentre(),
            host.name(),
            host.ports().get(1),
            host.routerOperator(),
            host.name(),
            host.ports().get(3),
            host.controllerOperator());
  }

  private void put(String file, String content) throws IOException {
    Files.writeString(declarations().resolve(file), content);
  }

  private static <T> String list(List<T> values, java.util.function.Function<T, String> text) {
    return values.stream().map(text).collect(Collectors.joining(","));
  }
}
