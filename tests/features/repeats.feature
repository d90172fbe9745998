@fleet.2x1
Feature: Calls reported as not run did not run, and calls not to be repeated run at most once

  Scenario: A call that the service did not start is tried again
    Given the plain service does not start the next 1 calls
    When "planners" calls the plain service at router 1 with request id "try-1"
    Then the answer has status 200 and outcome "completed"
    And the plain service ran "planners/try-1" 1 times
    And router 1 counts "retry.server_refused" at least 1

  Scenario: A call that the service refused with a time to come back is sent again after that time
    Given the plain service turns the next 1 calls away for 1 s
    When "planners" calls the plain service at router 1 with request id "later-1"
    Then the answer has status 200 and outcome "completed"
    And it took 1 s or more
    And router 1 counts "retry.server_backed_off" at least 1

  Scenario: A call not to be repeated is sent once, even if the service did not start it
    Given the plain service does not start the next 1 calls
    When "planners" calls the plain service once at router 1 with request id "once-1"
    Then the answer is a refusal with status 503 and reason "retries_exhausted"
    And the answer has outcome "not-run"
    And the plain service ran "planners/once-1" 0 times

  Scenario Outline: A connection that breaks leaves the outcome unknown and the call is not repeated
    Given the plain service breaks the next connection <when>
    When "planners" calls the plain service once at router 1 with request id "<id>"
    Then the answer has status 502 and outcome "unknown"
    And the plain service ran "planners/<id>" <runs> times

    Examples:
      | when            | id      | runs |
      | before the body | break-0 | 0    |
      | after the run   | break-1 | 1    |

  Scenario: An answer slower than the deadline leaves the outcome unknown
    Given the plain service takes 1500 ms
    When "planners" calls the plain service once at router 1 with 400 ms to spare and request id "slow-1"
    Then the answer has status 504 and outcome "unknown"
    And the plain service ran "planners/slow-1" 1 times

  Scenario: An engine that refuses is asked again and runs the request once
    Given the engine refuses the next 2 runs
    When "planners" asks router 1 for 4 tokens with request id "refused-1"
    Then the answer has status 200 and outcome "completed"
    And the engine started "planners/refused-1" once

  Scenario: A request that the engine keeps refusing ends in a refusal with outcome not-run
    Given the engine refuses the next 50 runs
    When "planners" asks router 1 for 4 tokens with request id "refused-2"
    Then the answer is a refusal with status 503 and reason "retries_exhausted"
    And the answer has outcome "not-run"
    And the answer says when to come back
    And the engine never started "planners/refused-2"
