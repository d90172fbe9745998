Feature: Routers obey the leaving and back-off notices in answers of servers
  # Guards against: routers ignored notices in the heads of answers. Requests reached a server
  # more than 2 s after its answers had reported that it is leaving, because its entry still said
  # ready while the store was unavailable. A server that had asked a router to back off for 3 s got
  # 3 and 4 requests from it, because a refusal counted as any other failure: three in a row eject
  # a server, for half a second, then for one and two. Both occurred without any other fault, and
  # with a single router.

  @nodes.1
  Scenario: A server that reports that it is leaving gets no requests, whatever its entry says
    When the busiest "engine" reports in its answers that it is leaving, during requests to "/summary/a"
    Then no router that relayed such an answer sent it a request 2 s later

  @nodes.3
  Scenario: A server that reports that it is leaving gets no requests from any of three routers
    When the busiest "engine" reports in its answers that it is leaving, during requests to "/diagnosis/a"
    Then no router that relayed such an answer sent it a request 2 s later

  @nodes.3
  Scenario: A server that is leaving gets no requests while the store is unavailable
    Given the store is silent
    When the busiest "engine" reports in its answers that it is leaving, during requests to "/diagnosis/a"
    Then no router that relayed such an answer sent it a request 2 s later

  @nodes.2.desks
  Scenario: A plain service's server that reports that it is leaving gets no requests
    When the busiest "desk" reports in its answers that it is leaving, during requests to "/setpoint/a"
    Then no router that relayed such an answer sent it a request 2 s later

  @nodes.1
  Scenario: A router does not use a server during the back-off that it asked for
    When the busiest "engine" refuses 1 in 1 requests with a back-off of 5 s, during requests to "/diagnosis/a"
    Then it got at most 2 requests from each router after the first 0.5 s of a back-off
    And it runs requests again

  @nodes.1
  Scenario: A router keeps to the back-off of a server that goes on serving other requests
    When the busiest "engine" refuses 1 in 2 requests with a back-off of 2 s, during requests to "/diagnosis/a"
    Then it got at most 2 requests from each router after the first 0.5 s of a back-off
    And it runs requests again

  @nodes.3
  Scenario: Each of three routers keeps to the back-off of a server
    When the busiest "engine" refuses 1 in 2 requests with a back-off of 2 s, during requests to "/summary/a"
    Then it got at most 2 requests from each router after the first 0.5 s of a back-off
    And it runs requests again

  @nodes.2.desks
  Scenario: Routers keep to the back-off of a plain service's server
    When the busiest "desk" refuses 1 in 2 requests with a back-off of 2 s, during requests to "/setpoint/a"
    Then it got at most 2 requests from each router after the first 0.5 s of a back-off
    And it runs requests again

  Scenario: For any history, no router sends to a server that leaves or asked it to back off
    Then in any history no router sends to a server that leaves or asked it to back off

  Scenario: For any history, every request ends, and servers are used again
    Then in any history clients are served again once servers refuse nothing

  Scenario: A leaving server is known to its owner at once and to all other routers soon
    Given a fleet of 12 routers before 6 engines, all of which know one another
    When an answer reports to one router that "e3" is leaving
    Then within 0.05 s the owner of "e3" knows that it is leaving
    And within 2 s every router considers "e3" leaving
    When a router starts again after 10 s
    Then within 1 s every router considers "e3" leaving

  Scenario: Requests that no server accepts before their aim are refused with the time to retry
    Given a fleet of 3 routers before 4 engines, all of which know one another
    When every engine asks router 1 to back off for 3 s
    Then a request there is refused at once, to be retried within 0.5 s after the back-off
    And another router serves as before

  Scenario: Requests wait for a server whose back-off ends within their aim
    Given a fleet of 3 routers before 4 engines, all of which know one another
    When every engine asks router 1 to back off for 0.3 s
    Then a request there waits, and is served after the back-off

  Scenario: A request that the only engine refused with a short back-off is sent there again
    Given a fleet of 2 routers before 1 engines, all of which know one another
    When the engine refuses a request with a back-off of 0.2 s, once
    Then that request is served after the back-off

  Scenario: The head of an answer is read strictly
    Then the head of an answer is read as follows
      | status | headers                                          | leaves | for s | unreadable |
      | 200    |                                                  | no     | 0     | 0          |
      | 200    | Leaves: 1                                        | yes    | 0     | 0          |
      | 503    | leaves: 1; retry-after: 3                        | yes    | 3     | 0          |
      | 200    | Leaves: 0                                        | no     | 0     | 1          |
      | 200    | Leaves: true                                     | no     | 0     | 1          |
      | 200    | Retry-After: 3                                   | no     | 0     | 0          |
      | 429    | Retry-After: 3                                   | no     | 0     | 0          |
      | 503    | Retry-After: 0                                   | no     | 0     | 0          |
      | 503    | Retry-After: 0.2                                 | no     | 0.2   | 0          |
      | 503    | Retry-After: 30                                  | no     | 30    | 0          |
      | 503    | Retry-After: 100000                              | no     | 3600  | 0          |
      | 503    | Retry-After: -1                                  | no     | 0     | 1          |
      | 503    | Retry-After: soon                                | no     | 0     | 1          |
      | 503    | Retry-After: Wed, 21 Oct 2026 07:28:00 GMT       | no     | 0     | 2          |
      | 503    | Retry-After: 3; Retry-After: 5                   | no     | 5     | 0          |
      | 503    | Retry-After: 3, 5                                | no     | 5     | 0          |
      | 503    | Retry-After: 3, soon                             | no     | 3     | 1          |
    And for any status and headers, reading an answer's head raises nothing, and bounds the back-off

  Scenario: A notice of leaving ends with the start of the server that sent it
    Then a late report of the start that leaves does not make it usable, but a later start does
    And that a server leaves is remembered for an hour after its entry is removed, and no longer
