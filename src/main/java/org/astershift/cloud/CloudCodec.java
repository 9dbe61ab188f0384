package org.astershift.cloud;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.astershift.http.Json;
import org.astershift.http.JsonFormatException;
import org.astershift.scheduler.Decision;
import org.astershift.scheduler.ListedMachine;
import org.astershift.scheduler.MachineType;

/** Encodes requests and decodes responses of the cloud provider's API. */
final class CloudCodec {
  private static final String NO_CAPACITY = "no capacity";

  private CloudCodec() {}

  /** One page of the machine list; {@code hasMore} is true if another page follows. */
  record MachinePage(List<ListedMachine> machines, boolean hasMore) {}

  static Map<String, MachineType> decodeMachineTypes(byte[] body) throws JsonFormatException {
    Map<String, MachineType> typesByName = new LinkedHashMap<>();
    for (Object item : Json.list(Json.object(body), "hulls")) {
      MachineType type = decodeMachineType(Json.object(item, "type"));
      typesByName.put(type.name(), type);
    }
    return typesByName;
  }

  private static MachineType decodeMachineType(Map<String, Object> fields)
      throws JsonFormatException {
    List<String> zones = decodeStrings(fields, "harbors");
    Double gpus = Json.numberOrNull(fields, "gpus");
    return new MachineType(
        Json.string(fields, "name"),
        Json.number(fields, "vcpus"),
        gpus == null ? 0 : gpus,
        Json.number(fields, "mem_gb"),
        Json.number(fields, "local_gb"),
        Json.number(fields, "pull_gb_per_s"),
        Json.number(fields, "hourly"),
        Json.number(fields, "low_price"),
        Json.number(fields, "ready_s"),
        zones);
  }

  static byte[] encodeProvision(String requestId, Decision.ProvisionMachines request) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("charter", requestId);
    body.put("hull", request.typeName());
    body.put("harbor", request.zone());
    body.put("ebbtide", request.spot());
    body.put("number", request.count());
    return Json.encode(body);
  }

  static List<String> decodeProvisioned(byte[] body) throws JsonFormatException {
    return decodeStrings(Json.object(body), "vessels");
  }

  static byte[] encodeRelease(List<String> machineNames) {
    return Json.encode(Map.of("vessels", machineNames));
  }

  static MachinePage decodeMachinePage(byte[] body) throws JsonFormatException {
    Map<String, Object> page = Json.object(body);
    List<ListedMachine> machines = new ArrayList<>();
    for (Object row : Json.list(page, "vessels")) {
      machines.add(decodeMachine(Json.object(row, "machine")));
    }
    return new MachinePage(machines, Json.boolOr(page, "more", false) && !machines.isEmpty());
  }

  private static ListedMachine decodeMachine(Map<String, Object> fields)
      throws JsonFormatException {
    Double ageS = Json.numberOrNull(fields, "held_s");
    return new ListedMachine(
        Json.string(fields, "id"),
        Json.stringOrNull(fields, "addr"),
        Json.string(fields, "hull"),
        Json.string(fields, "harbor"),
        Json.boolOr(fields, "ebbtide", false),
        Json.string(fields, "phase"),
        ageS == null ? 0 : ageS);
  }

  /** Returns whether the body of an error response says that there is no capacity. */
  static boolean isNoCapacity(byte[] body) {
    try {
      return NO_CAPACITY.equals(Json.object(body).get("error"));
    } catch (JsonFormatException e) {
      return false;
    }
  }

  private static List<String> decodeStrings(Map<String, Object> fields, String name)
      throws JsonFormatException {
    List<String> values = new ArrayList<>();
    for (Object value : Json.list(fields, name)) {
      values.add(String.valueOf(value));
    }
    return values;
  }
}
