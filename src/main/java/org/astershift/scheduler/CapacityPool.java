package org.astershift.scheduler;

/**
 * The machines of one type and zone, either spot or on-demand, which the cloud grants or refuses
 * together.
 */
record CapacityPool(String typeName, String zone, boolean spot) {
  static CapacityPool of(Decision.ProvisionMachines request) {
    return new CapacityPool(request.typeName(), request.zone(), request.spot());
  }

  Decision.ProvisionMachines createRequest(int count) {
    return new Decision.ProvisionMachines(typeName, zone, spot, count);
  }
}
