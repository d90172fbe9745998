Feature: A planned stop cuts off no request in progress

  @fleet.2x1
  Scenario: A stopping router completes its requests in progress, and accepts no new ones
    Given 6 requests of 60 tokens and 4 streams of 60 tokens are in progress at router 1
    When router 1 receives SIGTERM
    Then router 1 is unhealthy or has stopped
    And a new request at router 1 is refused as draining or finds it stopped
    And every answer is the caller's own and completed
    And router 1 has exited with 0
    And router 2 still serves "planners"

  @fleet.3x1
  Scenario: Two routers stop together
    Given 6 requests of 60 tokens and 4 streams of 60 tokens are in progress at router 1
    And 6 requests of 60 tokens and 4 streams of 60 tokens are in progress at router 2
    When router 1 receives SIGTERM
    And router 2 receives SIGTERM
    Then every answer is the caller's own and completed
    And router 1 has exited with 0
    And router 2 has exited with 0
    And router 3 still serves "planners"

  @fleet.3x1
  Scenario: A router stops while it is cut off from the others
    Given 6 requests of 60 tokens and 4 streams of 60 tokens are in progress at router 1
    And router 1 is cut off from the others
    When router 1 receives SIGTERM
    Then every answer is the caller's own and completed
    And router 1 has exited with 0

  # Guards against: a router that had drained still accepted connections while it ended, and their
  # requests got a reset instead of an answer or a refusal.
  @nodes.3
  Scenario Outline: A stopping router answers every request on a connection that it accepts
    Given 24 clients that send each request to router 1 on a connection of its own
    When the platform stops router 1, and it ends
    Then no connection that was accepted ended without an answer

    Examples: plays
      | play |
      | 1    |
      | 2    |
      | 3    |
