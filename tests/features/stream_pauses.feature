Feature: Pauses of streams are measured where they arrive and reported to the engine's owner

  Scenario: A pause near its target is reported, a short one is not
    Given a stream whose pauses may last 0.4 s
    When its events arrive at 1.0, 1.1, 1.39, 1.5 and 1.95 s
    Then the pauses 0.29 and 0.45 s are reported
    And its longest pause is 0.45 s

  # Guards against: the time that a broken stream takes to go on elsewhere counted for its new engine.
  Scenario: The pause between two attempts counts for the client and not for an engine
    Given a stream whose pauses may last 0.4 s
    When its events arrive at 1.0 and 1.1 s
    And it goes on at another engine, with events at 1.9 and 2.0 s
    Then no pauses are reported
    And its longest pause is 0.8 s
    And its longest pause at that engine is 0.1 s

  Scenario: A stream without a target is measured and not reported
    Given a stream whose pauses may last 0 s
    When its events arrive at 1.0 and 3.0 s
    Then no pauses are reported
    And its longest pause is 2.0 s

  Scenario: An engine's owner learns of pauses, whichever router sees them
    Given 4 routers, 1 engine and a streaming request at each router
    When each router sees a pause of 0.39 s in its stream
    Then the engine's owner knows of 4 pauses of 0.39 s with a target of 0.4 s

  # Guards against: a pause report of a router that does not run the request any more.
  Scenario: A pause in a stream that has ended is not reported
    Given 4 routers, 1 engine and a streaming request at each router
    When all streams have ended
    And each router sees a pause of 0.39 s in its stream
    Then the engine's owner knows of no pauses
