Feature: A platform node's settings file is read within bounds, and what is sound in it is used

  # Guards against: empty keys of matters that are not open kept every router from starting.
  Scenario Outline: An empty key takes its default
    Given a settings file
    When it has "<line>" as well
    Then it is sound, and equal to one without "<name>"

    Examples:
      | line                   | name                   |
      | Bounds.ColdOvershoot=  | Bounds.ColdOvershoot   |
      | Bounds.ColdTolerance=  | Bounds.ColdTolerance   |
      | Bounds.GracePeriodS=   | Bounds.GracePeriodS    |
      | Limits.CpuQuota=       | Limits.CpuQuota        |
      | SeedNodes=             | SeedNodes              |
      | IsBootstrap=           | IsBootstrap            |
      | Zones.hall-1=          | Zones.hall-1           |

  # Guards against: an unknown field below a known name was rejected.
  Scenario Outline: An unknown field is ignored, also below a known one
    Given a settings file
    When it has "<line>" as well
    Then it is sound, and equal to one without "<line>"

    Examples:
      | line                     |
      | Zone.Rack=r1             |
      | Zones.hall-1.Rack=r1     |
      | Limits.New=7             |
      | Limits=7                 |
      | New.Inner.Inner=7        |

  # Guards against: values that no timer, socket or array holds ended the start without a finding, or were
  # accepted.
  Scenario Outline: A value out of bounds is a finding with its place
    Given a settings file
    When it has "<line>" as well
    Then it is rejected with a finding at "<place>"

    Examples:
      | line                                       | place                     |
      | Limits.MemoryMb=inf                        | Limits.MemoryMb           |
      | Limits.MemoryMb=nan                        | Limits.MemoryMb           |
      | Limits.FileDescriptorLimit=99999999999999  | Limits.FileDescriptorLimit |
      | Bounds.GracePeriodS=1e300                  | Bounds.GracePeriodS       |
      | Bounds.QuotaWindowS=inf                    | Bounds.QuotaWindowS       |
      | Bounds.RetryBudgetRatio=1e308              | Bounds.RetryBudgetRatio   |
      | HeartbeatIntervalMs=inf                    | HeartbeatIntervalMs       |
      | InternalPortRange=7400,70000               | InternalPortRange         |
      | InternalPortRange=0,7                      | InternalPortRange         |
      | ListenAddresses.Frontend=10.0.0.1:99999    | ListenAddresses.Frontend  |
      | ListenAddresses.Frontend=10.0.0.999:80     | ListenAddresses.Frontend  |
      | SeedNodes=10.0.0.2:80,10.0.0.3:0           | SeedNodes.1               |
      | IpAddress=10.0.0.256                       | IpAddress                 |

  # Guards against: a changed file with one finding was dropped whole, without a log line or a counter.
  @nodes.1
  Scenario: Of a changed file that is rejected, what is sound is used, and the rest is told
    When the settings of router 1 name another seed and a grace period that is out of bounds
    Then the log of router 1 has "settings rejected in part"
    And the metrics of router 1 count "settings.rejected"
    And router 1 knows the seed
    When the settings of router 1 are sound again
    Then the log of router 1 has "settings sound again"

  Scenario: A file that is cut keeps the values that it has lost
    Given a settings file
    When it is cut after the first lines
    Then a router that runs keeps its seeds and its grace period
