Feature: Few routers read the source, and all know what it publishes
  Simulated histories of decision cores; the source answers the routers that read it.

  Scenario: A few of many routers read the source, and news reaches all at once
    Given a fleet of 12 routers that has run for 3 s
    Then 4 routers read the source
    When a server is published and a new configuration too
    Then after 0.3 s every router knows both

  # Guards against: where all readers lost the source at once, the other routers, which could reach it,
  # learned of changes up to 3.4 s late; 2 s is the bound for servers that leave and for configurations.
  Scenario Outline: Readers that the source <fault> are replaced in time
    Given a fleet of 12 routers that has run for 3 s
    When the source <fault> every reader
    And a server is published and a new configuration too
    Then after <wait> s every router knows both

    Examples:
      | fault        | wait |
      | refuses      | 2.0  |
      | is silent to | 2.0  |

  Scenario: Readers in several zones that the source is silent to are replaced in time
    Given a fleet of 60 routers in 3 zones that has run for 4 s
    When the source is silent to every reader
    And a server is published and a new configuration too
    Then after 2.0 s every router knows both

  Scenario: Readers that end are replaced, and a router that starts knows all at once
    Given a fleet of 12 routers that has run for 3 s
    When every reader ends
    And a server is published and a new configuration too
    Then after 2.0 s every router knows both
    When the readers start again
    Then after 0.5 s every router knows both

  Scenario: A router that the source never answers learns of changes from its peers
    Given a fleet of 12 routers that has run for 3 s
    When a router that is no reader ends and starts again, and the source is silent to it
    And a server is published and a new configuration too
    Then after 1.0 s every router knows both

  Scenario: A router that no other can reach reads for itself
    Given a fleet of 30 routers that has run for 3 s
    When a router that is no reader is cut off from all others
    And a server is published and a new configuration too
    Then after 1.2 s every router knows both

  Scenario: Each half of a split fleet has readers
    Given a fleet of 30 routers that has run for 3 s
    When the fleet is split into the readers and the others
    And a server is published and a new configuration too
    Then after 2.5 s every router knows both

  Scenario: While the source is unavailable the routers do not all read it at once
    Given a fleet of 40 routers that has run for 3 s
    When the source is silent to every router
    Then after 4.5 s at most 30 routers read the source
    When the source answers again
    Then after 3.0 s at most 5 routers read the source

  Scenario: For any changes, lost and duplicated messages, all routers end with the source's list
    Then for any history of the source, all routers end with what it publishes

  Scenario: For any two lists, the changes that a reader sends turn one into the other
    Then for any changes, a peer that applies them knows the same servers
