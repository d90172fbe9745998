Feature: Neighbours serve callers of a router that is short of processor time
  The busy router only relays bytes: its neighbour places, sends and answers the request.

  @nodes.3.busy
  Scenario Outline: A request of each kind is answered whole by a neighbour
    Given router 1 knows its neighbours
    When "planners" sends "<method>" "<path>" with "<tokens>" tokens to router 1
    Then the attempt has status 200 and a seal
    And the attempt was run 1 time
    And exactly 1 router has logged the attempt's end, and not router 1

    Examples:
      | method | path         | tokens |
      | POST   | /diagnosis/a | 900,30 |
      | POST   | /summary/a   | 900,30 |
      | POST   | /valve/a     |        |
      | GET    | /setpoint/a  |        |

  # Guards against: routers that have just started suspect one another, and what a neighbour served
  # was broken off as soon as it was considered dead.
  @nodes.3.busy
  Scenario: A stream goes on though its neighbour is considered dead for a moment
    Given router 1 knows its neighbours
    And every engine holds its streams after 3 events
    When "planners" opens a stream at router 1
    And routers 2 and 3 are paused until router 1 considers them dead
    And routers 2 and 3 go on until all routers consider one another alive
    Then the stream goes on to its whole end once the engines go on

  @nodes.3.busy
  Scenario: A passed request carries its own id, key and deadline, and nothing is added
    Given router 1 knows its neighbours
    When "planners" sends "POST" "/valve/a" with forged headers to router 1
    Then the attempt has status 200 and a seal
    And the server saw "Tenant-Name" as "planners"
    And the server did not see "Authorization"

  @nodes.3.short
  Scenario: A router whose neighbours are short as well serves its callers itself
    Given router 1 knows its neighbours
    When "planners" sends "POST" "/diagnosis/a" with "900,30" tokens to router 1
    Then the attempt has status 200 and a seal
    And router 1 alone has logged the attempt's end

  @nodes.3.all-busy
  Scenario: A connection is passed on once, also among routers that are all busy
    Given router 2 knows its neighbours
    When "planners" sends "POST" "/diagnosis/a" with "900,30" tokens to router 2
    Then the attempt has status 200 and a seal
    And exactly 1 router has logged the attempt's end, and not router 2

  @nodes.1.busy
  Scenario: A busy router without neighbours serves its callers itself
    Given router 1 knows its neighbours
    When "planners" sends "POST" "/diagnosis/a" with "900,30" tokens to router 1
    Then the attempt has status 200 and a seal

  @nodes.3.busy
  Scenario: A caller that leaves behind a busy router ends its run
    Given router 1 knows its neighbours
    And every engine holds its streams after 2 events
    When "planners" opens a stream at router 1 and leaves after the first event
    Then the engines cancel that run

  @nodes.3.busy
  Scenario Outline: A planned stop of either router cuts off no passed stream
    Given router 1 knows its neighbours
    And every engine holds its streams after 2 events
    When "planners" opens a stream at router 1
    And the <stopped> router of that stream is told to stop
    And the engines go on
    Then the rest of the stream arrives whole

    Examples:
      | stopped |
      | busy    |
      | helping |

  @nodes.3.busy
  Scenario Outline: A passed stream whose neighbour is gone never looks complete
    Given router 1 knows its neighbours
    And every engine holds its streams after 2 events
    When "planners" opens a stream at router 1
    And the helping router of that stream is <gone>
    Then the stream breaks off within a few seconds
    And the attempt was run 1 time

    Examples:
      | gone   |
      | killed |
      | frozen |

  @nodes.3.busy
  Scenario Outline: Only routers of the fleet pass connections on
    When a stranger introduces itself to router 2 with <introduction>
    Then the stranger's connection ends without an answer

    Examples:
      | introduction                             |
      | no introduction                          |
      | a wrong tag                              |
      | an introduction for router 3             |
      | an introduction that never ends          |

  Scenario Outline: Bytes are relayed whole and in order, however slowly they are read
    When a <slow> takes <kilobytes> KB through two connections that are joined
    Then all of it arrives in order, and the end as well

    Examples:
      | slow          | kilobytes |
      | quick reader  | 3         |
      | slow reader   | 4000      |

  Scenario: A connection that is reset is reset on the other side too
    When one of two joined connections is reset
    Then the other one is reset as well

  Scenario: Neighbours of the own availability zone are asked, the less loaded first
    When a router passes 600 connections on with 6 neighbours near and 6 far
    Then all go to near neighbours, none of which has over 1.5 times the mean
    And a neighbour that is short of processor time is not asked for a second

  Scenario: While the whole own availability zone is short, routers of other zones are asked
    When a router passes 60 connections on with 2 neighbours near and 6 far
    And all near neighbours are short of processor time
    Then the next 60 connections go to far neighbours, none of which has over 2 times the mean
    And a second later near neighbours are asked first again

  Scenario: A router passes on more the busier it is
    Then with a busy part of 0.5 it passes on 0 of 100 connections
    And with a busy part of 0.725 it passes on 50 of 100 connections
    And with a busy part of 0.9 it passes on 100 of 100 connections

  Scenario: Two equal thresholds make a step from no to all connections
    Then with both thresholds at 0.8 a router passes on none of 10 connections at 0.79 and all at 0.81

  Scenario: A neighbour wrongly considered dead still answers what was passed on to it
    Given a neighbour serves a caller's request that was passed on
    When the neighbour is considered dead
    And the neighbour answers and ends the connection
    Then the caller has the whole answer

  Scenario: A passed connection is reset once its neighbour has been dead for a while
    Given a neighbour serves a caller's request that was passed on
    When the neighbour has been considered dead for 3 seconds
    Then the caller's connection is reset, and the neighbour's death is counted

  # Guards against accepting all waiting connections in one turn of the event loop: other tasks
  # of the router then ran seconds late, and its callers were lost.
  Scenario: Callers that connect in a burst do not keep other tasks from their turns
    When 300 callers have connected before a router accepts the first one, and neighbours accept all
    Then between two turns of another task at most 11 of them are accepted

  # Guards against a router whose event loop runs late: it considered a neighbour silent whose
  # answer had come in time, and served the callers itself.
  Scenario: A neighbour's answer that came in time counts, however late the router reads it
    Given a neighbour that has accepted a connection 10 ms after it was asked
    When the router's event loop is blocked for longer than a neighbour has to answer
    Then the neighbour serves the caller, and no answer is counted as missing

  # Guards against: a busy router passed connections on to a neighbour with an older configuration,
  # so that callers got 404 for a route that had been in force at their router before.
  Scenario: A connection is not passed on to a router with an older configuration
    Given a busy router, and a neighbour that cannot receive large configurations
    When a large configuration with the new route "fresh" is in force at router 1
    Then each of 5 requests of "planners" for "/fresh/a" at router 1 is answered

  # Guards against: a request whose neighbour fell silent had no answer long after its route's
  # timeout, since the router that held its connection kept no deadline.
  @nodes.3.busy
  Scenario: A passed request whose neighbour falls silent is answered at its route's timeout
    Given router 1 knows its neighbours
    And the streaming routes have a short timeout in force at every router
    And every engine is silent
    When "planners" asks for a summary at router 1, and the router that takes it freezes
    Then the attempt has status 504 and no seal

  # Guards against: the time that a connection had waited at the router that passed it on did not
  # count where it was served, so that its request outlasted its deadline by that time.
  @nodes.2
  Scenario Outline: What a connection has waited counts where it is passed on to
    When router 1 passes a connection on to router 2 that has waited <waited> ms, with a request of <deadline> ms
    Then router 2 answers it with <status>

    Examples:
      | waited | deadline | status |
      | 0      | 5000     | 200    |
      | 900    | 500      | 503    |
