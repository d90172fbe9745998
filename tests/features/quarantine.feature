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

  Scenario: Engines that end by chance leave no request quarantined that completes elsewhere
    Then in any history with engines that end by chance, a request that many clients send is still served

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
