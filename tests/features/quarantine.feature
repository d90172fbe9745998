Feature: A request under which backend servers end again and again is held back
  # Seen: seven engines ended one after the other, at three routers, in 14 seconds; the callers
  # beside them got broken answers, and one in ten of the others were refused meanwhile.
  # How: one caller's request ended each engine that began to run it, and came again and again
  # under new ids, at any router. Each router sent it on each time, and where its route allowed a
  # second attempt, to a second engine at once.
  # Cause: nothing knew a request by anything but its id, nor told a server that had ended from
  # one that broke an answer off.
  # Proof: here the same request is the only thing that ends engines. Before it was held back,
  # 8 engines had ended after 9 attempts, on a route with one attempt and on one with two.

  @nodes.3.many
  Scenario: A request that ends each engine that runs it reaches few engines
    Given a request "spoilt" ends each engine that begins to run it
    When "dispatch" sends "POST" "/summary/week" with body "spoilt summary" 9 times, in turn
    Then at most 2 engines have ended
    And the last 3 answers say "quarantined" and to come back after 30 seconds or more
    When "dispatch" sends "POST" "/diagnosis/pump" with body "spoilt diagnosis" 9 times, in turn
    Then at most 4 engines have ended
    And the last 3 answers say "quarantined" and to come back after 30 seconds or more
    And "planners" is served at every router

  # Seen: a caller got a 500 that no server had made, and that no log line told of.
  # Cause: the head of a stream is sent with its first piece; a run that broke between the two
  # raised within the body, and the server of callers' connections answered on its own.
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

  Scenario: Engines that end by chance hold nobody back who is served elsewhere
    Then in any history with engines that end by chance, a request that many send stays served

  Scenario: A lost rack holds nobody back
    Given a fleet of 6 routers and 8 engines
    When "popular" is sent to every engine, and all of them end at once
    Then no router holds "popular" back

  Scenario: What is held is known everywhere soon, and to a router that starts
    Given a fleet of 24 routers in 4 zones and 8 engines
    When "spoilt" ends two engines
    Then all routers hold "spoilt" back within 1 second
    When a router starts again
    Then that router holds "spoilt" back within 1 second

  Scenario: A run that ends well lifts what is held, though the news of it is lost at first
    Given a fleet of 6 routers and 8 engines
    When "spoilt" ends two engines
    And a run of "spoilt" ends well while half of the messages are lost
    Then no router holds "spoilt" back within 2 seconds

  Scenario: The hold doubles with each further end, and ends
    Then a request that ends an engine after each hold is held for 60, 120 and 240 seconds

  Scenario: A run that ends well after the hold is over has the ends forgotten everywhere
    Given a fleet of 6 routers and 8 engines
    When "spoilt" ends two engines
    And it ends well once its hold is over, at a router that then starts again
    Then one more end under "spoilt" has no router hold it back

  Scenario: What waits is refused once its request is held
    Then a held request is refused while it waits for an engine, and while it waits for a slot
    And it is told to come back after the hold

  Scenario: Requests are the same one by caller, path and body
    Then two requests have one fingerprint just if caller, method, path and body agree

  Scenario: The memory of ends is bounded
    Then 10000 requests that ended servers leave 4096 counted and 1024 held
