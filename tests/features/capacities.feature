Feature: Owners are placed by what their VMs can do

  # Load pattern "small VMs beside large ones": VMs of 0.4 to 2.2 cores in one fleet.
  Scenario: Larger VMs own more, in proportion to their processor time
    Given a fleet of 24 VMs with 2 quarters of a core, 24 with 4 and 12 with 9
    Then of 6,000 backend servers and of 6,000 ledgers, each size owns its part, to a tenth of it

  Scenario: Equal VMs keep the owners that they have without capacities
    Then for any fleet whose VMs state one capacity, each owner is the one that it has without

  Scenario: Ownership moves only where it must when a VM joins, is lost or changes
    Then for any fleet, a join or a growth moves ownership to that VM only
    And for any fleet, a loss or a shrinkage moves ownership from that VM only

  Scenario: Ownership that is updated by capacity equals ownership that is recomputed
    Then for any course of joins, losses and changes, updated ownership equals recomputed ownership by capacity

  Scenario: While one member states no capacity, all count as equal
    Given a fleet of 24 VMs with 2 quarters of a core, 24 with 4 and 12 with 9
    When a member of an earlier release joins it
    Then each owner is the one that it has without capacities
    And once that member is lost, ownership is by capacity again

  Scenario: A VM's processor time is read from its settings and stated in its member row
    Given platform settings with 0.717 of a core, 3 times as fast, and others that state none
    Then one router's capacity is 9 quarters of a core, the other's is not known
    And its member row reaches others over the wire, and is read by an earlier release

  Scenario Outline: A processor time that no machine has is rejected with its line
    Given platform settings in which <line>
    Then the settings are rejected for their processor time

    Examples:
      | line                        |
      | Limits.CpuQuota is inf      |
      | Limits.CpuQuota is nan      |
      | Limits.CpuQuota is 1e300    |
      | Limits.CoreCount is 0       |
      | Limits.CoreCount is 1000000 |

  Scenario: Routers agree on owners in whatever order rows with and without a capacity reach them
    Then for any order of a member's own rows and rows relayed without a capacity, the last capacity that it stated is known
