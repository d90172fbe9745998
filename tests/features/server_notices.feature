Feature: What a server says of itself in an answer is obeyed by the router that got it
  # Seen: requests reached a server more than 2 s after its answers had told their router that it
  # leaves; and a server that had turned a router away for 3 s got 3 and 4 requests from it.
  # How: the store was away, so that the server's entry went on saying that it is ready; and
  # refusals only ejected a server after three in a row, for half a second, then one and two.
  # Cause: nothing read what the head of an answer says of its server. That a server leaves was
  # known from its entry alone, and a refusal was a failure like any other.
  # Proof: with nothing else wrong, and with one router alone, the same requests arrived.

  @nodes.1
  Scenario: A server that says that it leaves gets nothing more, whatever its entry says
    When the busiest "engine" says in its answers that it leaves, beside requests to "/summary/a"
    Then no router that passed such an answer on sent it a request 2 s later

  @nodes.3
  Scenario: A server that says that it leaves gets nothing more from any of three routers
    When the busiest "engine" says in its answers that it leaves, beside requests to "/diagnosis/a"
    Then no router that passed such an answer on sent it a request 2 s later

  @nodes.3
  Scenario: That a server leaves is obeyed while the store is away
    Given the store is silent
    When the busiest "engine" says in its answers that it leaves, beside requests to "/diagnosis/a"
    Then no router that passed such an answer on sent it a request 2 s later

  @nodes.2.desks
  Scenario: A plain service's server that says that it leaves gets nothing more
    When the busiest "desk" says in its answers that it leaves, beside requests to "/setpoint/a"
    Then no router that passed such an answer on sent it a request 2 s later

  @nodes.1
  Scenario: A server that turns a router away for a time is left alone for that time
    When the busiest "engine" turns 1 in 1 requests away for 5 s, beside requests to "/diagnosis/a"
    Then it got at most 2 requests of each router after the first 0.5 s of that time
    And it runs requests again

  @nodes.1
  Scenario: A server that serves others meanwhile is left alone by the router it turned away
    When the busiest "engine" turns 1 in 2 requests away for 2 s, beside requests to "/diagnosis/a"
    Then it got at most 2 requests of each router after the first 0.5 s of that time
    And it runs requests again

  @nodes.3
  Scenario: A server that turns three routers away is left alone by each of them
    When the busiest "engine" turns 1 in 2 requests away for 2 s, beside requests to "/summary/a"
    Then it got at most 2 requests of each router after the first 0.5 s of that time
    And it runs requests again

  @nodes.2.desks
  Scenario: A plain service's server that turns routers away for a time is left alone
    When the busiest "desk" turns 1 in 2 requests away for 2 s, beside requests to "/setpoint/a"
    Then it got at most 2 requests of each router after the first 0.5 s of that time
    And it runs requests again

  Scenario: No router sends to a server that has told it not to, whatever else happens
    Then in any history no router sends to a server that has told it not to

  Scenario: Nobody stays without an answer, and servers are used again
    Then in any history callers are served again once servers turn nobody away

  Scenario: What one answer told, the server's owner knows at once and all others soon
    Given a fleet of 12 routers before 6 engines, all of which know one another
    When an answer tells one router that "e3" leaves
    Then within 0.05 s the owner of "e3" grants it no more
    And within 2 s every router takes "e3" for leaving
    When a router starts again after 10 s
    Then within 1 s every router takes "e3" for leaving

  Scenario: Where no server takes a router's requests for long, callers hear when one will
    Given a fleet of 3 routers before 4 engines, all of which know one another
    When every engine turns router 1 away for 3 s
    Then a request there is refused at once, to come back within 0.5 s after that time
    And another router serves as before

  Scenario: Where a server takes requests again within their aim, they wait for it
    Given a fleet of 3 routers before 4 engines, all of which know one another
    When every engine turns router 1 away for 0.3 s
    Then a request there waits, and is served after that time within its aim

  Scenario: A request that the only engine turned away for a moment is sent there again
    Given a fleet of 2 routers before 1 engines, all of which know one another
    When the engine turns a request away for 0.2 s, once
    Then that request is served after that time

  Scenario: The head of an answer is read strictly
    Then an answer's head is read so
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
    And for any status and headers, reading an answer's head raises nothing, and bounds the time

  Scenario: A server's word ends with its start
    Then a late report of the start that leaves does not bring it back, but a later start does
    And that a server leaves is remembered for an hour after its entry has gone, and no longer
