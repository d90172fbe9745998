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

  Scenario: The bench called a gap recovered that was over its bound to the end
    When the gap is over its bound until the end of a run
    Then the bench reports no recovery
    And it reports 1.5 seconds for one that was last over its bound then

  Scenario: The ledger that stands by never heard of a change that an unchanged report followed
    When service changes once, and an unchanged report follows before the other ledger's turn
    Then both ledgers have heard of it after a few refreshes

  Scenario: A message from a connection that had just closed ended the router
    When a router reads a message whose sender's connection has closed
    Then the message is dropped as from an unlisted address

  @fleet.1x1
  Scenario: Routers of an interrupted test run were believed by a later one's
    When a router of another fleet takes router 1 for its seed
    Then router 1 drops its messages and knows no peer

  Scenario: A test run that was told to end left its processes behind
    When a program that started a process is told to end
    Then that process has ended as well

  Scenario: Passing over a scenario that is known to be red failed the run
    When a run lists "Comments are allowed" as known to be red
    Then the run passes, runs nothing and names that scenario

  Scenario Outline: Input that the core could not take ended each router that got it
    When the core cannot take <input>
    Then the router goes on and counts "<counter>"
    And <what becomes of it>

    Examples:
      | input                        | counter                    | what becomes of it                     |
      | a message of another router  | core.fault.MembersQuery    | nobody is told                         |
      | a list of servers            | core.fault.BackendServersRead | nobody is told                      |
      | a request                    | core.fault.RequestArrived  | its caller is refused: "router_fault"  |

  Scenario: A core that fails at its own time ends its process
    When the core cannot take its own tick
    Then the fault is not swallowed

  Scenario: The 26th fleet that one process started waited for ever
    When a process asks for the addresses of 60 fleets
    Then all of them are addresses

  Scenario: A resumed stream never told the core that its new engine had begun
    When a stream brings output from one engine, breaks off and brings output from another
    Then the core has heard of a beginning 2 times
