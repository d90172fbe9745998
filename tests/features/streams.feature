@fleet.2x1
Feature: A caller receives the whole answer to its own request, and only that

  Scenario: A stream that breaks is resumed where it broke
    Given the engine breaks the next stream after 5 events
    When "dispatch-desk" streams 20 tokens about "alarm" from router 1
    Then the answer is the 20 tokens about "alarm"
    And the stream ended with its end mark
    And router 1 counts "stream.resumed" at least 1

  Scenario: A whole answer survives a broken stream
    Given the engine breaks the next stream after 3 events
    When "control-room" asks router 1 for 12 tokens about "pump"
    Then the answer is the 12 tokens about "pump"

  Scenario: Duplicate events reach no caller
    Given the engine sends every event twice
    When "dispatch-desk" streams 15 tokens about "alarm" from router 1
    Then the answer is the 15 tokens about "alarm"

  Scenario: An event of another request reaches no caller
    Given the engine mixes an event of another request into the next stream
    When "dispatch-desk" streams 15 tokens about "alarm" from router 1
    Then the answer is the 15 tokens about "alarm"
    And router 1 counts "stream.foreign" at least 1

  Scenario: An engine that loses the run gives an explicit error, not a short answer
    Given the engine breaks the next stream after 5 events and loses the run
    When "dispatch-desk" streams 20 tokens about "alarm" from router 1
    Then the stream ended with an error and outcome "unknown"

  Scenario: A whole answer that is lost is an explicit error
    Given the engine breaks the next stream after 5 events and loses the run
    When "control-room" asks router 1 for 20 tokens about "pump"
    Then the answer has status 502 and outcome "unknown"

  Scenario: A caller that goes mid-stream frees the slot
    When a caller of "dispatch-desk" leaves router 1 after 3 pieces of 4000 tokens
    Then the engine runs nothing within 10 seconds
    And router 1 runs nothing within 10 seconds

  Scenario: A caller that goes while it waits leaves the queue
    Given "planners" keeps 12 requests of 100 tokens waiting at router 1
    When a caller of "dispatch-desk" leaves router 1 while it waits
    Then the queue of "dispatch-desk" at router 1 is empty within 10 seconds

  Scenario: A request whose engine dies before it answers is resumed, and runs once
    Given the engine dies before the next answer
    When "control-room" asks router 1 for 8 tokens with request id "dies-1"
    Then the answer is the 8 tokens about "hello"
    And the engine started "control-room/dies-1" once
