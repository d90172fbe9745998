Feature: A part of prompts under which backend servers end is quarantined
  # Guards against: requests that shared one part of their prompts, and nothing else, ended one engine
  # after another: 12 in one day, 7 of them after five had ended. The quarantine identified whole
  # requests only, so that each of them was a new one, and it held sound requests that had run beside
  # them.

  @nodes.3.versions
  Scenario Outline: Requests with a part that ends engines stop reaching them, sound ones go on
    Given the part "bad" of a prompt ends each engine that begins to write an answer on it
    When requests with the parts "<parts>" come every <interval> s for <seconds> s beside sound ones
    Then at most 3 of them reach engines that were sent later than 3 s after the fifth end
    And sound requests are answered at least half as often as before, with the same first part too

    Examples:
      | parts        | interval | seconds |
      | common,bad   | 0.5      | 16      |
      | bad,common   | 0.5      | 16      |
      | common,bad,x | 1.6      | 24      |

  Scenario: Few engines end under a part whatever becomes of messages and routers
    Then in any history with lost messages and restarted routers, a part ends few engines

  # Guards against: evidence against parts that were under way when engines ended by chance, so that
  # sound requests of a session, or all that share a first part, were refused.
  Scenario Outline: Engines that end by chance leave no part quarantined
    Then in any history in which <trouble> by chance, no request is refused for its parts

    Examples:
      | trouble                            |
      | single engines end                 |
      | half of all engines end at once    |
      | all engines end at once            |
      | engines end one after another soon |

  Scenario: A part that is sound at one version and ends engines of another is quarantined
    Given a fleet of 4 routers and engines of two software versions
    When requests with the part "bad" end engines of version "v1" only
    Then the part "bad" is quarantined at every router after at most 5 ends of engines

  Scenario: The first part of prompts is the last to be quarantined
    Given a fleet of 4 routers and engines of two software versions
    When 5 requests with the parts "first" and "bad" end one engine each
    Then every router refuses "bad" and none refuses "first"

  # Guards against: two requests that ended two engines each had a first part that nobody else used, and
  # all that came with that part later was refused.
  Scenario: Requests that end engines by themselves leave their parts unquarantined
    Given a fleet of 4 routers and engines of two software versions
    When 2 requests that are sent again and again end engines, both with the parts "first" and "common"
    Then every router quarantines both requests, and refuses neither part

  Scenario: A part on which an answer has begun since the first end is not quarantined
    Given a fleet of 4 routers and engines of two software versions
    When engines end under a part whose answers begin elsewhere between the ends
    Then no router refuses that part

  Scenario: The memory of parts is bounded, and does not crowd out that of requests
    Then 10000 parts under which servers ended leave 4096 counted, and requests as they were
