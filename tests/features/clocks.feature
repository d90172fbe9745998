Feature: One clock, which counts the time in which a VM was suspended
  Scenario: A router that wakes from a suspension holds nothing that has expired
    Given a router with a request whose deadline is 2 seconds away
    When its VM is suspended for 5 seconds
    Then it notices the pause
    And it refuses the request: "deadline_passed"

  Scenario: No module of the product goes by a clock that stands still
    Then only the module of the clock reads a steady clock

  Scenario: The clock is the one that counts a suspension, where the system has it
    Then the clock goes with the system's boot clock
