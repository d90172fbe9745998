@fleet.3x2
Feature: A request is served from client to backend server and back
  Client, router, engine, plain service and platform are separate processes.

  Scenario: A whole answer is returned to its client
    When "control-room" asks router 1 for 6 tokens about "pump"
    Then the answer has status 200 and outcome "completed"
    And the answer is the 6 tokens about "pump"

  Scenario: A streamed answer comes word by word
    When "dispatch-desk" streams 40 tokens about "alarm" from router 2 with a hold
    Then the answer has status 200 and outcome "completed"
    And the answer is the 40 tokens about "alarm"
    And it came in more than 20 pieces
    And the stream ended with its end mark

  Scenario: Every router serves every workspace
    When every workspace asks every router for 3 tokens
    Then every answer is the caller's own and completed

  Scenario: The client's request id is echoed
    When "planners" asks router 3 for 2 tokens with request id "valve-7.a"
    Then the answer has the header "x-request-id" with "valve-7.a"

  Scenario: Two workspaces may use one request id at once
    When "planners" and "control-room" both ask for 30 tokens with request id "same"
    Then every answer is the caller's own and completed

  Scenario: The models a workspace may use are listed
    When "planners" sends "GET" "/v1/models" to router 1
    Then the answer has status 200 and outcome "completed"
    And the answer names the model "diagnosis"

  Scenario Outline: A plain service is called with any method
    When "planners" sends "<method>" "/services/terminal/valves/a%20b?x=1" to router 2
    Then the answer has status 200 and outcome "completed"
    And the plain service saw method "<method>", path "/valves/a b" and query "x=1"
    And the plain service saw no API key

    Examples:
      | method |
      | GET    |
      | POST   |
      | PUT    |
      | DELETE |
      | PATCH  |

  Scenario: Operators' endpoints are not served to clients
    When "planners" sends "GET" "/status" to router 1
    Then the answer is a refusal with status 404 and reason "unknown_path"

  Scenario: The status page names owners, queues, configuration and peers
    When an operator reads the status of router 1
    Then the status names an owner for each of 3 backend servers
    And the status shows 2 peers alive and configuration 1

  Scenario: The operator's tool shows the fleet
    When an operator runs the status command on all routers
    Then the command exits with 0
    And the command prints "engine-1"
