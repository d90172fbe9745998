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
