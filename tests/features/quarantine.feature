Feature: A request under which backend servers end again and again is quarantined
  # Guards against: one client's request ended each engine that ran it, and was repeated under new
  # ids at any router. Seven engines, used by three routers, ended within 14 seconds; other
  # requests there got broken answers, and one in ten elsewhere was refused. Routers knew a
  # request only by its id, and did not distinguish a server that ended from one that broke off an
  # answer. A route with a second attempt sent the request to another engine at once. Without the
  # quarantine, 8 engines end in 9 attempts here, with one attempt and with two.

  @nodes.3.many
  Scenario: A request that ends each engine that runs it reaches few engines
    Given a request "spoilt" ends each engine that begins to run it
    When "dispatch" sends "POST" "/summary/week" with body "spoilt summary" 9 times, in turn
    Then at most 2 engines have ended
    And the last 3 answers say "quarantined" and to retry after 30 seconds or more
    When "dispatch" sends "POST" "/diagnosis/pump" with body "spoilt diagnosis" 9 times, in turn
    Then at most 4 engines have ended
    And the last 3 answers say "quarantined" and to retry after 30 seconds or more
    And "planners" is served at every router

  # Guards against: a router that had just started and considered all others dead counted an end by
  # itself. The collectors were other routers later and did not learn of it, so that a third engine
  # ended with all that it ran.
  @nodes.3.many
  Scenario: An end counted by a router that considers all others dead is known after its restart
    Given a request "spoilt" ends each engine that begins to run it
    When routers 2 and 3 are paused until router 1 considers them dead
    And "dispatch" sends "POST" "/summary/week" with body "spoilt alone" 1 times, in turn
    And routers 2 and 3 go on until all routers consider one another alive
    And router 1 is killed and starts again
    And "dispatch" sends "POST" "/summary/week" with body "spoilt alone" 6 times, in turn
    Then at most 2 engines have ended
    And the last 3 answers say "quarantined" and to retry after 30 seconds or more

  # Guards against: a client got a 500 that came from no server and was not logged. A run broke
  # before the first piece of its stream, with which the head is sent; the error was raised in the
  # response body, and the HTTP server of the router answered by itself.
  @nodes.3.many
  Scenario Outline: A stream that breaks before its first event is answered with a typed failure
    Given a request "spoilt" ends each engine that begins to run it
    When "dispatch" sends "POST" "<path>" with body "spoilt" 1 times, in turn
    Then the answer is 502, names the attempt and says "backend_broken"

    Examples:
      | path            |
      | /summary/week   |
      | /diagnosis/pump |

  Scenario: Few engines end whatever becomes of messages and routers
    Then in any history with lost messages and restarted routers a request ends few engines

  # Guards against: an end was counted while routers started, restarted or suspected one another,
  # and its count was not handed over when the collectors changed.
  Scenario Outline: Ends are counted together whatever collectors they were first reported to
    Then in any history, a request ends at most 2 engines if <trouble> between the first and the second end

    Examples:
      | trouble                                               |
      | the router that saw the first end was cut off from it |
      | the other routers start in series around the first end |
      | each router is killed and starts again                |

  Scenario: An end counted by a router that considers all others dead reaches the collectors
    Given a fleet of 3 routers and 6 engines
    When router 1 is cut off until it considers all others dead
    And "spoilt" ends one engine at router 1
    Then only router 1 holds an end of "spoilt"
    When the cut ends and all routers consider one another alive
    Then both collectors hold an end of "spoilt"
    When router 1 is killed
    And "spoilt" ends one engine at router 2
    Then all routers quarantine "spoilt" within 1 second

  Scenario: A collector that restarts before anyone suspects it is sent the ends again
    Given a fleet of 3 routers and 6 engines
    When "spoilt" ends one engine at router 1
    And each router is killed and starts again at once, one after the other
    Then both collectors hold an end of "spoilt"

  Scenario: Ends are counted in any order of arrival
    Then the same ends, reported in any order and repeatedly, are counted alike
    And ends that were reported before a quarantine was lifted are not counted again

  Scenario: Collectors follow changes of the fleet
    Then collectors found from the previous ones are those found from the whole fleet

  Scenario: Engines that end by chance leave no request quarantined that completes elsewhere
    Then in any history with engines that end by chance, a request that many clients send is still served

  # Guards against: a stream whose engines ended twice by chance was taken for their cause, and could
  # not go on for a minute.
  Scenario: A stream that goes on after two engines have ended under it is not quarantined
    Given a fleet of 4 routers and 6 engines
    When "stream" is under way at 2 ends of engines that had written on it for 0.3 s
    Then no router quarantines "stream"
    When "stream" is under way at 2 ends of engines that had written on it for 0.3 s
    Then all routers quarantine "stream" within 1 second

  Scenario: The loss of a rack leads to no quarantine
    Given a fleet of 6 routers and 8 engines
    When "popular" is sent to every engine, and all of them end at once
    Then no router quarantines "popular"

  Scenario: A quarantine is soon known to all routers, and to a router that restarts
    Given a fleet of 24 routers in 4 zones and 8 engines
    When "spoilt" ends two engines
    Then all routers quarantine "spoilt" within 1 second
    When a router starts again
    Then that router quarantines "spoilt" within 1 second

  Scenario: A run that completes lifts the quarantine, though reports of it are lost at first
    Given a fleet of 6 routers and 8 engines
    When "spoilt" ends two engines
    And a run of "spoilt" completes while half of the messages are lost
    Then no router quarantines "spoilt" after 2 seconds

  Scenario: The quarantine doubles with each further end of an engine, and expires
    Then a request that ends an engine after each quarantine is quarantined for 60, 120 and 240 seconds

  Scenario: A run that completes after the quarantine resets the count of ends at all routers
    Given a fleet of 6 routers and 8 engines
    When "spoilt" ends two engines
    And it completes after its quarantine, at a router that then restarts
    Then after one more engine ends under "spoilt" no router quarantines it

  Scenario: Waiting requests are refused once they are quarantined
    Then a quarantined request is refused while it waits for an engine, and while it waits for a slot
    And it is told to retry after the quarantine

  Scenario: Requests are identified by caller, method, path and body
    Then two requests have the same fingerprint if and only if caller, method, path and body agree

  Scenario: The memory of ends is bounded
    Then 10000 requests that ended servers leave 4096 counted and 1024 quarantined
