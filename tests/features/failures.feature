Feature: The promises hold while parts of the fleet fail

  @fleet.4x3
  Scenario: The gap stays bounded while tenants are uneven and one floods
    Given "control-room" keeps 6 callers at router 1
    And "planners" keeps 40 callers at every router
    And "dispatch-desk" keeps 8 callers at routers 2 and 3
    When 8 seconds of service are measured
    Then the gap between workspaces is within its formula
    And every engine was busy for at least 0.8 of the time

  @fleet.4x3
  Scenario: The gap returns under its bound after half of the fleet was cut off
    Given "control-room" keeps 10 callers at every router
    And "planners" keeps 20 callers at every router
    And "dispatch-desk" keeps 16 callers at router 1
    When the fleet is cut into halves for 4 seconds
    And every router sees every other again
    And 2 seconds pass in service
    And 5 seconds of service are measured
    Then the gap between workspaces is within its formula
    And no engine started a request twice

  @fleet.4x3
  Scenario: An owner and a ledger are killed together, and the engines are full again
    Given "control-room" keeps 10 callers at router 1
    And "planners" keeps 24 callers at router 1
    When the owner of engine 1 and the first ledger of "planners" are killed
    Then every engine is full within 10 seconds
    When 5 seconds of service are measured
    Then the gap between workspaces is within its formula

  @fleet.3x2
  Scenario: A router restarted with no memory serves fairly again
    Given "control-room" keeps 10 callers at routers 1 and 2
    And "planners" keeps 24 callers at routers 1 and 2
    When router 3 is killed and started again
    And every router sees every other again
    And 5 seconds of service are measured
    Then the gap between workspaces is within its formula

  @fleet.3x2
  Scenario: A small workspace on a router that is cut off is served during a flood
    Given "planners" keeps 40 callers at every router
    And router 3 is cut off from the others
    When "control-room" asks router 3 for 5 tokens about "ward"
    Then the answer is the 5 tokens about "ward"
    And it came within 20 seconds

  @fleet.3x1
  Scenario: A router that was frozen repeats no call and reports true outcomes when it resumes
    Given 12 calls not to be repeated are on their way at router 1
    When router 1 is frozen for 3 seconds
    Then no call ran more than once
    And every call reported as not run did not run
    And every call that completed ran once
    And router 1 still serves "planners"

  @fleet.3x1
  Scenario: Requests whose deadline passed during a freeze are refused as not run
    Given "planners" keeps 12 requests of 200 tokens waiting at router 1
    And 4 requests with 1500 ms to spare wait at router 1
    When router 1 is frozen for 3 seconds
    Then those requests are refused as not run and none of them started

  @fleet.3x2
  Scenario: A backend server that says it is leaving gets no new work
    Given "planners" keeps 10 callers at every router
    When engine 1 says that it is leaving, and the configuration never does
    Then engine 1 starts nothing new after 4 seconds
    And router 2 still serves "control-room"

  @fleet.3x2
  Scenario: An engine that refuses a run because it leaves gets no more requests, whatever it reports
    Given "planners" keeps 10 callers at every router
    When engine 1 refuses runs because it leaves, and its load report never says so
    Then engine 1 is asked for nothing new after 2 seconds
    And router 2 still serves "control-room"

  @fleet.3x2
  Scenario: A stale platform that lists a leaving server as live changes nothing
    Given "planners" keeps 10 callers at every router
    When engine 1 says that it is leaving, and the configuration never does
    And the platform answers with its first revision only
    And router 3 is frozen for 3 seconds
    Then engine 1 starts nothing new after 4 seconds

  @fleet.2x1
  Scenario: Hostile messages between routers are dropped and counted
    When bytes without the fleet's key are sent to the peers' port of router 1
    Then router 1 counts "drop.unauthenticated_message" at least 3
    And router 1 still serves "planners"

  @fleet.2x1
  Scenario: A well-tagged message that makes no sense is dropped and counted
    When nonsense with the fleet's key is sent to the peers' port of router 1
    Then router 1 counts "drop.malformed_message" at least 1
    And router 1 still serves "planners"

  @fleet.3x1
  Scenario: An order is derived from the configuration and fenced with its version
    Given the configuration orders engine 1 to serve version "v2"
    Then engine 1 reports version "v2" with the fence of the configuration

  @fleet.2x1
  Scenario: Owners on both sides of a partition never revert an order
    Given the configuration orders engine 1 to serve version "v2"
    And engine 1 reports version "v2" with the fence of the configuration
    And router 1 is cut off from the others
    And router 1 is cut off from the platform for good
    When the configuration orders engine 1 to serve version "v3"
    Then engine 1 reports version "v3" with the fence of the configuration
    And engine 1 keeps version "v3" for 3 seconds

  Scenario: A router reports each state that it gives another router, with the cause
    Given a router's core that knows one live router
    When the other router answers nothing for 2 seconds
    Then the core has reported the other router as "alive: told", "suspect: unanswered" and "dead: unrefuted"
