Feature: An evacuated zone's servers get nothing until it is taken back

  # Guards against: a zone's engines got 959 requests after the operator had evacuated it.

  Scenario: A zone is evacuated under load and taken back
    Given 6 routers and 6 engines in 3 zones whose cold starts last 3 s, 10 requests a second
    And callers that ask for more than the engines can do
    When zone "z1" is evacuated from 2 s to 5 s
    Then its engines get nothing in between, and what ran there ends well
    And the engines of the other zones read at least 0.95 of what they can
    And in the 3 s after it is taken back none of its engines gets more than 20 requests in a second

  Scenario: All routers of a fleet hear of it from the few that read the source
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When zone "z1" is evacuated in the source
    Then within 1 s every router holds it to be evacuated
    When a router starts anew
    Then within 1 s every router holds it to be evacuated
    When the source is silent to every router for 3 s
    Then within 0 s every router holds it to be evacuated
    When zone "z1" is taken back in the source
    Then within 1 s every router holds none to be evacuated

  Scenario: A router that was cut off hears of it late, and of its end
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When a router is cut off from all others and from the source
    And zone "z1" is evacuated in the source
    And 4 s go by
    And it is cut off no more
    Then within 2.5 s every router holds it to be evacuated

  Scenario: A source that comes back from a copy is obeyed
    Given 24 routers in 3 zones that read a source and have run for 4 s
    When zone "z1" is evacuated in the source
    And 1 s go by
    And the source comes back from a copy of before that
    Then within 1.5 s every router holds none to be evacuated

  Scenario Outline: What the store holds is read
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
    Given a site whose busiest engine and two others stand in zone "hall-2"
    When zone "hall-2" is evacuated there, and callers send for 2 s after a second
    Then the servers of zone "hall-2" got none of that, and all were answered
    When zone "hall-2" is taken back there, and callers send for 2 s after a second
    Then the servers of zone "hall-2" got some of that, and all were answered
