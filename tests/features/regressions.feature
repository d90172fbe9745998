Feature: What once broke stays mended
  Each scenario names the failure that it keeps from coming back.

  Scenario: Cooperative locks in foreign threads left a router deaf to its peers
    When a process patches the standard library as the router does
    Then its locks are those of the operating system
    And its sockets are cooperative

  Scenario: Small writes held back for an acknowledgement added 40 ms to an answer
    When a listener for callers is opened
    Then its connections send every write at once

  Scenario: A part that the platform did not give at once was never asked for again
    When a core hears of a configuration whose part does not come
    Then it asks for the part again

  Scenario: A doubled grant started two requests on one slot
    When a core with two waiting requests gets one grant twice
    Then one request is started
