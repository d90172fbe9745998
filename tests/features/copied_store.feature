Feature: The store comes back from a copy, and every router follows it from there
  # The store may be away for a moment and come back from a copy some seconds old: what was
  # written since is gone, revisions go back and are given out again, and whoever lives writes
  # again what it wrote. The header of its era rises by one.

  @nodes.1.many
  Scenario: One router follows a store that comes back from a copy
    Given a store whose copy lacks 25 changes comes back after 1 s
    When a route is added, an engine starts and another one goes
    Then within 5 s every router serves the route, uses the one engine and leaves the other alone
    And callers were served throughout

  @nodes.3.many
  Scenario: Three routers follow a store that comes back from a copy
    Given a store whose copy lacks 25 changes comes back after 1 s
    When a route is added, an engine starts and another one goes
    Then within 5 s every router serves the route, uses the one engine and leaves the other alone
    And callers were served throughout

  @nodes.3.many
  Scenario: No change is missed where revisions are given out again at once
    Given a store whose copy lacks 4 changes comes back, and 6 others are written at once
    When a route is added, an engine starts and another one goes
    Then within 5 s every router serves the route, uses the one engine and leaves the other alone
    And callers were served throughout

  @nodes.3.many
  Scenario: What the copy has forgotten is not forgotten by the routers
    Given a copy of the store is kept, and then a key is withdrawn and an engine goes
    When the store comes back from the copy, and nobody writes again for a while
    Then no router lets the key in, or sends to that engine, for 2 s

  Scenario: For any history of copies and returns, all routers end with the store's last state
    Then in any history with copies, all routers end with what is published, and none goes back

  Scenario: For any answers of a store that comes back, a reader ends with what it holds
    Then in any history of calls a reader ends with the store's content, and its order only rises

  Scenario: What a copy lacks gets a moment, and what it brings back waits
    Given a router that knows servers "a" and "b", and that "c" has gone
    When the store comes back from a copy with "a" and "c"
    Then "b" is used for 2 s more, and "c" is not used for 6 s
    When "c" is still there after 6 s
    Then "c" is used again

  Scenario: A peer that knows another era is told all, and an older era tells it nothing
    Then lists of an earlier era are refused, however high their revision
    And a peer of an earlier era is told the whole list
    And a range of an earlier era than a watch has shown is refused
