Feature: One clock, which counts the time in which a VM was suspended
  Scenario: A router that wakes from a suspension refuses what has expired
    Given a router with a request whose deadline is 2 seconds away
    When its VM is suspended for 5 seconds
    Then it notices the pause
    And it refuses the request: "deadline_passed"

  Scenario: No module of the product reads a clock that stops during a suspension
    Then only the module of the clock reads a steady clock

  Scenario: The clock counts a suspension where the system has such a clock
    Then the clock agrees with the system's boot clock
