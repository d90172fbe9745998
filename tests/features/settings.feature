Feature: Invalid settings are rejected with every finding and its place, and change nothing

  Scenario: All faults are shown at once
    Given settings with a port of 0, no fleet key and an unknown field
    When the router is started with them
    Then the command exits with 2
    And the command prints "callers.port"
    And the command prints "fleet_key"
    And the command prints "no_such_field"

  Scenario: A syntax error is shown with its line
    Given settings that end in the middle
    When the router is started with them
    Then the command exits with 2
    And the command prints "line"

  Scenario: Two listeners on one port
    Given settings with callers and operators on one port
    When the router is started with them
    Then the command exits with 2
    And the command prints "the same as callers"

  Scenario: Comments are allowed
    Given good settings with comments
    When the settings are checked
    Then the command exits with 0
