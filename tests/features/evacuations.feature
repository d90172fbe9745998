Feature: An evacuated zone's servers get no requests until the evacuation ends

  # Guards against: a zone's engines got 959 requests after the operator had evacuated it.

  Scenario: A zone is evacuated under load until its evacuation ends
    Given 6 routers and 6 engines in 3 zones whose cold starts last 3 s, 10 requests a second
    And callers that ask for more than the engines can do
    When zone "z1" is evacuated from 2 s to 5 s
    Then its engines get nothing in between, and what ran there ends well
    And the engines of the other zones read at least 0.95 of the tokens that they can
    And in the 3 s after its evacuation ends none of its engines gets more than 20 requests in a second

  Scenario: All routers learn of an evacuation from the few that read the source
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When zone "z1" is evacuated in the source
    Then within 1 s every router considers it evacuated
    When a router restarts
    Then within 1 s every router considers it evacuated
    When the source is silent to every router for 3 s
    Then within 0 s every router considers it evacuated
    When the evacuation of zone "z1" ends in the source
    Then within 1 s every router considers no zone evacuated

  Scenario: A router that was cut off learns of an evacuation once it is connected again
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When a router is cut off from all others and from the source
    And zone "z1" is evacuated in the source
    And 4 s pass
    And it is connected again
    Then within 2.5 s every router considers it evacuated

  Scenario: Routers follow a source that is restored from a copy
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When zone "z1" is evacuated in the source
    And 1 s pass
    And the source is restored from a copy made before
    Then within 1.5 s every router considers no zone evacuated

  Scenario Outline: The evacuated zones are read from the store's keys
    Given a store with the keys <keys>
    Then the evacuated zones are <zones>

    Examples:
      | keys                                                | zones         |
      | op/config                                           | none          |
      | op/evacuate/hall-1, op/config                       | hall-1        |
      | op/evacuate/hall-1, op/evacuate/hall-2, servers/i-1 | hall-1 hall-2 |
      | op/evacuate/                                        | none          |

  @nodes.2.many
  Scenario: A zone is evacuated on the emulated platform
    Given a site whose busiest engine and two others are in zone "hall-2"
    When zone "hall-2" is evacuated there, and a second later clients send for 2 s
    Then the servers of zone "hall-2" got none of the requests, and all were answered
    When the evacuation of zone "hall-2" ends there, and a second later clients send for 2 s
    Then the servers of zone "hall-2" got some of the requests, and all were answered
