Feature: Routers follow a store that is restored from a copy
  # The platform's store may fail for a moment and be restored from a copy some seconds old.
  # Later changes are lost, revisions go back and are assigned again, and live servers write
  # their entries again. The era in the header of its answers rises by one.

  @nodes.1.many
  Scenario: One router follows a store that is restored from a copy
    Given a store whose copy lacks 25 changes is restored after 1 s
    When a route is added, an engine starts and another one is removed
    Then within 5 s every router serves the route, uses the new engine and not the removed one
    And clients were served throughout

  @nodes.3.many
  Scenario: Three routers follow a store that is restored from a copy
    Given a store whose copy lacks 25 changes is restored after 1 s
    When a route is added, an engine starts and another one is removed
    Then within 5 s every router serves the route, uses the new engine and not the removed one
    And clients were served throughout

  @nodes.3.many
  Scenario: No change is missed where revisions are assigned again at once
    Given a store whose copy lacks 4 changes is restored, and 6 others are written at once
    When a route is added, an engine starts and another one is removed
    Then within 5 s every router serves the route, uses the new engine and not the removed one
    And clients were served throughout

  @nodes.3.many
  Scenario: Routers remember withdrawals that the copy lacks
    Given a copy of the store is saved, and then an API key is withdrawn and an engine removed
    When the store is restored from the copy, and nothing is written to it for a while
    Then no router accepts the key, or sends to that engine, for 2 s

  Scenario: For any history of copies and restorations, all routers end with the store's last state
    Then in any history with copies, all routers end with what is published, and none returns to an older configuration

  Scenario: For any answers of a restored store, a reader ends with the store's content
    Then in any history of calls a reader ends with the store's content, and its source order only rises

  Scenario: A server that a copy lacks gets a grace time, and one that it restores a hold-off
    Given a router that knows servers "a" and "b", and that "c" was removed
    When the store is restored from a copy with "a" and "c"
    Then "b" is used for 2 s more, and "c" is not used for 6 s
    When "c" is still there after 6 s
    Then "c" is used again

  Scenario: A peer of an earlier era is sent the whole list, and news of an earlier era is refused
    Then lists of an earlier era are refused, however high their revision
    And a peer of an earlier era is sent the whole list
    And a range answer of an earlier era than a watch has reported is refused

  # Guards against: only routers that had known of a removal held off a server that a copy brought
  # back. A router that had started since then sent requests to it until its entry lapsed again.
  Scenario: Routers that started after a removal hold off a server that a copy brings back
    Given a fleet that knows 4 servers, of which one goes, and a router that starts afterwards
    When the source is restored from a copy that holds it, and another router starts
    Then no router uses that server, except for 0.5 s after a start
    And all routers use it again if it is still listed after the hold-off
