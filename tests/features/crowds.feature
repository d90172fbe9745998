@nodes.2.crowd
Feature: A crowd of clients that keep no limits ends no router, and others are served beside it
  Real processes. Each router has 100 MB of memory and 900 descriptors; bodies may have 1 MiB. 80 clients
  come to the first router, and come again when they are refused.

  # Guards against: nothing counted what clients sent until a request had been read whole, so that a crowd
  # took a router over its memory limit, or its event loop for itself.
  Scenario Outline: Clients that send what routers read
    When a crowd sends <way> to router 1
    Then ordinary requests are answered by both routers beside it
    And no router has ended
    And no router has held more than its machine's memory and descriptors
    And an ordinary request is answered by each router after it
    And every router gives back all that it has held for the crowd

    Examples:
      | way                                 |
      | whole bodies                        |
      | whole bodies in pieces              |
      | bodies that stop short              |
      | bodies in pieces that stop short    |
      | large chunks                        |
      | large chunks that stop short        |
      | chunks of one byte                  |
      | chunks of one byte that stop short  |
      | one chunk that stops short          |
      | little of a body far over the limit |
      | a body far over the limit           |
      | chunks beyond the limit             |
      | a chunk far over the limit          |
      | heads that stop short               |
      | blank lines                         |
      | requests, and takes no answers      |

  # Guards against: what servers had answered was kept for clients that did not take it, without a count.
  Scenario: Clients that do not take their answers
    Given a server whose answers are large
    When a crowd sends a request for a large answer, and does not take it to router 1
    Then ordinary requests are answered by both routers beside it
    And no router has ended
    And no router has held more than its machine's memory and descriptors
    And an ordinary request is answered by each router after it
    And every router gives back all that it has held for the crowd

  # Guards against: connections that sent nothing took all places of a router until they timed out.
  Scenario: More clients than a router has places
    When a crowd of 400 sends nothing to router 1
    Then ordinary requests are answered by both routers beside it
    And no router has ended
    And no router has held more than its machine's memory and descriptors
    And an ordinary request is answered by each router after it
    And every router gives back all that it has held for the crowd

  # Guards against: the listeners beside the one for clients had no limits.
  Scenario Outline: Clients at another listener
    When a crowd sends <way> to the <listener> port of router 1
    Then every router is ready beside it
    And ordinary requests are answered by both routers beside it
    And no router has ended
    And no router has held more than its machine's memory and descriptors
    And an ordinary request is answered by each router after it
    And every router gives back all that it has held for the crowd

    Examples:
      | way                       | listener |
      | heads that stop short     | ready    |
      | a body far over the limit | ready    |
      | chunks of one byte        | ready    |
      | requests, and takes no answers | metrics |
      | a body far over the limit | metrics  |
      | heads that stop short     | helping  |

  Scenario Outline: A single request of the largest size is served
    When one client sends <way> to router 1
    Then it is answered with 200

    Examples:
      | way                    |
      | whole bodies           |
      | whole bodies in pieces |
      | large chunks           |
      | chunks of one byte     |
