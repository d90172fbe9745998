Feature: Faults of the past do not return
  Each scenario is named after the fault that it guards against.

  Scenario: Cooperative locks in foreign threads kept a router from receiving from its peers
    When a process patches the standard library as the router does
    Then its locks are those of the operating system
    And its sockets are cooperative

  Scenario: Small writes held back for an acknowledgement added 40 ms to an answer
    When a listener for callers is opened
    Then its connections send every write at once

  Scenario: A part that the platform did not return at once was never requested again
    When a core learns of a configuration whose part does not arrive
    Then it requests the part again

  Scenario: A duplicated grant started two requests on one slot
    When a core with two waiting requests gets one grant twice
    Then one request is started

  Scenario: The bench reported a recovery though the gap stayed over its bound to the end
    When the gap is over its bound until the end of a run
    Then the bench reports no recovery
    And it reports 1.5 seconds for one that was last over its bound then

  Scenario: The standby ledger never got a change that was followed by an unchanged report
    When service changes once, and an unchanged report precedes the standby ledger's turn
    Then both ledgers have a report of it after a few refreshes

  Scenario: A message from a connection that had just closed ended the router
    When a router reads a message whose sender's connection has closed
    Then the message is dropped as from an unlisted address

  @fleet.1x1
  Scenario: A later run's routers accepted messages of an interrupted run's routers
    When a router of another fleet has router 1 as its seed
    Then router 1 drops its messages and knows no peer

  Scenario: A test run that received SIGTERM left its processes running
    When a program that started a process receives SIGTERM
    Then that process has ended as well

  Scenario: Skipping a scenario that is known to fail failed the run
    When a run lists "Comments are allowed" as known to be red
    Then the run passes, runs nothing and names that scenario

  Scenario Outline: Input that the core failed on ended each router that received it
    When the core fails on <input>
    Then the router goes on and counts "<counter>"
    And <effect>

    Examples:
      | input                        | counter                       | effect                                 |
      | a message of another router  | core.fault.MembersQuery       | no request is refused                  |
      | a list of servers            | core.fault.BackendServersRead | no request is refused                  |
      | a request                    | core.fault.RequestArrived     | its client is refused: "router_fault"  |

  # Guards against: one value from outside that makes a tick fail ended each process that had it.
  Scenario: A core that fails on one of its own ticks goes on
    When the core fails on its own tick
    Then the router goes on and counts "core.fault.Tick"

  Scenario: A core that fails on each of its own ticks ends its process
    When the core fails on each of its own ticks
    Then the fault is raised

  # The 25th fleet got addresses up to 127.x.y.257, and the search for its ports never ended.
  Scenario Outline: The 25th or 26th fleet that one process started waited for its addresses forever
    When a process reserves the addresses of 60 fleets of <routers> routers
    Then all of them are addresses
    And two fleets started one after another share none

    Examples:
      | routers |
      | 5       |
      | 8       |
      | 10      |

  Scenario: A search for ports at an address of another machine never ended
    Then a search for ports at "192.0.2.1" fails at once

  Scenario: A resumed stream never notified the core that its new engine had begun
    When a stream has output from one engine, breaks off and has output from another
    Then the core has been notified of a first output 2 times

  Scenario: An owner that restarted unnoticed never learned what ran at its engines
    When an engine's owner restarts before any router suspects it, while requests run
    Then it knows every request that others run at its engines

  # Guards against: a request whose answer was broken was sent to the same server again, so that its caller got
  # 502 although other servers were idle.
  Scenario Outline: A request whose answer was broken is sent to another server, if there is one
    Given two routers that know <servers> servers of a plain service
    When the answer to a request is broken
    Then it is sent to <where>

    Examples:
      | servers | where           |
      | 2       | the other one   |
      | 4       | another one     |
      | 1       | the same again  |
