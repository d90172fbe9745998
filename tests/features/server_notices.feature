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
