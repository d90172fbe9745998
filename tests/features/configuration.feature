@fleet.3x1
Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A new configuration is in force everywhere
    When a configuration with workspace "examiners" is published
    Then every router has the published configuration within 11 seconds
    And "examiners" is served by every router

  Scenario: An invalid configuration is rejected and the old one stays
    When a configuration with an unknown pool is published
    Then every router counts "configuration.rejected" at least 1
    And every router still has its configuration
    And router 1 logs "unknown-pool" as an error

  Scenario: A stale platform does not revert the configuration
    Given a configuration with workspace "examiners" is in force
    When the platform answers with its first revision only
    And router 2 is killed and started again
    Then router 2 has the published configuration within 11 seconds
    And every router still has its configuration
    And the platform works normally again

  Scenario: A restarted router learns the configuration from peers while the platform is down
    When the platform is down
    And router 3 is killed and started again
    Then router 3 has the published configuration within 11 seconds
    And router 3 still serves "planners"
    And the platform works normally again

  Scenario: A router that is cut off from the platform gets the configuration from its peers
    Given router 1 is cut off from the platform
    When a configuration with workspace "jury" is published
    Then every router has the published configuration within 11 seconds
    And the platform reaches router 1 again

  Scenario: A router that was frozen during a change has it soon after it wakes
    Given router 2 is frozen
    When a configuration with workspace "night-shift" is published
    And router 2 wakes
    Then every router has the published configuration within 11 seconds

  Scenario: Two operators who plan from one base cannot both be accepted
    Given operator "a" has planned to add workspace "from-a"
    And operator "b" has planned to add workspace "from-b"
    When operator "a" confirms and it is published
    Then the confirmation of operator "b" is refused because the base has moved
    And every router has the published configuration within 11 seconds

  Scenario: A faulty intent is rejected with every finding, and no plan is written
    When an operator plans an intent with a share of 0 and an unknown pool
    Then the command exits with 2
    And the command prints "share"
    And no plan file was written

  Scenario: A plan shows which workspaces gain and lose
    When an operator plans to give "planners" a share of 8
    Then the command exits with 0
    And the command prints "change workspaces.planners.share: 2.0 -> 8.0"
    And the command prints "control-room"

  Scenario: A plan that leaves a workspace with no backend server warns
    When an operator plans to remove every engine
    Then the command exits with 0
    And the command prints "pool inference shrinks"
